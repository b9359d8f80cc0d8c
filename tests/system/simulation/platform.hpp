// A stand-in for the platform: workers with memory, and the runners that are started on them.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/placement/planner.hpp"
#include "cluster/runners/platform_api.hpp"
#include "configuration_template.hpp"
#include "environment.hpp"

namespace gannethold::cluster::simulation {

struct Runner {
    std::string id;
    std::string service;
    std::string address;
    std::string worker;
    std::string zone;
    std::uint32_t slots = 1;
    std::uint32_t busy = 0;  // of its slots
    Micros ready_at = 0;
    Micros listed_at = 0;
    Micros ended_at = 0;
    bool draining = false;
    bool ended = false;
};

class Platform {
  public:
    struct Counts {
        int starts = 0;
        int stops = 0;
        int fenced_starts = 0;  // rejected for their fencing token
    };
    using StartCallback = std::function<void(StartResult, const RunnerInfo&)>;

    Platform(Environment& environment, const ConfigurationTemplate& configuration);

    /// Starts a runner, or returns the one that this nonce started before. `fence` is the fencing token of
    /// the caller: a lower one than any before is rejected. The answer comes after a delay, and as
    /// StartResult::timed_out if it is lost.
    void start(const StartRunner& request, Number fence, const std::string& caller, StartCallback on_answer);
    /// Calls on_answer unless the answer is lost.
    void stop(const std::string& runner, EventQueue::Action on_answer);
    /// As the platform's API shows them: runners appear and disappear late.
    std::vector<Worker> list_workers() const;
    RunnerListPage list_runners() const;

    // ---- faults
    void crash_worker(const std::string& worker);
    void drain_worker(const std::string& worker);
    /// A runner of that service ends, and one of another service has its address.
    void reuse_address(const std::string& service);
    void set_answer_loss(double share) { answer_loss_ = share; }

    // ---- state
    /// The running one at that address, which may still be booting; nullptr: none.
    Runner* find_by_address(const std::string& address);
    /// That runner, also if it has ended; nullptr: there never was one.
    Runner* find(const std::string& id);
    bool is_worker_down(const std::string& worker) const { return workers_down_.contains(worker); }
    std::size_t count_running(const std::string& service) const;
    const Counts& counts() const { return counts_; }

  private:
    bool accept_fence(Number fence, const std::string& caller);
    bool has_room(const ServiceSpec& spec, const std::string& worker) const;
    /// The id of the runner for this request; empty: there is no room.
    std::string runner_for(const StartRunner& request);
    std::string boot(const ServiceSpec& spec, const std::string& worker);
    void end(Runner& runner, Micros when);

    Environment& environment_;
    const ConfigurationTemplate& configuration_;
    std::map<std::string, std::unique_ptr<Runner>> runners_;  // by id
    std::map<std::string, std::string> started_;              // service and nonce: runner
    std::set<std::string> workers_down_;
    std::set<std::string> workers_draining_;
    Number fence_ = 0;  // the highest token seen, and whose it is
    std::string fence_owner_;
    std::uint64_t booted_ = 0;
    double answer_loss_ = 0;
    Counts counts_;
};

}  // namespace gannethold::cluster::simulation
