// The slots of all runners, which the coordinator grants for all proxies together: a runner never has more
// requests in flight than its max_concurrency, whichever proxies send them.
//
// A function is in one of two modes. Coordinated: a proxy acquires a slot for each request and names the
// runner that it drew by its split fractions. The fractions select the runner, the grant admits the request.
// A request that finds no free slot waits in the function's queue, the most urgent first, so that one order
// applies to the requests of all proxies. Unrestricted: so many slots are free that random variation fills
// runners no more often than the operators allow. Proxies send requests by their fractions without a grant
// and report their loads once per second (slots/mode_controller.hpp).
//
// The table also enforces the common retry budgets. It performs no I/O and reads no clock: `now` is a time of
// the coordinator's steady clock and never decreases, and messages to proxies are collected in a ProxyOutbox.
// Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cluster/base/bounded_history.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/slots/arrivals.hpp"
#include "cluster/slots/boot_times.hpp"
#include "cluster/slots/function.hpp"
#include "cluster/slots/function_registry.hpp"
#include "cluster/slots/mode_controller.hpp"
#include "cluster/slots/priority_inversion.hpp"
#include "cluster/slots/proxy_outbox.hpp"
#include "cluster/slots/proxy_sessions.hpp"
#include "cluster/slots/request_scheduler.hpp"
#include "cluster/slots/runner_notifier.hpp"
#include "cluster/slots/runner_table.hpp"
#include "cluster/slots/work_durations.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Coordinates functions, runners, proxy sessions and wait queues; the interface of the coordinator's
// decisions on requests.
class SlotTable {
  public:
    struct Options {
        double retry_budget = 0;  // retries of each function within retry_budget_window
        Micros retry_budget_window = 10'000'000;
        double max_rejections = 10;  // allowed for the runners of one function in 5 s
        std::uint32_t first_runner_number = 1;
        bool allow_unrestricted = true;
        int late_turn_interval = 4;  // RequestScheduler::Options
    };
    explicit SlotTable(const Options& options);
    // Not copyable: members hold references to each other.
    SlotTable(const SlotTable&) = delete;
    SlotTable& operator=(const SlotTable&) = delete;
    ~SlotTable() = default;

    void configure(std::shared_ptr<const Configuration> configuration);

    // ---- events from proxies; events of a session that is not registered are ignored ----
    void on_proxy_registered(Micros now, Session session, const RegisterRequest& registration,
                             ProxyOutbox& out);
    void on_proxy_disconnected(Micros now, Session session, ProxyOutbox& out);
    // Returns the function of the request; nullptr if there is no such function.
    Function* on_acquire_request(Micros now, Session session, const AcquireRequest& request,
                                 ProxyOutbox& out);
    void on_release(Micros now, Session session, const Release& release, ProxyOutbox& out);
    void on_runner_reachable(Micros now, Session session, const RunnerReachable& report, ProxyOutbox& out);
    void on_load_report(Micros now, Session session, const LoadReport& report);
    void on_outstanding_report(Micros now, Session session, const OutstandingReport& report);

    // ---- events from the platform ----
    void on_runner_started(Micros now, const RunnerInfo& info, ProxyOutbox& out);
    void on_runner_listed(Micros now, const RunnerInfo& info, bool draining, ProxyOutbox& out);
    void on_runner_gone(Micros now, const std::string& id, ProxyOutbox& out);

    // Stops granting slots of the runner. Returns true once no request is outstanding and requests that were
    // sent before the proxies were notified have arrived, and for a runner that is gone.
    bool drain_runner(Micros now, std::uint32_t number, ProxyOutbox& out);

    // Samples loads, updates modes and denies requests that can no longer be served in time. To be called
    // once per kSampleInterval.
    static constexpr Micros kSampleInterval = 100'000;
    void tick(Micros now, ProxyOutbox& out);

    const BoundedHistory<PriorityInversion>& priority_inversions() const {
        return scheduler_.priority_inversions();
    }
    // Expected requests per second for the function. prior: requests per second that are expected of all
    // proxies and functions together before any has been observed. REQUIRES: the function is configured.
    double expected_rate(Micros now, const Function& function, double prior) const;
    const BootTimes& boot_times() const { return boot_times_; }
    std::size_t proxy_count() const { return proxies_.size(); }

    const std::unordered_set<Function*>& active() const { return functions_.active(); }
    // Returns the next `count` of all functions, active or not, in round-robin order.
    std::vector<Function*> next_round_robin(std::size_t count) { return functions_.next_round_robin(count); }
    void activate(Function& function) { functions_.activate(function); }
    const std::unordered_map<std::string, std::unique_ptr<Function>>& functions() const {
        return functions_.all();
    }
    const std::unordered_map<std::uint32_t, RunnerSlots>& runners() const { return runners_.all(); }
    // REQUIRES: there is such a runner.
    const RunnerSlots& runner(std::uint32_t number) const { return runners_.at(number); }
    // nullptr: the session is not registered.
    const std::string* proxy_zone(Session session) const;
    const std::string* proxy_name(Session session) const;
    // See slots/expected_wait.hpp.
    double expected_wait_us(Micros now, const Function& function) const;

  private:
    void subscribe(Session session, Function& function);
    // Subscribes the session and sends the state of the function to a new subscriber.
    void subscribe_and_notify(Session session, Function& function, ProxyOutbox& out);
    void take_over_runners(Micros now, Session session, const RegisterRequest& registration,
                           ProxyOutbox& out);
    void take_over_unrestricted(Micros now, Session session, const FunctionLoad& load, ProxyOutbox& out);
    // Sends the mode to a proxy that still acquires slots of functions that are now unrestricted.
    void correct_modes(Session session, const RegisterRequest& registration, ProxyOutbox& out);
    void end_grant(Micros now, Session session, const Release& release, RunnerSlots& runner);
    void remove_runner(Micros now, RunnerSlots& runner, ProxyOutbox& out);
    void start_draining(Micros now, RunnerSlots& runner);
    void assign_probers(ProxyOutbox& out);
    void sample(Micros now, Function& function, ProxyOutbox& out);

    void count_arrivals(Micros now, Function& function, double requests);

    FunctionRegistry functions_;
    RunnerTable runners_;
    ProxySessions proxies_;
    WorkDurations durations_;
    BootTimes boot_times_;
    ObservedTime observed_time_;
    RunnerNotifier notifier_;
    ModeController modes_;
    RequestScheduler scheduler_;
};

}  // namespace gannethold::cluster
