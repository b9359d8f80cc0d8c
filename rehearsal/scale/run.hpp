// One scale run: the parts together, its phases one after the other.
#pragma once

#include <functional>
#include <memory>

#include "net/loop.hpp"
#include "scale/hollow_group.hpp"
#include "scale/measurements.hpp"
#include "scale/operator.hpp"
#include "scale/platform_stand_in.hpp"
#include "scale/system.hpp"

namespace gannethold::scale {

/// Start, steady part, each fault with its wait, end. All bounded in time.
class Run {
  public:
    Run(net::Loop& loop, const Options& options, const std::string& programs);

    /// Returns once the run is over.
    Measurements measure();

  private:
    enum class Phase { start, steady, fault, over };

    void tick();
    void look_at_changes(Micros now);
    void sample(Micros now);
    void begin_steady(Micros now);
    void begin_fault(Micros now);
    void do_fault(Fault fault);
    void undo_fault(Micros now);
    void look_at_recovery(Micros now);
    void end(const std::string& why = {});
    Reading read() const;
    std::string leader_text() const;

    net::Loop& loop_;
    const Options options_;
    const Addresses addresses_;
    PlatformStandIn platform_;
    System system_;
    Operator operator_;
    HollowFleet fleet_;
    net::Timer timer_;
    Measurements result_;
    Phase phase_ = Phase::start;
    Micros began_, phase_since_, sample_at_ = 0, sweep_at_ = 0, change_at_ = 0, undo_at_ = 0;
    std::size_t next_fault_ = 0;
    int faulted_ = -1;  // the controller that was killed or cut
    Usage last_leader_, last_proxy_, last_driver_;
    int last_leader_number_ = -1;
    Micros last_sample_ = 0;
    std::uint64_t dials_before_ = 0;
};

}  // namespace gannethold::scale
