// The vocabulary that the decision module and its hosts share: ids, incoming events and outgoing actions.
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
enum class InstanceTypeId : std::uint32_t {};
enum class GroupId : std::uint32_t {};
enum class PeerId : std::uint32_t {};
enum class TimerId : std::uint64_t {};

// The settings in force: values by name, not parsed yet (see SettingsReader).
using SettingsMap = std::map<std::string, std::string>;

// The workloads whose tasks a runner accepts, by id; it accepts every workload with a larger id.
using WorkloadSet = std::bitset<256>;

enum class RunnerState { ready, draining, gone };
// What an update of the runner list covers. cached: the list known before the start; dynamic_workers: changes
// among runners that are connected directly and appear in no list.
enum class UpdateScope { failed, complete, cached, delta, dynamic_workers };
enum class Outcome { finished, error, full, timed_out, connect_failed, reset, withdrawn, not_started };
enum class Stage { begun, progress };

inline bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_started;
}

// A runner as the runner list describes it.
struct EndpointEntry {
    RunnerId runner{};
    ZoneId zone{};
    InstanceTypeId instance_type{};
    GroupId group{};
    RunnerState state = RunnerState::ready;
    double weight = 1;
    Micros started_at = 0;  // 0: started long ago, no slow start
    WorkloadSet workloads = WorkloadSet().set();
    bool accepts(WorkloadId workload) const {
        return static_cast<std::size_t>(workload) >= workloads.size() ||
               workloads[static_cast<std::size_t>(workload)];
    }
    bool pulls = false;  // it requests tasks, so its own reports of capacity are exact and need no probe
};

// A runner's load values, in the order of the names in "reports.names".
using Report = std::vector<double>;

struct MembershipUpdate {
    UpdateScope scope;
    std::uint32_t version;
    std::vector<EndpointEntry> entries;
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
    bool client_retry = false;
    bool write = false;
    bool after_disconnect = false;
};
struct StreamBegun {
    TaskId task{};
    int assignment = 0;
    RunnerId runner{};
    Micros elapsed = 0;
};
struct AssignmentEnded {
    TaskId task{};
    bool task_answered = false;  // the task has its final answer, by this assignment or earlier
    std::uint32_t detail = 0;
    Micros elapsed = 0;
    RunnerId runner{};
    int assignment = 0;
    Outcome outcome = Outcome::finished;
    Report report;
};
struct ClientDisconnected {
    TaskId task{};
};
struct TimerFired {
    TimerId timer{};
};
struct ProbeEnded {
    RunnerId runner{};
    Outcome outcome = Outcome::finished;
    Micros elapsed = 0;
    Report report;
};
// From a runner that pulls: the tasks it runs plus the tasks it requests.
struct CapacityReported {
    RunnerId runner{};
    double slots = 0;
};
struct PeerMessage {
    PeerId from{};
    std::string payload;
};
struct Progress {
    TaskId task{};
    double done = 0;
    RunnerId runner{};
    int assignment = 0;
    Stage stage{};
};

// New settings are in force. A workload keeps its id as long as its settings stay the same; open tasks keep
// the settings under which they arrived.
struct SettingsChanged {
    SettingsMap settings;
    std::vector<WorkloadId> learn_from;  // by new id: the workload whose estimates it takes over, if valid
};

// Every open task needs a final answer now, because the dispatcher is about to exit.
struct DrainDeadline {};

using Event =
    std::variant<MembershipUpdate, TaskArrived, StreamBegun, AssignmentEnded, ClientDisconnected, TimerFired,
                 ProbeEnded, PeerMessage, Progress, DrainDeadline, CapacityReported, SettingsChanged>;

// Send the task to the runner, and stop waiting for it at the deadline (0: at the task's expiry).
struct Assign {
    TaskId task{};
    RunnerId runner{};
    Micros deadline = 0;
};
// Answer that the task did not run and may be sent again; retry_after 0: no time is named.
struct Bounce {
    TaskId task{};
    Micros retry_after = 0;
};
// Answer that the task failed and may have run.
struct Abandon {
    TaskId task{};
};
// Cancel an assignment.
struct Withdraw {
    TaskId task{};
    int assignment = 0;
};
// Send TimerFired at that time.
struct WakeAt {
    Micros at = 0;
    TimerId timer{};
};
struct Probe {
    RunnerId runner{};
};
// Close the runner's idle connections.
struct CloseIdle {
    RunnerId runner{};
};
struct BroadcastToPeers {
    std::string payload;
};
struct SendToPeer {
    PeerId to{};
    std::string payload;
};
struct LogLine {
    std::string text;
};
struct WatchMembership {
    bool on = true;
};
struct FetchMembership {};

using Action = std::variant<Assign, Bounce, Abandon, Withdraw, WakeAt, Probe, CloseIdle, BroadcastToPeers,
                            SendToPeer, LogLine, WatchMembership, FetchMembership>;

}  // namespace gannethold
