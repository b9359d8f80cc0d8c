// The lane in virtual time: many dispatchers, each with a policy of its own, and the theatre of a day, with
// no sockets and no clock. What happens next comes from one heap, ties in the order in which they were put
// there, so the same day and seed give the same result to the last bit.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "drain/drain.hpp"
#include "judge/judge.hpp"
#include "model/callers.hpp"
#include "model/theatre.hpp"
#include "results/tally.hpp"
#include "virtual/policies.hpp"

namespace gannethold::rehearsal {

using PolicyMaker = std::function<std::unique_ptr<Policy>(std::size_t dispatcher, const SettingsMap&,
                                                          std::uint64_t seed, Truth)>;

class World final : public Scene {
  public:
    World(const Day& day, std::uint64_t seed, PolicyMaker maker);

    // Plays the day. stop is looked at now and then: true ends it there, with what was seen.
    Result play(const std::function<bool(Micros now)>& stop = {});

  private:
    struct Origin {  // what a client wants, over all its tries
        Call call;
        Micros deadline = 0;
        int tries = 0;
        std::size_t dispatcher = 0;
        bool over = false;
        std::uint64_t request = 0;  // of the try that is out
    };
    struct Leg {
        std::uint64_t token = 0;
        std::size_t runner = 0;
        Micros since = 0;
        bool written = false, ended = false;
    };
    struct Task {
        std::uint64_t request = 0;
        std::size_t origin = 0;
        Micros expiry = 0;
        bool answered = false;
        int out = 0;
        std::vector<Leg> legs;
    };
    struct Node {
        std::unique_ptr<Policy> policy;
        std::unordered_map<TaskId, Task> tasks;
        std::vector<std::vector<Micros>> idle;  // by runner: since when each kept connection stands idle
        std::vector<bool> open;                 // by runner: what its list says
        std::uint64_t life = 1;                 // one more with each start
        drain::Drain drain{drain::DrainSettings{}};
        std::vector<bool> held;  // by runner: the operators hold it back
        std::uint64_t orders = 0;
        std::optional<LearnedState> kept;         // outlives it
        bool healthy = true, turns_away = false;  // as the front and whoever comes see it
        bool up = true, settling = false, watching = false;
        std::uint32_t version = 0;  // of its list
        std::uint64_t tasks_taken = 0;
    };
    struct OutLeg {
        std::size_t dispatcher = 0, runner = 0;
        std::uint64_t life = 0;
        TaskId task{};
        std::size_t number = 0;
        std::uint64_t request = 0;
    };
    struct Due {
        Micros at;
        std::uint64_t order;
        std::function<void()> happens;
    };

    // Scene
    void said(std::size_t runner, const std::vector<Word>& words) override;
    void runner_down(std::size_t runner) override;
    void runner_up(std::size_t) override {}
    void runner_silent(std::size_t runner, bool silent) override;
    void roster_changes(Micros at) override;
    void discovery_down(bool down) override;
    void discovery_moved() override;
    void discovery_back() override;
    void paths_changed() override;
    void kill(std::size_t dispatcher, Micros back_after) override;
    void restart(std::size_t dispatcher) override;
    void reload(std::size_t) override {}
    void drain(std::size_t dispatcher, Micros within) override;
    void undrain(std::size_t dispatcher) override;
    void hold(std::size_t runner, bool held) override;
    void surge(double factor) override { callers_.surge = factor; }

    void at(Micros when, std::function<void()> happens);
    void at_for(std::size_t d, Micros when, std::function<void()> happens);  // only in that life of it
    void start_node(std::size_t d);
    void note(std::size_t d, const Event& event);
    void settle(std::size_t d);
    void carry_out(std::size_t d, const Action& action);
    void assign(std::size_t d, const Assign& wanted);
    void deliver(const OutLeg& leg, const Job& job, bool kept, Micros takes);
    void end_leg(std::size_t d, TaskId task, std::size_t number, Outcome outcome, Report report = {});
    void give_up_leg(std::size_t d, TaskId task, std::size_t number, Outcome written, Outcome unwritten);
    void reset_legs(const std::function<bool(const OutLeg&)>& which);
    void probe(std::size_t d, RunnerId runner);
    void follow(std::size_t d);
    void tell_watchers();
    void bulletin(std::size_t d, bool all);
    void end_watches();
    void answer(std::size_t d, TaskId task, Final how, Micros stay_away);
    void look_at_drain(std::size_t d);
    void keep(std::size_t d);
    std::size_t unanswered(std::size_t d) const;
    EndpointEntry entry_for(std::size_t d, const Listed& listed) const;
    void forget_if_over(std::size_t d, TaskId task);
    void wake_runner(std::size_t r);
    Report report_of(std::size_t r) const;

    void next_call();
    void call(std::size_t origin);
    void back_to_client(std::size_t origin, std::uint64_t request, Final how, Micros stay_away);
    void done_with(std::size_t origin, Fate fate);
    bool may_retry(const Origin& o, Final how) const;

    const Day& day_;
    const std::uint64_t seed_;
    PolicyMaker maker_;
    Micros now_ = 0;
    std::vector<Due> heap_;
    std::uint64_t order_ = 0, tokens_ = 0, requests_ = 0;
    std::vector<SettingsMap> orders_;
    std::vector<std::string> kinds_;
    Judge judge_;
    Tally tally_;
    Callers callers_;
    Chance chance_;
    Theatre theatre_;
    std::vector<Node> nodes_;
    std::vector<std::uint64_t> runner_life_;
    std::vector<Micros> runner_wake_;
    std::unordered_map<std::uint64_t, OutLeg> out_;  // by token
    std::vector<Origin> origins_;
    std::size_t turn_ = 0;
    std::vector<std::string> missed_;
    std::vector<Word> words_;
};

// A day with one policy for all; the name goes into the result.
Result play_virtual(const Day& day, std::uint64_t seed, const std::string& policy,
                    const std::function<bool(Micros now)>& stop = {});

}  // namespace gannethold::rehearsal
