// The processing of each request in a proxy, from its head to its response. The handler finds the route in
// the current configuration, selects a runner by the function's split and acquires a slot from the
// coordinator (slots/slot_table.hpp). Whether the request may have run determines which responses are
// allowed. While no coordinator answers, the proxy uses its own share of each runner's slots
// (slot_share.hpp), so that all proxies together respect the limit.
//
// No I/O and no clock: the caller passes in events and the time, and executes the collected Actions. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/proxy/actions.hpp"
#include "cluster/proxy/attempt_result.hpp"
#include "cluster/proxy/deadline_queue.hpp"
#include "cluster/proxy/endpoint_table.hpp"
#include "cluster/proxy/function_table.hpp"
#include "cluster/proxy/pending_acquires.hpp"
#include "cluster/proxy/request_statistics.hpp"
#include "cluster/proxy/retry_state.hpp"
#include "cluster/proxy/slot_share.hpp"
#include "cluster/proxy/uniform_random.hpp"
#include "cluster/proxy/work_time.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// Handles the requests of a proxy.
class RequestHandler {
  public:
    struct Options {
        std::string name;  ///< of this proxy
        std::string zone;
        Number incarnation = 1;  ///< differs after each start of the process
        std::uint64_t random_seed = 1;
        int late_turn_interval = 4;  ///< one in this many slots goes to a late request, as at the coordinator
    };
    explicit RequestHandler(Options options)
        : options_(std::move(options)), endpoints_(functions_), random_(options_.random_seed) {}
    RequestHandler(const RequestHandler&) = delete;
    RequestHandler& operator=(const RequestHandler&) = delete;
    ~RequestHandler() = default;

    /// Installs a configuration. No effect unless its version is newer than the current one: a proxy never
    /// reverts to an older configuration.
    void configure(std::shared_ptr<const Configuration> configuration);
    /// Returns nullptr if no configuration has been received.
    const Configuration* configuration() const { return configuration_.get(); }
    /// Returns the version of the current configuration; 0 if there is none.
    Number version() const { return configuration_ ? configuration_->version() : 0; }

    // ---- clients and runners ----

    /// Handles a client's request. It is answered exactly once, by a local reply or a relayed response,
    /// unless the client disconnects first.
    void on_request(Micros now, RequestId id, std::string_view host, std::string_view path,
                    std::uint32_t deadline_ms, Actions& actions);
    /// Handles the disconnection of a client. Its request is dropped if it waits for a slot, or if it is at a
    /// runner and idempotent.
    void on_client_disconnected(Micros now, RequestId id, Actions& actions);
    /// Handles the end of the request's current attempt.
    void on_attempt_completed(Micros now, RequestId id, AttemptResult result, Actions& actions);
    /// Handles the end of a probe: the address accepted a connection, or the probe expired.
    void on_probe_completed(const std::string& address, bool reachable, Actions& actions);

    // ---- the coordinator ----

    /// Returns the message that opens a session with a coordinator. Changes that occur before
    /// on_coordinator_registered() are reported after it.
    RegisterRequest make_registration();
    void on_coordinator_registered(Micros now, Actions& actions);
    void on_coordinator_disconnected(Micros now, Actions& actions);
    bool has_coordinator() const { return has_coordinator_; }
    /// Sets whether the coordinator is currently silent in a session that is still open. While it is silent,
    /// requests of functions with spare slots are served without it, including those that wait for its
    /// answer.
    void set_coordinator_silent(Micros now, bool silent, Actions& actions);
    void on_message(Micros now, const Message& message, Actions& actions);

    // ---- time ----

    /// Call it at next_deadline(), at least every 0.2 s, and more often while requests are queued without a
    /// coordinator.
    void tick(Micros now, Actions& actions);
    std::optional<Micros> next_deadline() const { return deadlines_.next(); }

    /// Starts the shutdown of this process, whose last responses must be ready at `response_deadline`. From
    /// now on, a request that was not sent to a runner and that is not expected to complete in time is
    /// rejected at once. It has not run, so the client can send it to another proxy.
    void begin_shutdown(Micros now, Micros response_deadline, Actions& actions);
    /// Answers all pending requests: rejects those that have not run, and answers those that may have run
    /// with an error. Later requests are rejected.
    void answer_all_pending(Micros now, Actions& actions);

    // ---- for operators ----

