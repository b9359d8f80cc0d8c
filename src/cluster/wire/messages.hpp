// What the system's own processes say to each other, as plain values; codec.hpp turns them to bytes and back.
// Core machines are named by their control_plane address, runners by their runner_id.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gannethold::cluster {

using Number = std::uint64_t;

// Where an accepted state stands among all others: later terms first, then later indexes.
struct LogPosition {
    Number term = 0, index = 0;
    friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

// The core's whole shared state. Each change is a new one; the newest that a majority holds is in force.
struct LogEntry {
    LogPosition position;
    Number version = 0;                // of the configuration; 0: none yet
    std::vector<std::string> members;  // of the core
    std::string body;                  // the configuration as the operator sent it
};

// A body as the difference to one that the receiver holds; whole where base is nothing.
struct Delta {
    Number base = 0;  // for the core: the index; for fronts: the version. 0: whole
    std::string bytes;
};

// ---- among the core ----
struct VoteRequest {
    Number term = 0;
    LogPosition held;
    bool pre_vote = false;  // would you? Nothing is promised by asking
    bool handed = false;    // the leader itself asked for it
};
struct VoteResponse {
    Number term = 0;
    bool granted = false, pre_vote = false;
};
struct AppendRequest {
    Number term = 0, round = 0;
    LogPosition head, committed;  // what the leader holds; what a majority holds
    bool carries = false;
    Number version = 0;  // with the rest, if it carries the head
    std::vector<std::string> members;
    LogPosition base;
    Delta delta;
};
struct AppendResponse {
    Number term = 0, round = 0;
    LogPosition held;
};
struct RecoveryRequest {
    Number nonce = 0;
};
struct RecoveryResponse {
    Number nonce = 0, term = 0;
    std::string leader;  // as far as it knows
    LogEntry entry;
};
struct JoinRequest {};  // let me in
struct TimeoutNow {     // campaign at once: the leader leaves
    Number term = 0;
};

// ---- between fronts and the core ----
struct Holding {
    std::string runner, service, address, zone, worker;
    std::uint32_t slots = 1, out = 0;
    bool up = false;
};
struct Load {  // of one free function at one front, since its last report
    std::string service;
    std::uint32_t count = 0, busy_ms = 0;  // requests; time that they took together
};
struct Register {
    std::string name, zone;
    Number incarnation = 0, version = 0;
    std::vector<Holding> holdings;
    std::vector<Load>
        unrestricted;  // functions whose slots it takes unasked, and its part of each in the last second
};
struct Redirect {  // not me
    std::string leader;
};
struct Registered {
    Number term = 0;
    std::uint32_t rank = 0, fronts = 1;
    std::vector<std::string> members;
};
struct ConfigurationSent {
    Number version = 0;
    Delta delta;
};
struct ConfigurationHeld {
    Number version = 0;
};
enum class RunnerState : std::uint8_t { starting, ready, gone };
struct RunnerTold {
    std::uint32_t number = 0;  // for short, in this term
    RunnerState state = RunnerState::gone;
    Holding runner;
    bool watch = false;  // say when it can be reached
};
struct AcquireRequest {
    std::uint32_t id = 0, drawn = 0;  // drawn: the runner's number, 0: none
    std::string service;
    std::uint32_t aim_ms = 0, deadline_ms = 0;  // what is left of each
    std::uint8_t priority = 0;
    std::uint16_t shape = 0;  // of the work, by route: what has one shape takes alike long
    bool again = false;       // a second runner for the same request
};
enum class WaitedFor : std::uint8_t {
    nothing,
    start,
    slot,
    memory
};  // memory: a start that no worker has room for
struct AcquireGranted {
    std::uint32_t id = 0, runner = 0;
    WaitedFor waited = WaitedFor::nothing;
};
struct AcquireDenied {
    std::uint32_t id = 0, retry_ms = 0;
    WaitedFor waited = WaitedFor::nothing;
};
enum class Ended : std::uint8_t { unused, answered, failed, turned_away, unreachable, gone };
struct Release {
    std::uint32_t id = 0, runner = 0;
    Ended how = Ended::unused;
    std::uint32_t took_ms = 0;
};
struct RunnerReachable {
    std::uint32_t runner = 0;
    bool up = false;  // false: given up
};
// How a function's slots are kept. Free: there is so much room that each front sends where its fractions say,
// unasked.
struct Mode {
    std::string service;
    bool unrestricted = false;
};
struct LoadReport {
    std::uint32_t span_ms = 0;
    std::vector<Load> loads;
};
struct OutstandingReport {  // what a front has out of a function that is no longer free; each is released
                            // when it ends
    std::vector<std::pair<std::uint32_t, std::uint32_t>> by_runner;  // number, count
};
struct Heartbeat {};

using Message =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, RecoveryRequest, RecoveryResponse,
                 JoinRequest, TimeoutNow, Register, Redirect, Registered, ConfigurationSent,
                 ConfigurationHeld, RunnerTold, AcquireRequest, AcquireGranted, AcquireDenied, Release,
                 RunnerReachable, Heartbeat, Mode, LoadReport, OutstandingReport>;

}  // namespace gannethold::cluster
