// A day: what a rehearsal plays, as its TOML file says. Read and checked whole before anything starts; what
// is wrong is told with the line and the name (toml::TomlError).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/runner.hpp"

namespace gannethold::rehearsal {

enum class Effects { idempotent, fingerprinted, side_effecting };
enum class Group { cell, zone, all };

struct RunnerPlan {
    std::string name, kind, hall;
    std::uint32_t cell = 0;
    Build build;
};

struct WorkloadPlan {
    std::string name;
    Effects effect{};
    Group group{};
    Micros due = 0, expiry = 0, window = 0;
    double importance = 1, tardy = 0, share = 1;
    Micros work = 0;
    double spread = 0, slots = 1, memory = 0;
    bool hinted = false;  // clients tell the work
};

struct CustomerPlan {
    std::string name;
    double share = 1, allowance = 0;  // a second
};

enum class Arrivals { poisson, even, bursts, replayed, closed };

struct ClientPlan {
    Arrivals arrivals{};
    double rate = 0;  // a second, over all dispatchers
    Micros burst_every = 0;
    std::vector<Micros> times;     // of a replay
    std::size_t connections = 64;  // to each dispatcher; closed loops: in all
    int tries = 1;
    Micros retry_after = 200'000;  // where no answer says when to come back
    bool marks = false;
    double leaves = 0;  // the share that goes away early
    Micros connect_limit = 1'000'000;
};

struct DispatcherPlan {
    std::size_t count = 1;
    std::size_t sockets = 1024, memory_mb = 64;
    std::vector<std::string> reports;  // as runners spell them; none: no reports
    bool probes = false, words = false, on_request = true;
    bool keepsake = false;  // what is learned outlives a restart
    bool poisoned = false;  // and comes back the wrong way round: the quick are believed slow
    int assignments = 3;
    Micros resolution = 1'000, connect_limit = 250'000, longest_away = 2'000'000;
};

struct RulePlan {
    Micros grace = 1'000'000, slack = 60'000;
    Micros must_ask = 10'000'000;
};

enum class FaultKind {
    crash,
    hang,
    vanish,
    stall,
    slow,
    errors,
    garbled,
    cut_answers,
    resets,
    late_reports,
    drain,
    release,
    discovery_down,
    discovery_lag,
    discovery_moved,
    discovery_back,
    delay,
    connects_lost,
    cut,
    narrow,
    kill,
    restart,
    reload,
    drain_dispatcher,
    hold,
    surge
};

struct FaultPlan {
    FaultKind kind{};
    std::string what;            // as the file spells it
    Micros at = 0, lasting = 0;  // lasting 0: to the end
    std::string on, from, to;
    double amount = 0;
    bool resets = false;
    Micros apart = 0;  // between one and the next of those it strikes
};

struct GoalPlan {
    std::optional<double> in_time, answered;  // shares of all tasks
    std::optional<Micros> p99;
    std::optional<double> worst_second;  // share in time, of a window of one second
    bool drained_in_time = false;        // who is drained has answered all by its deadline
};

struct Day {
    std::string name, what, source;
    Micros length = 0, warm = 0;
    std::vector<std::uint64_t> seeds;
    std::vector<std::string> halls;
    Micros path_delay = 100;
    std::vector<RunnerPlan> runners;
    std::vector<WorkloadPlan> workloads;
    std::vector<CustomerPlan> customers;
    ClientPlan clients;
    DispatcherPlan dispatchers;
    Micros discovery_lag = 0;
    RulePlan rules;
    std::vector<FaultPlan> faults;
    GoalPlan goals;
    std::vector<std::string> lanes;  // on which it makes sense

    bool plays_on(const std::string& lane) const;
    // Work that all warm runners do in a second, over that of a usual task.
    double tasks_a_second_at_most() const;
    std::string dispatcher_hall(std::size_t d) const { return halls[d % halls.size()]; }
    // The dispatchers' configuration, in the operators' spelling; what differs between lanes is passed in.
    std::string posting(std::size_t d, const std::string& listen, const std::string& discovery,
                        std::uint64_t seed, const std::string& known, const std::string& more = "") const;
};

Day read_day_file(const std::string& path);
Day read_day(const std::string& text, const std::string& source);

}  // namespace gannethold::rehearsal
