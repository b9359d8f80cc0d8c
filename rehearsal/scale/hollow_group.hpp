// Hollow proxies on threads of their own, and what can be asked of them from outside.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "scale/hollow_proxy.hpp"

namespace gannethold::scale {

/// The hollow proxies of one thread.
class HollowGroup {
  public:
    HollowGroup(const Options& options, const Addresses& addresses, const Popularity& popularity, int first,
                int count);
    ~HollowGroup();

    /// Does it with each of them, in their own thread.
    void order(std::function<void(HollowProxy&)> what);
    const std::vector<std::unique_ptr<HollowProxy>>& proxies() const { return proxies_; }
    const HollowGround& ground() const { return ground_; }
    /// Processor time of its thread so far, in seconds.
    double processor_seconds() const;
    /// Ends the thread; what was measured can then be read.
    void stop();

  private:
    void run();
    void tick();

    net::Loop loop_;
    HollowGround ground_;
    std::vector<std::unique_ptr<HollowProxy>> proxies_;
    std::unique_ptr<net::Timer> timer_;
    std::mutex orders_lock_;
    std::vector<std::function<void(HollowProxy&)>> orders_;
    std::atomic<bool> ending_{false};
    std::atomic<double> processor_seconds_{0};
    std::thread thread_;
};

/// All groups of a run.
class HollowFleet {
  public:
    HollowFleet(const Options& options, const Addresses& addresses);

    /// How many are registered with a controller; since: not before that moment.
    int registered(Micros since = 0) const;
    /// How many hold at least that version.
    int holding(std::uint64_t version) const;
    /// How many were given a slot, or took one unasked, at that moment or later.
    int served(Micros since) const;
    /// The controller that serves most of them; HollowProxy::kNobody: none does.
    int leader() const;
    void order(const std::function<void(HollowProxy&)>& what);
    Traffic sent() const;
    Traffic received() const;
    double processor_seconds() const;
    void stop();
    const std::vector<std::unique_ptr<HollowGroup>>& groups() const { return groups_; }

  private:
    const Options& options_;
    Popularity popularity_;
    std::vector<std::unique_ptr<HollowGroup>> groups_;
};

}  // namespace gannethold::scale
