// What the system's own processes say to each other, as plain values; codec.hpp turns them to bytes and back.
// Core machines are named by their control_plane address, runners by their runner_id.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gannethold::cluster {

// What a number says. They are all of one type, as the messages and the stored records carry them.
using Term = std::uint64_t;                  // of leadership; grows for as long as the cluster exists
using LogIndex = std::uint64_t;              // of an entry in the replicated log; the first is 1
using ConfigurationVersion = std::uint64_t;  // which the operator gives; 0: none yet
using Digest = std::uint64_t;                // of a configuration's text (configuration/digest.hpp)
using Incarnation = std::uint64_t;           // of a process: another one after each start
using Round = std::uint64_t;                 // of heartbeats, counted from 1 within a term
using Nonce = std::uint64_t;                 // ties a response to its request
using ByteCount = std::uint64_t;
using RunnerNumber = std::uint32_t;  // stands for a runner within a term; 0: none
// Where the kind of number is not said yet.
using Number = std::uint64_t;

// Where an accepted state stands among all others: later terms first, then later indexes.
struct LogPosition {
    Term term = 0;
    LogIndex index = 0;
    // clang-tidy 14 takes the defaulted comparison for a null pointer.
    friend auto operator<=>(const LogPosition&,
                            const LogPosition&) = default;  // NOLINT(modernize-use-nullptr)
};

// A configuration number under which one body was confirmed to an operator. The digest says which body.
struct ConfirmedVersion {
    ConfigurationVersion version = 0;
    Digest digest = 0;
    LogIndex index = 0;  // of the log entry that confirmed it
    friend bool operator==(const ConfirmedVersion&, const ConfirmedVersion&) = default;
};

// The core's whole replicated state. Each change appends a new entry that holds all of it, so that only the
// newest entry is ever needed; the newest one that a quorum holds is in force.
struct LogEntry {
    LogPosition position;
    ConfigurationVersion version = 0;           // of the configuration; 0: none yet
    std::vector<std::string> members;           // the voters
    std::vector<std::string> outgoing_members;  // while membership changes: the voters before; else empty
    std::vector<ConfirmedVersion> confirmed;  // the newest ones, by index (consensus/confirmed_versions.hpp)
    std::string body;                         // the configuration as the operator sent it
};

// What a member has promised; it must be on disk before anything that follows from it is said.
struct Promise {
    bool member = false;  // false: a new disk, or no voter; its owner may have promised anything before
    Term term = 0;
    std::string voted_for;       // in that term
    Term no_vote_through = 0;    // votes in no term up to this one: its lost disk may have
    Term pre_voted_through = 0;  // the newest term in which it granted a pre-vote
    std::string
        last_leader;  // whose heartbeat was answered last: a lease may still be owed to it after a start
};

// What a log entry changes against another one; how it travels (consensus/entry_transfer.hpp).
struct EntryPayload {
    ConfigurationVersion version = 0;
    std::vector<std::string> members, outgoing_members;
    std::vector<ConfirmedVersion> confirmed;  // those that the base entry does not hold
    std::string body_delta;
};

// A body as the difference to one that the receiver holds; whole where base is nothing.
struct Delta {
    Number base = 0;  // for the core: the index; for fronts: the version. 0: whole
    std::string bytes;
};

// ---- among the core ----

