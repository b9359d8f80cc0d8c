// The words that the core and every front share: ids, events that come in, actions that go out.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace gannethold {

using Micros = std::int64_t;  // whole microseconds

enum class TaskId : std::uint64_t {};
enum class RunnerId : std::uint32_t {};
enum class WorkloadId : std::uint32_t {};
enum class CustomerId : std::uint32_t {};
enum class ZoneId : std::uint32_t {};
enum class KindId : std::uint32_t {};
enum class GroupId : std::uint32_t {};
enum class PeerId : std::uint32_t {};
enum class TimerMark : std::uint64_t {};

// Names and values as the operators state them; the module reads what it needs where it needs it.
using StatedOrders = std::map<std::string, std::string>;

// Of which workloads a runner takes tasks, by their places; beyond the last of these it takes any.
using Serves = std::bitset<256>;

enum class RunnerState { ready, draining, gone };
enum class RosterScope {
    failed,
    complete,
    remembered,
    changes,
    guests
};  // guests: changes that no list told
enum class Outcome { finished, error, full, timed_out, connect_failed, reset, withdrawn, moot };
enum class Stage { begun, progress };

inline bool proves_never_ran(Outcome o) {
    return o == Outcome::full || o == Outcome::connect_failed || o == Outcome::moot;
}

struct RosterEntry {
    RunnerId runner{};
    ZoneId zone{};
    KindId kind{};
    GroupId group{};
    RunnerState state = RunnerState::ready;
    double share = 1;
    Micros started_at = 0;  // 0: long ago
    Serves serves = Serves().set();
    bool takes(WorkloadId w) const {
        return static_cast<std::size_t>(w) >= serves.size() || serves[static_cast<std::size_t>(w)];
    }
    bool pulls = false;  // it asks for tasks: it has room when it says so, and no probe can tell more
};

// Load as a runner tells it, in the order of the names in "reports.names".
using Report = std::vector<double>;

struct RosterNews {
    RosterScope scope;
    std::uint32_t version;
    std::vector<RosterEntry> entries;
};
struct TaskArrived {
    TaskId task{};
    WorkloadId workload{};
    CustomerId customer{};
    std::uint64_t key = 0;
    Micros expiry = 0;
    Micros cost_hint = 0;
    double slots = 1;
    double memory = 0;
    bool hint_valid = false;
    bool client_repeat = false;
    bool write = false;
    bool after_break = false;
};
struct StreamBegun {
    TaskId task{};
    int assignment = 0;
    RunnerId runner{};
    Micros elapsed = 0;
};
struct AssignmentEnded {
    TaskId task{};
    bool settled = false;  // the task has its final answer, by this or before it
    std::uint32_t remark = 0;
    Micros elapsed = 0;
    RunnerId runner{};
    int assignment = 0;
    Outcome outcome = Outcome::finished;
    Report report;
};
struct ClientLeft {
    TaskId task{};
};
struct TimerDue {
    TimerMark mark{};
};
struct ProbeEnded {
    RunnerId runner{};
    Outcome outcome = Outcome::finished;
    Micros elapsed = 0;
    Report report;
};
// A runner that pulls: what it holds and how many it asks for, together.
struct RoomTold {
    RunnerId runner{};
    double slots = 0;
};
struct PeerSaid {
    PeerId from{};
    std::string words;
};
struct Progress {
    TaskId task{};
    double done = 0;
    RunnerId runner{};
    int assignment = 0;
    Stage stage{};
};

// Other orders in service. A workload keeps its place as long as its terms; what is open goes on under those
// it came by.
struct OrdersRestated {
    StatedOrders orders;
    std::vector<WorkloadId> learn_from;  // by place: whose learning it takes over; one that is none: nobody's
};

// Whoever still waits is to have a final answer now: the dispatcher will not be there to give it later.
struct LastCall {};

using Event = std::variant<RosterNews, TaskArrived, StreamBegun, AssignmentEnded, ClientLeft, TimerDue,
                           ProbeEnded, PeerSaid, Progress, LastCall, RoomTold, OrdersRestated>;

struct Assign {
    TaskId task{};
    RunnerId runner{};
    Micros stop_at = 0;
};
struct Bounce {
    TaskId task{};
    Micros stay_away = 0;
};
struct Abandon {
    TaskId task{};
};
struct Withdraw {
    TaskId task{};
    int assignment = 0;
};
struct WakeAt {
    Micros at = 0;
    TimerMark mark{};
};
struct Probe {
    RunnerId runner{};
};
struct CloseIdle {
    RunnerId runner{};
};
struct TellPeers {
    std::string words;
};  // to every peer
struct TellPeer {
    PeerId to{};
    std::string words;
};
struct LogLine {
    std::string text;
};
struct FollowRoster {
    bool on = true;
};
struct AskRoster {};

using Action = std::variant<Assign, Bounce, Abandon, Withdraw, WakeAt, Probe, CloseIdle, TellPeers, TellPeer,
                            LogLine, FollowRoster, AskRoster>;

}  // namespace gannethold
