// The slots of all runners, kept by the one who leads the core, for all fronts in common: a runner is never given more
// requests at once than its max_concurrency, whoever sends them. A front asks for a slot for each request and names the
// runner that its fractions drew; the fractions say where, the slot says whether. What finds no slot waits here, most
// urgent first, so that one order holds for all fronts.
//
// Also the common budget of second runners. No I/O and no clock; messages to fronts are collected in Mail.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "post/configuration/configuration.hpp"
#include "post/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::post {

using Session = std::uint64_t;  // one connection of one front

struct FrontMail {
    Session to = 0;
    Message message;
};

// How long work of one shape takes, smoothed, in microseconds.
class Usual {
  public:
    void add(double took);
    double get(double otherwise) const { return weight_ > 0 ? mean_ : otherwise; }

  private:
    double mean_ = 0, weight_ = 0;
};

struct Slots {  // one runner
    std::uint32_t number = 0;
    Holding what;  // out: not used here
    RunnerState state = RunnerState::starting;
    bool draining = false;  // takes no more; also once it is to be stopped
    std::uint32_t out = 0;
    std::map<Session, std::uint32_t> out_by;
    Micros began = 0, idle_since = 0, seen = 0;  // seen: in the platform's list; 0: never
    Micros aside_until = 0;
    std::set<Session> told;
    Session watcher = 0;
    bool ordered = false;  // started by this keeper, or told by a front
};

struct Function {
    const Service* service = nullptr;
    std::vector<std::uint32_t> runners;
    std::set<Session> interested;
    struct Waiting {
        Session front = 0;
        Ask ask;
        Micros since = 0, aim_at = 0, deadline_at = 0;
    };
    std::deque<Waiting> waiting;  // in no order; few
    double load_fast = 0, load_slow = 0, load_peak = 0;  // slots busy or wanted
    double rate = 0;                                     // asks a second
    int asked = 0;                                       // since the last sample
    std::map<std::string, double> load_by_zone;          // slow
    Micros last_ask = 0;
    std::deque<Micros> seconds_tried;  // further tries within the budget's window
    std::deque<Micros> first_tried;
};

class Book {
  public:
    struct Terms {
        Number term = 1;
        double budget_ratio = 0.2, budget_slack = 0;
        Micros budget_window = 10'000'000;
        std::uint32_t first_number = 1;
    };
    explicit Book(const Terms& terms) : terms_(terms), next_number_(terms.first_number) {}

    void configure(std::shared_ptr<const Configuration> configuration);

    void front_came(Micros now, Session front, const Greeting& greeting, std::vector<FrontMail>& out);
    void front_left(Micros now, Session front, std::vector<FrontMail>& out);
    void ask(Micros now, Session front, const Ask& ask, std::vector<FrontMail>& out);
    void release(Micros now, Session front, const Release& release, std::vector<FrontMail>& out);
    void up(Micros now, Session front, const Up& up, std::vector<FrontMail>& out);

    // A runner that the platform says it starts; one that stands in its list; one that ended.
    void began(Micros now, const Holding& what, std::vector<FrontMail>& out);
    void listed(Micros now, const Holding& what, bool draining, std::vector<FrontMail>& out);
    void gone(Micros now, const std::string& runner, const char* why, std::vector<FrontMail>& out);
    // No more is granted there; true once nothing is out.
    bool retire(Micros now, std::uint32_t number, std::vector<FrontMail>& out);

    // Samples loads, answers what can no longer be in time, and so on. Call each kSample.
    static constexpr Micros kSample = 100'000;
    void tick(Micros now, std::vector<FrontMail>& out);

    const std::map<std::string, Function>& functions() const { return functions_; }
    const std::map<std::uint32_t, Slots>& runners() const { return runners_; }
    const Slots* find(const std::string& runner) const;
    std::size_t fronts() const { return fronts_.size(); }
    const std::string* zone_of(Session front) const;
    double usual(const Function& function, std::uint16_t shape) const;
    // When a slot of the function is likely to come free, from now on; 0 if one is.
    double expected_wait(Micros now, const Function& function) const;

  private:
    struct Front {
        std::string name, zone;
        std::unordered_map<std::uint32_t, std::pair<std::uint32_t, std::pair<Micros, std::uint16_t>>> granted;  // ask: runner, since, shape
    };

    Function& function(const std::string& name);
    Slots* choose(Micros now, const Function& function, const Ask& ask, const std::string& zone);
    void grant(Micros now, Slots& runner, Function& f, Session front, const Ask& ask, std::vector<FrontMail>& out);
    void serve(Micros now, Function& f, std::vector<FrontMail>& out);
    void tell(Slots& runner, Session front, std::vector<FrontMail>& out, bool watch = false);
    void tell_all(Slots& runner, std::vector<FrontMail>& out);
    void watch(Slots& runner, std::vector<FrontMail>& out);
    Slots& add(Micros now, const Holding& what);
    static bool open(Micros now, const Slots& s) {
        return s.state == RunnerState::ready && !s.draining && now >= s.aside_until && s.out < s.what.slots;
    }

    Terms terms_;
    std::shared_ptr<const Configuration> configuration_;
    std::map<std::string, Function> functions_;
    std::map<std::uint32_t, Slots> runners_;
    std::unordered_map<std::string, std::uint32_t> by_name_;
    std::map<Session, Front> fronts_;
    std::map<std::uint16_t, Usual> usual_;
    std::unordered_map<std::string, Micros> ended_;  // runners that are gone: the list shows them for some time still
    std::uint32_t next_number_;
};

}  // namespace gannethold::post