// Asks for a vote in a term. A pre-vote asks whether the vote would be given, so that a member that was cut
// off does not raise the others' terms when it is back.
struct VoteRequest {
    Term term = 0;
    LogPosition held;
    bool pre_vote = false;
    bool leader_hands_over = false;  // the leader itself asked for this election and has given up its lease
};
struct VoteResponse {
    Term term = 0;
    bool granted = false;
    bool pre_vote = false;
    Term no_vote_through = 0;  // the sender gives no vote in terms up to this one
};
// The leader's heartbeat.
struct AppendRequest {
    Term term = 0;
    Round round = 0;        // of heartbeats, in this term
    LogPosition head;       // the leader's newest entry
    LogPosition committed;  // the newest that a quorum holds
};
// A piece of the leader's newest entry (consensus/entry_transfer.hpp).
struct EntryChunk {
    Term term = 0;
    Round round = 0;
    LogPosition position;
    LogPosition base;  // the entry that the payload is the difference to; {}: none
    ByteCount offset = 0;
    ByteCount total = 0;  // bytes of the encoded payload
    std::string bytes;
};
// Answers a heartbeat and a chunk.
struct AppendResponse {
    Term term = 0;
    Round round = 0;
    LogPosition held;        // on disk
    LogPosition receiving;   // the entry that is being received; {}: none
    ByteCount received = 0;  // bytes of its payload
    bool leaving = false;    // the sender is about to end
};
// From a member that lost its disk, or a machine that is no member: how do things stand?
struct RecoveryRequest {
    Nonce nonce = 0;
};
struct RecoveryResponse {
    Nonce nonce = 0;
    Term term = 0;
    Term pre_voted_through = 0;  // the newest term in which the sender granted a pre-vote
    std::string leader;          // as far as the sender knows; empty: not known
    LogPosition held;
    std::vector<std::string> members, outgoing_members;
};
// From a machine that is no member: make me a learner.
struct JoinRequest {};
// From the leader before it ends: stand for election at once.
struct TimeoutNow {
    Term term = 0;
};
// From a member that is about to end, and the leader's answer once it may.
struct LeaveRequest {};
struct LeaveResponse {
    Term term = 0;
};

// ---- between fronts and the core ----
struct RunnerInfo {
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
    Incarnation incarnation = 0;
    ConfigurationVersion version = 0;
    std::vector<RunnerInfo> runners;
    std::vector<Load>
        unrestricted;  // functions whose slots it takes unasked, and its part of each in the last second
};
struct Redirect {  // not me
    std::string leader;
};
struct Registered {
    Term term = 0;
    std::uint32_t rank = 0, fronts = 1;
    std::vector<std::string> members;
};
struct ConfigurationSent {
    ConfigurationVersion version = 0;
    Delta delta;
};
struct ConfigurationHeld {
    ConfigurationVersion version = 0;
};
enum class RunnerState : std::uint8_t { starting, ready, gone };
struct RunnerUpdate {
    RunnerNumber number = 0;
    RunnerState state = RunnerState::gone;
    RunnerInfo runner;
    bool watch = false;  // say when it can be reached
};
struct AcquireRequest {
    std::uint32_t id = 0, drawn = 0;  // drawn: the runner's number, 0: none
    std::string service;
    std::uint32_t latency_target_ms = 0, deadline_ms = 0;  // what is left of each
    std::uint8_t priority = 0;
    std::uint16_t shape = 0;  // of the work, by route: what has one shape takes alike long
    bool again = false;       // a second runner for the same request
};
enum class WaitReason : std::uint8_t {
    nothing,
    start,
    slot,
    memory
};  // memory: a start that no worker has room for
struct AcquireGranted {
    std::uint32_t id = 0, runner = 0;
    WaitReason waited = WaitReason::nothing;
};
struct AcquireDenied {
    std::uint32_t id = 0, retry_ms = 0;
    WaitReason waited = WaitReason::nothing;
};
enum class ReleaseReason : std::uint8_t { unused, answered, failed, rejected, unreachable, gone };
struct Release {
    std::uint32_t id = 0, runner = 0;
    ReleaseReason how = ReleaseReason::unused;
    std::uint32_t took_ms = 0;
};
struct RunnerReachable {
    std::uint32_t runner = 0;
    bool up = false;  // false: given up
};
// How a function's slots are kept. Free: there is so much room that each front sends where its fractions say,
// unasked.
struct FunctionMode {
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

using Message = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, RecoveryRequest,
                             RecoveryResponse, JoinRequest, TimeoutNow, LeaveRequest, LeaveResponse,
                             EntryChunk, Register, Redirect, Registered, ConfigurationSent, ConfigurationHeld,
                             RunnerUpdate, AcquireRequest, AcquireGranted, AcquireDenied, Release,
                             RunnerReachable, Heartbeat, FunctionMode, LoadReport, OutstandingReport>;

}  // namespace gannethold::cluster
