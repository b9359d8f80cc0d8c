// The theatre: runners, discovery and network of a day, and the timeline of its troubles. No I/O; a lane
// brings the time and carries what happens here to dispatchers that are real processes or instances in
// virtual time.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "day/day.hpp"
#include "model/paths.hpp"
#include "model/registry.hpp"
#include "model/runner.hpp"

namespace gannethold::rehearsal {

// What the theatre cannot do by itself.
class Scene {
  public:
    virtual void said(std::size_t runner, const std::vector<Word>& words) = 0;
    virtual void runner_down(std::size_t runner) = 0;  // connections reset, new ones refused
    virtual void runner_up(std::size_t runner) = 0;
    virtual void runner_silent(std::size_t runner, bool silent) = 0;  // nothing passes, nobody is told
    virtual void roster_changes(Micros at) = 0;                       // the registry has something due then
    virtual void discovery_down(bool down) = 0;
    virtual void discovery_moved() = 0;
    virtual void discovery_back() = 0;  // it restarted and counts from the beginning
    virtual void paths_changed() = 0;
    virtual void kill(std::size_t dispatcher, Micros back_after) = 0;  // 0: stays away
    virtual void restart(std::size_t dispatcher) = 0;                  // asked to leave, then started again
    virtual void reload(std::size_t dispatcher) = 0;
    // An operator's order: all answered so long from now; and that order taken back.
    virtual void drain(std::size_t dispatcher, Micros within) = 0;
    virtual void undrain(std::size_t dispatcher) = 0;
    virtual void hold(std::size_t runner, bool held) = 0;  // at every dispatcher
    virtual void surge(double factor) = 0;

  protected:
    ~Scene() = default;
};

// A stretch of time with a trouble in it, for the report.
struct Shade {
    Micros from = 0, to = 0;
    std::string what;
};

class Theatre {
  public:
    Theatre(const Day& day, std::uint64_t seed, Scene& scene);

    std::vector<Runner> runners;
    Registry registry;
    Paths paths;
    std::vector<bool> silent;  // of the runners: vanished
    std::vector<Shade> shades;

    Micros next() const { return edge_ < edges_.size() ? edges_[edge_].at : kNever; }
    void play(Micros now);  // all that is due
    std::string place_of_runner(std::size_t r) const {
        return day_.runners[r].hall + "/" + day_.runners[r].name;
    }
    std::string place_of_dispatcher(std::size_t d) const {
        return day_.dispatcher_hall(d) + "/d-" + std::to_string(d + 1);
    }
    bool hands(std::size_t d, std::size_t r) const;  // whether anything passes between them now

  private:
    struct Edge {
        Micros at = 0;
        std::uint64_t order = 0;
        std::function<void(Micros)> happens;
    };
    void plan(const FaultPlan& fault, Chance& chance);
    void at(Micros when, std::function<void(Micros)> happens);
    std::vector<std::size_t> struck(const std::string& on, Chance& chance) const;
    void list(Micros now, std::size_t r, RunnerState state);
    void crash(Micros now, std::size_t r);
    void start(Micros now, std::size_t r);

    const Day& day_;
    Scene& scene_;
    std::vector<GroupMemory> groups_;
    std::vector<Edge> edges_;
    std::size_t edge_ = 0;
};

}  // namespace gannethold::rehearsal
