// The messages between the cluster's own processes and the records that a controller stores, as plain values.
// codec.hpp encodes and decodes them.
//
// Controllers are identified by their control_plane address ("ip:port"), runners by the platform's runner_id.
// Terms, logs, votes and leases are those of Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm"); the sections cited below are those of that paper.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gannethold::cluster {

// Aliases that state the meaning of a number; they are plain integers, as in messages and stored records.
using Term = std::uint64_t;                  // of leadership; never decreases while the cluster exists
using LogIndex = std::uint64_t;              // of an entry in the replicated log; the first entry has index 1
using ConfigurationVersion = std::uint64_t;  // chosen by the operator; 0: no configuration yet
using Digest = std::uint64_t;                // of a configuration's text (configuration/digest.hpp)
using Incarnation = std::uint64_t;           // of a process: a new value after each start
using Round = std::uint64_t;                 // of heartbeats, counted within a term
using Nonce = std::uint64_t;                 // matches a response to its request
using ByteCount = std::uint64_t;
using RunnerNumber = std::uint32_t;  // a runner's number within one term; 0: no runner
using AcquireId = std::uint32_t;     // of a request for a slot, chosen by the proxy; 0: none
// A number whose meaning is given where it is used.
using Number = std::uint64_t;

// The position of an entry in the replicated log. Ordered by term, then by index: the greater of two
// positions is the more up-to-date one (section 5.4.1).
struct LogPosition {
    Term term = 0;
    LogIndex index = 0;
    // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
    friend auto operator<=>(const LogPosition&,
                            const LogPosition&) = default;  // NOLINT(modernize-use-nullptr)
};

// A configuration version that was confirmed to an operator, with the digest of that configuration's text.
struct ConfirmedVersion {
    ConfigurationVersion version = 0;
    Digest digest = 0;
    LogIndex index = 0;  // of the log entry that confirmed it
    friend bool operator==(const ConfirmedVersion&, const ConfirmedVersion&) = default;
};

// An entry of the replicated log. Each entry contains the complete replicated state, so only the newest entry
// is stored, and the newest entry that a quorum has stored is the one in force.
struct LogEntry {
    LogPosition position;
    ConfigurationVersion version = 0;
    std::vector<std::string> members;           // the voters
    std::vector<std::string> outgoing_members;  // the voters before a membership change in progress
                                                // (joint consensus, section 6); empty otherwise
    std::vector<ConfirmedVersion> confirmed;  // the newest ones, by index (consensus/confirmed_versions.hpp)
    std::string body;                         // the configuration as the operator sent it
};

// What a member must remember about its votes (the persistent state in figure 2 of the paper). It is written
// to disk before any message that depends on it is sent.
struct VotingState {
    bool is_member = false;      // false: its earlier votes are unknown (empty disk), or it is not a voter
    Term term = 0;               // current_term
    std::string voted_for;       // in that term; empty: no vote
    Term no_vote_through = 0;    // it grants no vote up to this term: a lost disk may have held such votes
    Term pre_voted_through = 0;  // the newest term in which it granted a pre-vote
    std::string last_leader;     // leader of the last answered heartbeat; its lease may outlast a restart
};

// A log entry as the difference to a base entry (consensus/entry_transfer.hpp).
struct EntryPayload {
    ConfigurationVersion version = 0;
    std::vector<std::string> members;
    std::vector<std::string> outgoing_members;
    std::vector<ConfirmedVersion> confirmed;  // versions that the base entry does not contain
    std::string body_delta;                   // relative to the base entry's body (configuration/delta.hpp)
};

// A configuration's text as a delta to a base that the receiver has.
struct Delta {
    std::uint64_t base = 0;  // the base's configuration version; 0: the base is an empty text
    std::string bytes;       // as encoded by configuration/delta.hpp
};

// ---- between controllers ----

// From a candidate: requests a vote in a term (section 5.2). A pre-vote asks whether the vote would be
// granted, so that a member that returns after a partition does not raise the terms of the others.
struct VoteRequest {
    Term term = 0;
    LogPosition last_entry;  // of the candidate
    bool pre_vote = false;
    bool leadership_transfer = false;  // the leader requested this election and gave up its lease
};
struct VoteResponse {
    Term term = 0;
    bool granted = false;
    bool pre_vote = false;
    Term no_vote_through = 0;  // the sender grants no vote up to this term
};
// The leader's heartbeat.
struct AppendRequest {
    Term term = 0;
    Round round = 0;
    LogPosition last_entry;  // of the leader
    LogPosition committed;   // the newest entry that a quorum has stored
};
// A part of the leader's newest entry (consensus/entry_transfer.hpp).
struct EntryChunk {
    Term term = 0;
    Round round = 0;
    LogPosition position;  // of the entry
    LogPosition base;      // of the entry that the payload is a delta to; {}: none
    ByteCount offset = 0;  // of this chunk in the encoded payload
    ByteCount total_bytes = 0;
    std::string bytes;
};
// The response to a heartbeat or a chunk.
struct AppendResponse {
    Term term = 0;
    Round round = 0;
    LogPosition last_entry;  // on the sender's disk
    LogPosition receiving;   // the entry whose chunks are being received; {}: none
    ByteCount received_bytes = 0;
    bool leaving = false;  // the sender is shutting down
};
// From a member that lost its disk, or from a controller that is not a member.
struct RecoveryRequest {
    Nonce nonce = 0;
};
struct RecoveryResponse {
    Nonce nonce = 0;
    Term term = 0;
    Term pre_voted_through = 0;
    std::string leader;  // as far as the sender knows; empty: unknown
    LogPosition last_entry;
    std::vector<std::string> members;
    std::vector<std::string> outgoing_members;
};
// From a controller that is not a member: requests to become a learner.
struct JoinRequest {};
// From the leader before it shuts down: the receiver starts an election at once (leadership transfer).
struct TimeoutNow {
    Term term = 0;
};
// From a member that is about to shut down permanently. The leader responds once the member is no longer a
// voter.
struct LeaveRequest {};
struct LeaveResponse {
    Term term = 0;
};

