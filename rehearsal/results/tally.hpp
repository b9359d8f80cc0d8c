// What a rehearsal counts, as its clients saw it. A time counts from when the call was meant to begin.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "day/day.hpp"
#include "judge/judge.hpp"
#include "model/theatre.hpp"
#include "results/latencies.hpp"

namespace gannethold::rehearsal {

enum class Fate { in_time, late, bounced, abandoned, lost, left };

struct Second {
    std::uint64_t offered = 0, in_time = 0, late = 0, bounced = 0, abandoned = 0, lost = 0;
    Micros p50 = 0, p99 = 0;
    std::vector<double> in_flight, fractions;  // by runner, sampled at its end
};

struct WorkloadCount {
    std::uint64_t offered = 0, in_time = 0;
};

// How it went from the first of a day's restarts and kills of dispatchers on, for half a minute at the most.
struct Aftermath {
    Micros at = -1;      // -1: the day has none
    double in_time = 0;  // the share of all asked for
    Micros p99 = 0;
    double steady_s = 0;  // from the last of them until three seconds in a row were as good as those before,
                          // less 2%; or to the end
};

// One rehearsal of one day with one seed.
struct Result {
    std::string day, lane, policy;
    std::uint64_t seed = 0;
    std::uint64_t offered = 0, in_time = 0, late = 0, bounced = 0, abandoned = 0, lost = 0, left = 0;
    std::uint64_t tries = 0, tasks = 0, assignments = 0, effects = 0, toppled = 0, probes = 0,
                  connections = 0;
    double worth = 0;  // of all offered, the share that was earned
    Micros p50 = 0, p99 = 0, p999 = 0, most = 0;
    std::vector<Second> seconds;
    std::vector<Shade> shades;
    std::vector<std::string> runners;
    std::map<std::string, WorkloadCount> workloads;
    Aftermath aftermath;
    std::array<std::size_t, 5> broken{};
    std::vector<Breach> breaches;
    std::vector<std::string> missed;  // goals
    std::string void_because;         // the stand-ins or the generator were too slow: no verdict
    std::string cut_short;            // why it ended early
    Micros lateness_p99 = 0, lateness_most = 0;
    double cpu_us_a_task = 0, memory_mb = 0, wall_s = 0;  // wall_s is not written where runs must be equal

    bool rules_held() const { return broken[1] + broken[2] + broken[3] + broken[4] == 0; }
    bool good() const { return rules_held() && missed.empty() && void_because.empty(); }
    double share(std::uint64_t n) const {
        return offered > 0 ? static_cast<double>(n) / static_cast<double>(offered) : 0;
    }
};

class Tally {
  public:
    explicit Tally(const Day& day);

    void ended(Micros meant_at, std::size_t workload, Fate fate, Micros took);
    void tried() { ++result_.tries; }
    void sample(Micros now, std::vector<double> in_flight, std::vector<double> fractions);
    Result& result() { return result_; }
    // Sums up, and holds the result against the day's goals.
    Result finish(const Judge& judge);

  private:
    Second& second_of(Micros at);
    Aftermath aftermath() const;

    const Day& day_;
    Result result_;
    Latencies all_;
    std::vector<Latencies> each_;
    double offered_worth_ = 0, earned_worth_ = 0;
    std::uint64_t judged_ = 0, judged_in_time_ = 0, judged_answered_ = 0;
};

}  // namespace gannethold::rehearsal
