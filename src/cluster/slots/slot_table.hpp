// The slots of all runners, kept by the one who leads the core, for all fronts in common: a runner is never
// given more requests at once than its max_concurrency, whoever sends them.
//
// A function is in one of two modes. Kept: a front asks for a slot for each request and names the runner that
// its fractions drew; the fractions say where, the slot says whether. What finds no slot waits here, most
// urgent first, so that one order holds for all fronts. Free: there is so much room that chance alone keeps
// runners from being full more often than the operators allow; fronts send where their fractions say and
// report their loads once a second. A function becomes free, and kept again, by the loads reported and by
// what runners turn away.
//
// Also the common budget of second runners. No I/O and no clock; messages to fronts are collected in
// FrontMail.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cluster/base/bounded_history.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/slots/wait_queue.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

struct ProxyMessage {
    Session to = 0;
    Message message;
};

// How long work of one request class takes, smoothed, in microseconds.
class SmoothedDuration {
  public:
    void add(double took);
    double get(double otherwise) const { return weight_ > 0 ? mean_ : otherwise; }

  private:
    double mean_ = 0, weight_ = 0;
};

// Demand for slots: what came, each counted with the time that work of its request class takes, as a mean
// over about so long. The mean is over the time really seen, so that the first requests after a pause count
// at once and not by and by.
class Demand {
  public:
    explicit Demand(double seconds) : seconds_(seconds) {}
    void sample(double work, double span);  // seconds of work that came in span seconds
    double slots() const;

  private:
    static constexpr double kLeast = 0.3;  // seconds: less tells little
    double seconds_, sum_ = 0, seen_ = 0;
};

struct Function;

struct RunnerSlots {  // one runner
    struct Given {
        Session front = 0;
        std::uint32_t ask = 0;  // 0: taken over from another coordinator, or sent while free
        std::uint16_t request_class = 0;
        Micros since = 0;
    };
    std::uint32_t number = 0;
    RunnerInfo what;  // out: not used here
    Function* function = nullptr;
    RunnerState state = RunnerState::starting;
    bool draining = false;  // takes no more; also once it is to be stopped
    Micros retired = 0;     // since when
    std::vector<Given> given;
    Micros began = 0, idle_since = 0, aside_until = 0;
    std::set<Session> told;
    Session watcher = 0;

    std::uint32_t out() const { return static_cast<std::uint32_t>(given.size()); }
};

struct Function {
    struct Place {        // a zone's part
        int asked = 0;    // since the last sample
        double rate = 0;  // requests a second, smoothed
    };
    struct Part {  // a front's, while free
        double load = 0, rate = 0;
        Micros at = 0;
    };

    std::string name;
    const Service* service = nullptr;  // nullptr: in no configuration any more
    bool unrestricted = false;
    Micros coordinated_until = 0;
    std::vector<std::uint32_t> runners;
    std::set<Session> interested;
    WaitQueue waiting;
    std::map<Session, Part> parts;
    std::map<std::string, Place> places;  // by zone
    // Slots that the work which comes would fill, had each request one at once. What waits is no demand of
    // its own: it is work that has been counted as it came.
    Demand fast{0.7}, slow{6};
    double came = 0;                       // seconds of work asked for since the last sample
    double busy_fast = 0, busy_slow = 0;   // slots at work, smoothed: where work takes longer than is known
    double load_fast = 0, load_slow = 0;   // of demand and slots at work the larger
    double rate = 0;                       // requests a second
    Micros last_used = 0, used_since = 0;  // since: without a long pause
    std::deque<Micros> tried_again, rejected;
    int turns = 0;                // slots given to waiting ones since a late one had its turn
    std::uint64_t overtaken = 0;  // times that a more urgent one went before one that came earlier
    bool active = false;
    Micros planned_at = 0;  // for those who wait; the planner's
    bool no_room = false;   // the last start that was wanted found no worker; the planner's word
};

// One that came later went before one that came earlier.
struct PriorityInversion {
    Micros at = 0;
    std::string service;
    Session front = 0, before_front = 0;
    std::uint32_t ask = 0, before_ask = 0;
    int priority = 0, before_priority = 0;
    Micros target_left = 0, before_target_left = 0;
    const char* why = "";
};

class SlotTable {
  public:
    struct Options {
        double budget_slack = 0;
        Micros budget_window = 10'000'000;
        double rejection_slack = 10;  // what runners of one function may turn away in 5 s
        std::uint32_t first_number = 1;
        bool may_be_unrestricted = true;
        // Of so many slots that come free one goes to those who can not be in aim any more, while there are
        // any: so whoever waits in a function gets through, however many urgent ones come.
        int late_turn = 4;
    };
    explicit SlotTable(const Options& terms) : options_(terms), next_number_(terms.first_number) {}

    void configure(std::shared_ptr<const Configuration> configuration);