    std::size_t pending_requests() const { return requests_.size(); }
    std::vector<RunnerShare> shares() const { return functions_.shares(); }
    const RequestStatistics& statistics() const { return statistics_; }
    std::vector<ValueLoss> take_new_losses() { return statistics_.take_new_losses(); }

  private:
    // Retry-After of a rejection that another proxy can serve at once.
    static constexpr std::uint32_t kRetryOtherProxyMs = 50;

    enum class Phase {
        acquiring,  ///< waits for the coordinator to grant a slot
        queued,     ///< waits in this proxy for a slot of its own share
        sent,       ///< an attempt is in flight
    };
    struct Request {
        RequestId id = 0;
        std::shared_ptr<const Configuration> configuration;  ///< owns the route
        const Route* route = nullptr;                        ///< nullptr: no route matches
        std::string service;
        std::string runner;  ///< of the current attempt
        Phase phase = Phase::acquiring;
        RetryState retry;
        Micros arrived_at = 0;
        Micros target_at = 0;                ///< the end of its latency target
        Micros deadline_at = 0;              ///< the end of its timeout
        Micros sent_at = 0;                  ///< when the current attempt was sent
        std::uint32_t acquire_id = 0;        ///< of the slot's AcquireRequest in this session; 0: none
        std::uint32_t preferred_runner = 0;  ///< the runner number in its AcquireRequest; 0: any
        bool client_connected = true;
        bool is_uncounted = false;  ///< sent without a grant while the coordinator was silent
        bool unrestricted = false;  ///< the attempt was sent without a slot
        ValueLoss::Cause delay_cause = ValueLoss::Cause::work;  ///< the last cause of delay
    };

    // Selection of a runner and a slot.
    void start_attempt(Micros now, Request& request, Actions& actions);
    void acquire_slot(Micros now, Request& request, const Endpoint* preferred, Actions& actions);
    void serve_queued(Micros now, const std::string& service, Actions& actions);
    void serve_all_queued(Micros now, Actions& actions);
    bool try_own_share(Micros now, Request& request, Actions& actions);
    std::uint32_t own_slots(const Endpoint& endpoint) const;
    Endpoint* select_without_coordinator(Micros now, const FunctionState& function);
    bool try_spare_slot(Micros now, Request& request, Actions& actions);
    void send(Micros now, Request& request, Endpoint& endpoint, Actions& actions);

    // The end of an attempt, and of a request.
    void account_attempt(Micros now, Request& request, AttemptResult result, Actions& actions);
    void release_slot(Micros now, Request& request, ReleaseReason reason, Actions& actions);
    void relay_success(Micros now, Request& request, Actions& actions);
    void retry_or_reply(Micros now, Request& request, AttemptResult result, Actions& actions);
    void reply(Micros now, const Request& request, ErrorCode error, std::uint32_t retry_after_ms,
               Actions& actions);
    void withdraw_acquire(const Request& request, Actions& actions);
    void abandon_attempt(Micros now, Request& request, Actions& actions);
    void cancel_attempt(Micros now, Request& request, ErrorCode error, Actions& actions);
    void close(RequestId id);

    // Messages from the coordinator.
    void on_granted(Micros now, const AcquireGranted& granted, Actions& actions);
    void reject_grant(Micros now, const AcquireGranted& granted, Request& request, bool is_usable,
                      Actions& actions);
    void on_denied(Micros now, const AcquireDenied& denied, Actions& actions);
    void on_function_mode(const FunctionMode& mode, Actions& actions);

    bool can_finish_before_shutdown(Micros now, const Request& request) const;
    void reject_unfinishable(Micros now, Actions& actions);
    void record_loss(Micros now, const Request& request, ValueLoss::Outcome outcome);
    void record_decision(Micros now, const Request& request, const std::string& runner, const char* reason);

    Options options_;
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<RequestId, Request> requests_;
    DeadlineQueue deadlines_;
    PendingAcquires acquires_;
    FunctionTable functions_;
    EndpointTable endpoints_;
    SlotShare slot_share_;
    bool has_coordinator_ = false;
    bool coordinator_silent_ = false;
    std::uint32_t outage_ = 0;  // the number of periods so far in which no coordinator answered
    RequestStatistics statistics_;
    UniformRandom random_;
    std::optional<Micros> response_deadline_;  // nullopt: not shutting down
    WorkTimeTable work_times_;
};

}  // namespace gannethold::cluster