// ---- between proxies and controllers ----

// A runner: one instance of a function's service.
struct RunnerInfo {
    std::string runner_id;
    std::string service;
    std::string address;  // "ip:port"
    std::string zone;
    std::string worker;             // the machine on which it runs
    std::uint32_t slots = 1;        // requests that it may serve concurrently
    std::uint32_t outstanding = 0;  // requests that the sender has in flight at it
    bool reachable = false;
};
// The load that one proxy sent to one function since its last report.
struct FunctionLoad {
    std::string service;
    std::uint32_t requests = 0;
    std::uint32_t busy_ms = 0;  // the sum of the requests' durations
};
// A proxy's first message to a controller.
struct RegisterRequest {
    std::string name;
    std::string zone;
    Incarnation incarnation = 0;
    ConfigurationVersion configuration_version = 0;
    std::vector<RunnerInfo> runners;
    std::vector<FunctionLoad> unrestricted;  // load in the last second of functions in unrestricted mode
};
// The response of a controller that is not the leader.
struct Redirect {
    std::string leader;
};
struct RegisterResponse {
    Term term = 0;
    std::uint32_t rank = 0;     // of this proxy among all proxies, counted from 0
    std::uint32_t proxies = 1;  // number of registered proxies
    std::vector<std::string> members;
};
struct ConfigurationUpdate {
    ConfigurationVersion version = 0;
    Delta delta;
};
struct ConfigurationAck {
    ConfigurationVersion version = 0;
};
enum class RunnerState : std::uint8_t { starting, ready, gone };
// From the leader: assigns a runner its number and reports changes of its state.
struct RunnerUpdate {
    RunnerNumber number = 0;
    RunnerState state = RunnerState::gone;
    RunnerInfo runner;   // not sent if the runner is gone
    bool watch = false;  // the proxy sends RunnerReachable once it can connect
};
// Requests a slot of a function.
struct AcquireRequest {
    AcquireId id = 0;
    RunnerNumber preferred_runner = 0;
    std::string service;
    std::uint32_t latency_target_ms = 0;  // remaining time until the latency target
    std::uint32_t deadline_ms = 0;        // remaining time until the deadline
    std::uint8_t priority = 0;            // 0 is the highest
    std::uint16_t request_class = 0;      // Route::request_class
    bool is_retry = false;                // the request was sent to another runner before
};
// What a request for a slot had to wait for.
enum class WaitReason : std::uint8_t {
    none,
    start,   // the start of a runner
    slot,    // a free slot at a runner
    memory,  // memory on a worker, for the start of a runner
};
struct AcquireGranted {
    AcquireId id = 0;
    RunnerNumber runner = 0;
    WaitReason wait_reason = WaitReason::none;
};
struct AcquireDenied {
    AcquireId id = 0;
    std::uint32_t retry_after_ms = 0;
    WaitReason wait_reason = WaitReason::none;
};
enum class ReleaseReason : std::uint8_t { unused, answered, failed, rejected, unreachable, gone };
// Releases a slot, or withdraws a request for one.
struct Release {
    AcquireId id = 0;         // 0: the slot was taken without a request
    RunnerNumber runner = 0;  // 0: no slot has been granted yet
    ReleaseReason reason = ReleaseReason::unused;
    std::uint32_t duration_ms = 0;  // for which the runner worked on the request
};
// The response to RunnerUpdate::watch.
struct RunnerReachable {
    RunnerNumber runner = 0;
    bool reachable = false;  // false: the proxy gave up connecting
};
// Whether slots of a function must be acquired. In unrestricted mode there is enough capacity for each proxy
// to balance its requests without acquiring slots; it only reports its load.
struct FunctionMode {
    std::string service;
    bool unrestricted = false;
    // While no coordinator is reachable, proxies may use any slot and not only those of their own share: for
    // the usual duration of such an outage, few requests would reach a runner without a free slot.
    bool has_spare_slots = false;
};
struct LoadReport {
    std::uint32_t interval_ms = 0;  // since the last report
    std::vector<FunctionLoad> loads;
};
struct OutstandingCount {
    RunnerNumber runner = 0;
    std::uint32_t requests = 0;
};
// The requests that a proxy has in flight at a function that has just left unrestricted mode. A Release
// follows for each when it ends.
struct OutstandingReport {
    std::vector<OutstandingCount> counts;
};
struct Heartbeat {};

using Message =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, RecoveryRequest, RecoveryResponse,
                 JoinRequest, TimeoutNow, LeaveRequest, LeaveResponse, EntryChunk, RegisterRequest, Redirect,
                 RegisterResponse, ConfigurationUpdate, ConfigurationAck, RunnerUpdate, AcquireRequest,
                 AcquireGranted, AcquireDenied, Release, RunnerReachable, Heartbeat, FunctionMode, LoadReport,
                 OutstandingReport>;

}  // namespace gannethold::cluster