    void on_proxy_registered(Micros now, Session session, const RegisterRequest& registration,
                             std::vector<ProxyMessage>& out);
    void on_proxy_disconnected(Micros now, Session session, std::vector<ProxyMessage>& out);
    // The function asked for; nullptr: there is none.
    Function* ask(Micros now, Session session, const AcquireRequest& ask, std::vector<ProxyMessage>& out);
    void release(Micros now, Session session, const Release& m, std::vector<ProxyMessage>& out);
    void up(Micros now, Session session, const RunnerReachable& m, std::vector<ProxyMessage>& out);
    void loads(Micros now, Session session, const LoadReport& m);
    void outs(Micros now, Session session, const OutstandingReport& m);

    // A runner that the platform says it starts; one that stands in its list; one that ended.
    void began(Micros now, const RunnerInfo& what, std::vector<ProxyMessage>& out);
    void listed(Micros now, const RunnerInfo& what, bool draining, std::vector<ProxyMessage>& out);
    void gone(Micros now, const std::string& runner, const char* why, std::vector<ProxyMessage>& out);
    // No more is given there. True once nothing is out, and what was under way to it has come there.
    bool retire(Micros now, std::uint32_t number, std::vector<ProxyMessage>& out);

    // Samples loads, settles modes, answers what can no longer be in time. Call each kSample.
    static constexpr Micros kSample = 100'000;
    void tick(Micros now, std::vector<ProxyMessage>& out);

    const BoundedHistory<PriorityInversion>& priority_inversions() const { return priority_inversions_; }
    const std::unordered_set<Function*>& active() const { return active_; }
    const std::unordered_map<std::string, std::unique_ptr<Function>>& functions() const { return functions_; }
    const std::unordered_map<std::uint32_t, RunnerSlots>& runners() const { return runners_; }
    const RunnerSlots& runner(std::uint32_t number) const { return runners_.at(number); }
    std::int64_t used_mb(const std::string& worker) const;
    std::size_t fronts() const { return proxies_.size(); }
    const std::string* zone_of(Session front) const;
    const std::string* name_of(Session front) const;
    double usual(std::uint16_t request_class) const;
    // When a slot of the function is likely to come free for one more, from now on; 0 if one is.
    double expected_wait(Micros now, const Function& function) const;

  private:
    // So long a function's traffic must have been seen before it may be free.
    static constexpr Micros kKnown = 3'000'000;
    // So long without a request, and what was seen of a function before says nothing any more.
    static constexpr Micros kPause = 5'000'000;

    struct ProxySession {
        std::string name, zone;
        // Where it has left a trace, so that its going costs what it used and not all that there is. May hold
        // what is there no more; gone through when full.
        std::vector<Function*> functions;
        std::vector<std::uint32_t> runners;
        std::unordered_map<std::uint32_t, std::pair<Function*, WaitQueue::Place>> waiting;  // by ask
    };

    Function& function(const std::string& name);
    void touch(Function& f);
    void note_function(Session session, Function& f);
    void note_runner(Session session, std::uint32_t number);
    RunnerSlots* choose(Micros now, Function& f, const AcquireRequest& ask, const std::string& zone);
    void grant(Micros now, RunnerSlots& r, Session session, const AcquireRequest& ask, WaitReason waited,
               std::vector<ProxyMessage>& out);
    WaitReason lacks(const Function& f) const;
    double slots_of(const Function& f) const;  // of all its runners, those that start too
    std::uint32_t too_long(const Function& f, const AcquireRequest& ask) const;
    void serve(Micros now, Function& f, std::vector<ProxyMessage>& out);
    void tell(RunnerSlots& runner, Session front, std::vector<ProxyMessage>& out, bool watch = false);
    void tell_all(RunnerSlots& runner, std::vector<ProxyMessage>& out);
    void watch(RunnerSlots& runner, std::vector<ProxyMessage>& out);
    void set_mode(Function& f, bool unrestricted, std::vector<ProxyMessage>& out);
    void settle_mode(Micros now, Function& f, std::vector<ProxyMessage>& out);
    RunnerSlots& add(Micros now, const RunnerInfo& what);
    std::int64_t memory_of(const RunnerSlots& s) const {
        return s.function->service ? s.function->service->memory_mb : 0;
    }
    static bool open(Micros now, const RunnerSlots& s) {
        return s.state == RunnerState::ready && !s.draining && now >= s.aside_until && s.out() < s.what.slots;
    }

    Options options_;
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::unordered_set<Function*> active_;
    std::unordered_map<std::uint32_t, RunnerSlots> runners_;
    std::unordered_map<std::string, std::uint32_t> by_name_;
    std::set<std::uint32_t> starting_;
    std::map<Session, ProxySession> proxies_;
    std::unordered_map<std::uint16_t, SmoothedDuration> durations_;
    std::unordered_map<std::string, Micros>
        ended_;  // runners that are gone: the list shows them for some time still
    std::uint32_t next_number_;
    BoundedHistory<PriorityInversion> priority_inversions_{256};
};

}  // namespace gannethold::cluster
