// Every decision of a dispatcher, and nothing else. The interface is choice.hpp, the words are types.hpp.
// The ordinary path is the design's: split fractions over the ready runners, each pick drawn from them, and
// once a period a clamped gradient step toward the least marginal delay (docs/design.md). Beside it stand
//   1. Room       a draw on a runner with no free slot is drawn again; reports, probes or own sendings tell
//   2. Health     a runner that keeps failing or cannot be reached is set aside, and returns on trial
//   3. Cold       a runner just started is drawn as far as it is warm and sent its part of a budget only
//   4. Holding    what finds no room waits here, best worth first, and is answered once it cannot be in time
//   5. Further    a lost assignment goes out up to twice more; not in overload
//   6. Roster     follow the list; draining, gone or missing ends all sending at once
#include "choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <set>
#include <tuple>

#include "fleet.hpp"

namespace gannethold {
namespace {

constexpr Micros kPeriod = 1'000'000;  // the design's
constexpr Micros kRest = 2 * kPeriod;  // of a set-aside, up to twice that: not all come back at once
constexpr int kFurther = 2;            // the operators' kept way
constexpr int kProbesOut = 2;   // while many tasks wait: more would ask the same runners for the same slot
constexpr int kPatience = 8;    // ticks for word on a probe
constexpr double kFewJobs = 3;  // the design's floor for the own job rate
constexpr double kTable = 16;   // connections that a runner may be thought to take without harm
constexpr double kParts = 2;    // dispatchers to which a runner is near, with a task there each: usual slots
constexpr double kReach = 12;   // parts in which a dispatcher meets each runner often enough to know it
constexpr int kDraws = 6;       // vain ones, before all runners are looked at
constexpr int kHalvings = 8;    // periods between halvings: long against a period, short against a shift

}  // namespace

class Choice::Desk {
  public:
    Desk(const StatedOrders& stated, std::uint64_t seed)
        : orders_(stated), chance_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
        workloads_ = Workload::restated({}, Stated(stated), orders_.workloads, {});
        ask_wait_ = first_wait();
    }
    void note(Micros now, const Event& event) {
        now_ = now;
        std::visit([this](const auto& e) { heed(e); }, event);
    }
    void settle(Micros now, std::vector<Action>& out);
    std::map<RunnerId, double> fractions() const { return runners_.shares(); }
    std::vector<RunnerView> runners() const {
        std::vector<RunnerView> all;
        for (std::size_t i = 0; i < runners_.size(); ++i) {
            const Runner& r = runners_[i];
            all.push_back({r.entry.runner, r.ready, r.trial, r.doubted, runners_.table[i].fraction,
                           slots_of(r), room(r, false), warmth(r), r.out, r.reported_at, r.aside_until});
        }
        return all;
    }

  private:
    StandingOrders orders_;
    std::ranlux24_base chance_;
    std::vector<Workload> workloads_;
    std::map<CustomerId, Customer> customers_;
    Fleet runners_;
    std::map<RunnerId, Micros> drained_;  // where only draining binds, and by which start
    std::vector<Kind> kinds_;
    TaskBook tasks_;
    std::vector<Runner*> open_, able_;  // with room, while the held are placed; for the one drawn now
    std::vector<TaskId> held_, touched_;
    std::vector<RunnerId> to_probe_, to_close_;
    std::set<std::pair<Micros, TaskId>> watch_;  // what has not begun, by when to look again
    Logbook log_;
    Micros now_ = 0, next_period_ = 0, wake_set_ = 0, overload_until_ = 0, next_give_up_ = 0;
    Micros ask_at_ = 0, ask_wait_ = 0;
    bool following_ = false, asking_ = false, looked_ = false;
    int periods_ = 0, arrivals_ = 0, far_out_ = 0;
    double rate_ = 0, usual_cost_ = 0, job_seconds_ = 0.1, usual_latency_ = 1;
    double far_most_ = 8, missing_one_ = 0, missing_more_ = 0;  // far: beyond the own part

    double uniform() { return std::generate_canonical<double, 24>(chance_); }
    Workload& workload(const Task& task) { return workloads_[static_cast<std::size_t>(task.asked.workload)]; }
    // Of a runner without samples of its own its kind's are the best guess: in a large fleet most have none.
    double latency_of(const Runner& r) const { return r.sampled ? r.smoothed : kinds_[r.kind()].smoothed; }

    double slots_of(const Runner& r) const {
        return std::max(1.0, r.slots > 0 ? r.slots : kinds_[r.kind()].slots);
    }

    // ---- the design --------------------------------------------------------------------------------------

    // The smoothed latency, with the kind's as its prior; only what has changed is reckoned anew.
    void estimate() {
        double log_sum = 0, n = 0;
        for (Kind& k : kinds_) log_sum += k.weight * std::log2(k.smoothed), n += k.weight;
        if (n > 0) usual_latency_ = std::exp2(log_sum / n);
        for (Kind& k : kinds_) {
            if (!k.stirred) continue;
            k.learn(usual_latency_);
            for (Runner& r : runners_)
                if (&kinds_[r.kind()] == &k) reckon(r);
        }
        for (const std::size_t i : runners_.sampled)
            runners_[i].learn(kinds_[runners_[i].kind()].smoothed), reckon(runners_[i]);
    }

    // The marginal delay, and in Newton's spirit (paper, section 5) each runner's own second derivative to
    // scale its step: a bound over all stations is too small to move anything.
    void reckon(const Runner& r) {
        const double t = latency_of(r), s = r.sampled ? r.least : t;
        Share& share = runners_.share(r);
        share.marginal = !r.ready ? HUGE_VAL : r.busy > 0 ? t / (1 - std::min(r.busy, 0.95F)) : t * t / s;
        share.eta = s / (2 * t * t * t);
    }

    void step() {
        estimate();
        std::vector<Share>& table = runners_.table;
        double least = HUGE_VAL, moved = 0;
        for (const Share& s : table) least = std::min(least, s.marginal);
        if (least == HUGE_VAL) return;
        auto best = static_cast<std::size_t>(uniform() * static_cast<double>(table.size()));
        while (table[best].marginal != least) best = (best + 1) % table.size();
        // The floor grows with the fleet: a flow of which hardly a task goes to each runner says as little.
        const double x = std::max({rate_, kFewJobs, runners_.ready / 4.0}) * job_seconds_;
        for (Share& s : table) {
            const double move = std::min(s.fraction / 2, s.eta * (s.marginal - least) / x);
            s.fraction -= move;
            moved += move;
        }
        table[best].fraction += moved;
        runners_.rescale();
    }

    // A draw from the fractions over those that can take the task: drawn until one can, near ones first.
    // After a few vain draws it is made over all that have room, which are looked for once a batch.
    Runner* draw(const Task& task, bool stretch = false) {
        for (int n = 0; !looked_ && runners_.near_sum > 1e-6 && n < kDraws; ++n) {
            double at = uniform() * runners_.near_sum;
            std::size_t i = 0;
            while (i + 1 < runners_.near() && (at -= runners_.table[i].fraction) >= 0) ++i;
            Runner& r = runners_[i];
            // Against all who draw it unseen: a cold one counts as far as it is warm.
            if (uniform() <= warmth(r) && may_take(r, task, stretch)) return &r;
        }
        if (!std::exchange(looked_, true)) {
            open_.clear();
            for (Runner& r : runners_)
                if (is_open(r, true)) open_.push_back(&r);
        }
        double sum = 0;
        able_.clear();
        for (const bool near : {true, false}) {
            for (Runner* r : open_)
                if (r->near == near && may_take(*r, task, stretch))
                    able_.push_back(r), sum += runners_.share(*r).fraction * warmth(*r);
            if (!able_.empty()) break;
        }
        double at = uniform() * sum;
        for (Runner* r : able_)
            if ((at -= runners_.share(*r).fraction * warmth(*r)) < 0) return r;
        return able_.empty() ? nullptr : able_.back();
    }

    // ---- 1. room -----------------------------------------------------------------------------------------

    // ended: the report came with the end of an assignment. Some runners still count that one, some do not.
    void read_report(Runner& r, const Report& report, bool ended = false) {
        auto load = Load::read(orders_.report_names, report);
        if (!load) return;
        r.busy = static_cast<float>(load->busy);
        if (r.busy > 0) sample(r, 0);
        if (load->held < 0) return void(r.slots = std::max(r.slots, load->free));
        // One that counts it never misses just one; late news misses any number.
        if (ended && load->held < r.there()) ++(load->held + 1 < r.there() ? missing_more_ : missing_one_);
        if (ended && missing_one_ > 32 * (missing_more_ + 1)) ++load->held;
        // Against connections that fall silent: what it does not name for long it has not; counted once.
        if (r.out > 0 && now_ - r.last_sent > 32 * orders_.resolution)
            r.lost = std::max(0, r.out - static_cast<int>(load->held));
        if (load->held < r.there()) return;
        r.slots = std::max(1.0, load->free + std::max(0.0, load->held - load->waiting));
        Kind& kind = kinds_[r.kind()];
        kind.slots += (r.slots - kind.slots) / (kind.slots > 0 ? 16 : 1);
        r.others = load->held - r.there();
        r.reported_at = now_;
    }

    void sample(Runner& r, double latency) {
        // What was handed on is dropped once two live samples in a row are off by more than three times.
        const bool off = latency > 0 && (latency > 3 * r.smoothed || 3 * latency < r.smoothed);
        if (r.told_of && (r.contradictions = off ? r.contradictions + 1 : 0) > 1) {
            r.latency.clear(), r.told_of = false, r.least = 0;
            // Its share was handed on with it: from there the step alone needs many periods.
            runners_.share(r).fraction = 1.0 / std::max(1, runners_.ready);
            runners_.rescale();
        }
        r.latency.add(latency);
        r.stirred = true;
        if (r.sampled) return;
        r.smoothed = r.least = latency_of(r);
        r.sampled = true;
        runners_.sampled.push_back(runners_.place(r));
    }

    // For half a usual task: so long does a slot take to come free.
    void leave_alone(Runner& r) { r.full_until = now_ + static_cast<Micros>(job_seconds_ * 5e5); }

    double crowd(const Runner& r) const {
        if (!orders_.knows_held || r.reported_at < 0) return r.there();
        // What others had there runs off unseen; without this a full runner would stay full for ever.
        const double age = static_cast<double>(now_ - r.reported_at) / 1e6;
        return r.there() + r.others * std::exp(-age / job_seconds_ / 2);
    }

    double room(const Runner& r, bool stretch) const {
        if (r.entry.pulls) return r.slots - r.out;
        if (now_ < r.full_until) return 0;
        const double slots = r.trial ? 1 : std::max(1.0, std::floor(slots_of(r) + 0.5));
        const bool grow = stretch && !orders_.knows_held && !r.trial && now_ >= r.grow_at;
        return slots + grow - crowd(r);
    }

    bool fresh(const Runner& r) const {
        if (!orders_.probes || !orders_.knows_held || r.entry.pulls) return true;
        return r.reported_at >= 0 && static_cast<double>(now_ - r.reported_at) < job_seconds_ * 1e5;
    }

    // Where nobody reports what a runner holds, its slots show in what begins, or ends, without a wait. One
    // more is tried where nothing else is open: at once after one that did not wait, else rarely, since when
    // all try one more a period, one more is there for good. Far ones tell how many may roam.
    void learn_room(Runner& r, const Leg& leg, bool quick) {
        if (orders_.knows_held || r.entry.pulls) return;
        if (leg.far) far_most_ = std::clamp(quick ? far_most_ + 0.7 : far_most_ * 0.8, 1.0, 32.0);
        if (quick && leg.crowd > r.slots) r.slots = std::floor(leg.crowd), r.grow_at = now_;
        if (!quick && leg.crowd <= slots_of(r)) r.slots = std::max(1.0, slots_of(r) - 0.5);
    }

    // Against overload in which all send to where none sees room: beyond the own part as many may be out as
    // began there soon lately, and one in any case.
    bool may_roam() const { return !homes() || far_out_ < far_most_; }

    // On old news a slot need not be likely, a probe will tell: one that others left must not stand idle.
    double least_room(const Runner& r) const { return fresh(r) ? 0.5 : 0.25; }

    // A probe unanswered for long tells as much as one that finds no room.
    bool is_open(const Runner& r, bool stretch) const {
        return r.ready && now_ >= r.aside_until && (r.near || (r.in_reach && may_roam())) &&
               !(r.probing && now_ - r.probed_at > kPatience * orders_.resolution) &&
               room(r, stretch) >= least_room(r) && cold_allows(r, usual_cost_ * latency_of(r));
    }

    bool may_take(const Runner& r, const Task& task, bool stretch = false) {
        // Against late ones that take the slot for which others wait elsewhere in time: they leave one free.
        const double spare = now_ >= task.spare_from ? std::min(1.0, slots_of(r) - 1) : 0;
        const double wanted = task.asked.slots - 1 + spare + least_room(r);
        if (!is_open(r, stretch) || room(r, stretch) < wanted) return false;
        if (!workload(task).runs_on(r.entry.kind) || !r.entry.takes(task.asked.workload)) return false;
        for (const Leg& leg : task.legs)
            if (leg.runner == r.entry.runner && !leg.never_ran) return false;
        return effect_allows(r, task) && cold_allows(r, cold_cost(r, task));
    }

    // ---- 2. health ---------------------------------------------------------------------------------------

    void set_aside(Runner& r, const char* why, Micros rest = kRest) {
        if (now_ < r.aside_until) return;
        int aside = 0;
        for (const Runner& other : runners_) aside += other.ready && now_ < other.aside_until;
        // If half the fleet looks bad at once, it is our view that is bad.
        if (2 * aside >= runners_.ready) return;
        r.aside_until = now_ + rest + static_cast<Micros>(uniform() * static_cast<double>(rest));
        r.trial = true;
        // No list will tell that it is back: of one that is called gone its own failure is enough.
        if (r.unlisted) r.ready = r.unlisted = false, runners_.leave_out(r), reckon(r);
        log_.say(now_, r.entry.runner, why);
    }

    // Against breaks of single connections: one is no proof that the process died. Where a probe can tell,
    // nothing goes to it until one has; else, or if that fails too, it is out, and cold whenever it is back.
    void doubt(Runner& r, const char* why) {
        r.reported_at = -1;
        if (orders_.probes && orders_.knows_held && !std::exchange(r.doubted, true)) return;
        r.cold_from = now_;
        set_aside(r, why);
    }

    // ---- 3. cold -----------------------------------------------------------------------------------------

    double warmth(const Runner& r) const {
        if (r.cold_from < 0) return 1;
        const double age = static_cast<double>(now_ - r.cold_from) / static_cast<double>(orders_.warm_after);
        return std::min(1.0, orders_.cold_from + (1 - orders_.cold_from) * std::max(0.0, age));
    }

    // A small task weighs as much as the usual one: many small ones push a runner over just as well.
    double cold_cost(const Runner& r, const Task& task) const {
        return std::max(task.cost, usual_cost_) * latency_of(r);
    }

    void count_cold(Runner& r, double cost) {
        if (warmth(r) >= 1) return;
        r.forget_cold(now_ - orders_.cold_window);
        r.cold_sends.emplace_back(now_, cost);
    }

    bool cold_allows(const Runner& r, double cost) const {
        if (warmth(r) >= 1) return true;
        const double sent = r.cold_sent_since(now_ - orders_.cold_window);
        const double whole = orders_.fall_multiple * warmth(r) * slots_of(r) * orders_.cold_window;
        // Who have it near share it evenly.
        if (homes()) return r.near && (sent + cost) * r.sharers <= whole;
        // Half of an even part is ours. What is too large for that goes by turns, to as many in a window as
        // the whole feeds, while what it holds, what a window may end of that and renew, and half a task more
        // fit into the whole, since some are heavy.
        if (sent + cost <= whole / 2 / orders_.dispatchers) return true;
        const double held = crowd(r) + 1, renewed = warmth(r) * held * orders_.cold_window;
        return sent == 0 && (held + 0.5) * cost + renewed <= whole && its_turn(r, whole / cost);
    }

    // Whether we stand among the first in the line of all dispatchers for a cold runner. It is drawn anew in
    // each window from what all know, so all agree on it, and begins with the start that all are told of.
    // Against all of them at the stroke of a window they have it one by one, each for a window's length.
    bool its_turn(const Runner& r, double first) const {
        const Micros age = std::max<Micros>(0, now_ - r.cold_from), window = age / orders_.cold_window;
        const auto place = [&](Micros of) {
            const auto all = static_cast<std::uint64_t>(orders_.dispatchers);
            std::uint64_t lot = static_cast<std::uint64_t>(r.entry.runner) << 32;
            lot = (lot | static_cast<std::uint64_t>(of)) * 0x9E3779B97F4A7C15;
            lot = (lot ^ lot >> 31) * 0xBF58476D1CE4E5B9;
            return static_cast<double>(((lot >> 40) + static_cast<std::uint64_t>(orders_.me)) % all) +
                   static_cast<double>(lot >> 8 & 0xFFFF) / 0x10000;
        };
        const double gone =
            static_cast<double>(age % orders_.cold_window) / static_cast<double>(orders_.cold_window);
        const double before = window > 0 ? place(window - 1) : HUGE_VAL;
        return place(window) <= first * gone || (before <= first && before > first * gone);
    }

    // ---- 4. holding --------------------------------------------------------------------------------------

    void give_up(Task& task) {
        const bool harmless = workload(task).repeats_anywhere() || task.all_legs(&Leg::never_ran);
        task.verdict = harmless ? Verdict::bounce : Verdict::abandon;
        // What is too late is not worth another try: the client is asked to stay away longest.
        task.stay_away = orders_.max_away;
        close(task);
    }

    void close(Task& task) {
        task.over = true;
        task.held = false;
        for (Leg& leg : task.legs) leg.wanted = false;
        touched_.push_back(task.asked.task);
    }

    // Best worth first, then the newest: under overload the oldest would all be served just too late.
    // As a heap, since a long queue is seldom looked through to its end.
    bool goes_after(const Task* a, const Task* b) const {
        const auto rank = [this](const Task* t) {
            return std::tuple(now_ > t->due, -t->worth, -t->born, t->asked.task);
        };
        return rank(b) < rank(a);
    }

    std::vector<Task*> still_held() {
        std::vector<Task*> order;
        next_give_up_ = std::numeric_limits<Micros>::max();
        for (const TaskId id : held_) {
            Task* const t = tasks_.find(id);
            if (!t || !t->held) continue;
            if (!t->overdue && now_ >= t->spare_from) overload_until_ = now_ + kPeriod, t->overdue = true;
            if (now_ >= t->latest_start) give_up(*t);
            if (t->over) continue;
            order.push_back(t);
            next_give_up_ = std::min(next_give_up_, t->overdue ? t->latest_start : t->spare_from);
        }
        return order;
    }

    void hold(const Task& task) {
        held_.push_back(task.asked.task);
        next_give_up_ = std::min(next_give_up_, task.spare_from);
    }

    void place_held() {
        if (held_.empty()) return;
        // Against a long queue gone through in vain for each event: with no runner open none can go out.
        const auto open = [this](const Runner& r) { return is_open(r, true); };
        if (now_ < next_give_up_ && std::none_of(runners_.begin(), runners_.end(), open)) return;
        looked_ = false;
        int probing = 0;
        for (const Runner& r : runners_)
            probing += r.probing && now_ - r.probed_at <= kPatience * orders_.resolution;
        const auto after = [this](const Task* a, const Task* b) { return goes_after(a, b); };
        std::vector<Task*> order = still_held();
        std::make_heap(order.begin(), order.end(), after);
        held_.clear();
        for (auto end = order.end(); end != order.begin();) {
            if (!looked_ || !open_.empty()) std::pop_heap(order.begin(), end, after);
            Task& t = **--end;
            held_.push_back(t.asked.task);
            if (looked_ && open_.empty()) continue;
            Runner* r = t.drawn ? runners_.find(*t.drawn) : nullptr;
            if (!r || !may_take(*r, t)) r = draw(t);
            if (!r && !orders_.knows_held) r = draw(t, true);
            t.drawn.reset();
            if (r && fresh(*r)) {
                held_.pop_back();
                send(t, *r);
                if (looked_ && !is_open(*r, true)) open_.erase(std::find(open_.begin(), open_.end(), r));
                continue;
            }
            if (r) t.drawn = r->entry.runner;
            // Probes cost, and of all who wait for a slot, here and elsewhere, the newest should find it.
            if (!r || r->probing || now_ < t.ask_after || probing >= kProbesOut) continue;
            t.ask_after = now_ + (now_ - t.born) / 16;
            if (!std::exchange(r->want_probe, true)) to_probe_.push_back(r->entry.runner), ++probing;
        }
    }

    void send(Task& task, Runner& r) {
        task.held = false;
        ++r.out;
        r.last_sent = now_;
        task.legs.push_back({r.entry.runner, now_, crowd(r)});
        if (crowd(r) > slots_of(r)) r.grow_at = now_ + 16 * kPeriod;
        if (homes() && !r.near) task.legs.back().far = true, ++far_out_;
        if (orders_.tells_start) watch_.emplace(task.last_hope, task.asked.task);
        count_cold(r, cold_cost(r, task));
        touched_.push_back(task.asked.task);
    }

    // ---- 5. further assignments --------------------------------------------------------------------------

    // Rule 2, wherever a task is sent: what may have run binds where it may go next.
    bool effect_allows(const Runner& r, const Task& task) {
        const Workload& w = workload(task);
        for (const Leg& leg : task.legs) {
            if (leg.never_ran) continue;
            if (!leg.ended && !orders_.parallel) return false;
            if (w.effect == Effect::idempotent) continue;
            // The margin: the window counts from the sending, and what is sent now arrives a little later.
            const bool passed = now_ + kPatience * orders_.resolution > leg.sent_at + w.window;
            if (w.effect == Effect::side_effecting || passed) return false;
            const Runner* before = runners_.find(leg.runner);
            if (!before || !w.same_group(before->entry, r.entry)) return false;
        }
        return true;
    }

    // Where runners tell when a task begins, one that waits there is given up once it can not begin in time.
    // It is not moved: nothing tells whether a withdrawal stops it, and added work makes all later.
    void watch() {
        while (!watch_.empty() && watch_.begin()->first <= now_) {
            Task* const t = tasks_.find(watch_.begin()->second);
            watch_.erase(watch_.begin());
            if (!t || t->over || t->held) continue;
            const Leg& leg = t->legs.back();
            if (!leg.begun && !leg.ended) give_up(*t);
        }
    }

    bool may_follow(const Task& task) {
        if (now_ < overload_until_ || now_ >= task.latest_start) return false;
        if (static_cast<int>(task.legs.size()) >= task.most_legs) return false;
        return workload(task).effect != Effect::side_effecting || task.all_legs(&Leg::never_ran);
    }

    // ---- events ------------------------------------------------------------------------------------------

    void heed(const RosterNews& news) {
        const bool told = news.scope != RosterScope::guests;
        asking_ = asking_ && !told;
        if (news.scope == RosterScope::failed) {
            following_ = false;
            ask_at_ = now_ + static_cast<Micros>(static_cast<double>(ask_wait_) * (0.5 + uniform()));
            ask_wait_ = std::min(ask_wait_ * 2, orders_.must_ask / 4 * std::max(1, orders_.dispatchers / 8));
            return;
        }
        if (told && news.scope != RosterScope::remembered) following_ = true, ask_wait_ = first_wait();
        if (orders_.asks && news.scope == RosterScope::remembered && first_wait() > kPeriod / 4)
            ask_at_ = now_ + static_cast<Micros>(uniform() * static_cast<double>(first_wait() - kPeriod / 4));
        runners_.seat(news.entries);
        if (told && news.scope != RosterScope::changes)
            runners_.keep_only(news.entries, !orders_.only_draining);
        // The mean fraction goes by the sizes that the list names; where it says nothing all are alike.
        double sizes = 0;
        for (const Runner& r : runners_) sizes += r.ready ? r.entry.share : 0;
        for (const RosterEntry& e : news.entries) {
            if (orders_.only_draining && e.state == RunnerState::draining) drained_[e.runner] = e.started_at;
            if (Runner* r = runners_.find(e.runner)) enter(*r, e, sizes > 0 ? 1 / sizes : 1);
        }
        settle_near();
    }

    // Where nothing but own sendings tells what a runner holds, and most there can be ours.
    bool homes() const { return !orders_.knows_held && orders_.dispatchers > 1; }

    // Near is where room is known: the own zone where reports tell of it, else an own part of the fleet. All
    // work out the same: the runners by their numbers, as long as their sizes, in a ring. Our part is as long
    // as gives each middle to kParts of us; near is whose middle lies in it, or who has its beginning.
    void settle_near() {
        double whole = 0, at = 0;
        std::map<RunnerId, Runner*> row;
        for (Runner& r : runners_) {
            r.near = r.in_reach = r.entry.pulls || !homes();
            if (!homes()) r.near = r.entry.pulls || !orders_.knows_held || r.entry.zone == orders_.zone;
            if (r.ready && !r.entry.pulls && homes()) row[r.entry.runner] = &r, whole += r.entry.share;
        }
        const double mine = whole / orders_.dispatchers, from = mine * orders_.me;
        for (auto& [id, r] : row) {
            double after = at + r->entry.share / 2 - from;
            if (after < 0) after += whole;
            r->near = after < kParts * mine || (at <= from && from < at + r->entry.share);
            r->in_reach = r->near || after < kReach * mine;
            r->sharers = kParts + r->entry.share / mine;  // at most: who have its middle, or begin in it
            at += r->entry.share;
        }
        runners_.order();
        runners_.lay_out();
        for (const Runner& r : runners_) reckon(r);
    }

    // Against a herd that keeps discovery at work on calls that nobody waits for any more: it takes all in
    // turn, and who calls again sooner than a whole fleet is served puts that off for ever.
    Micros first_wait() const {
        const Micros most = std::max(kPeriod, orders_.must_ask) / 4;
        return std::clamp(kPeriod / 16 * orders_.dispatchers, kPeriod / 4, most);
    }

    void enter(Runner& r, const RosterEntry& e, double fraction_of_size) {
        // Against a list that is wrong, where only draining binds: what it calls gone goes on by its answers,
        // and what it called draining stays so until it starts again, whatever an older list then says.
        r.unlisted = orders_.only_draining && r.ready && e.state == RunnerState::gone;
        if (r.unlisted) return;
        const auto drained = drained_.find(e.runner);
        const bool bound = drained != drained_.end() && e.started_at <= drained->second;
        const bool started = e.started_at > r.entry.started_at || !r.ready;
        r.entry = e;
        if (r.entry.share <= 0) r.entry.share = 1;  // against a list that names none: it would never be drawn
        r.ready = e.state == RunnerState::ready && !bound;
        if (r.kind() >= kinds_.size()) kinds_.resize(r.kind() + 1);
        if (!r.ready || !started) return;
        // The mean fraction and estimate, whatever it was before: it is another process by now.
        r.fraction = r.entry.share * fraction_of_size;
        r.latency.clear();
        if (r.told_of) r.slots = 0;
        r.sampled = r.stirred = r.trial = r.doubted = r.told_of = false;
        r.least = r.blame = 0, r.aside_until = 0;
        r.cold_from = e.started_at > 0 ? std::min(e.started_at, now_) : -1;
    }

    void heed(const TaskArrived& a) {
        ++arrivals_;
        const auto place = static_cast<std::size_t>(a.workload);
        workloads_.resize(std::max(workloads_.size(), place + 1));
        Workload& w = workloads_[place];
        Task t;
        t.asked = a;
        t.most_legs = std::min(orders_.max_assignments, 1 + kFurther);
        // What a repeat lacks of the usual expiry is its age; where repeats are marked, a first try has none.
        const Micros late = std::max<Micros>(0, now_ + w.expiry - a.expiry);
        if (w.least_late < 0 || late < w.least_late) w.least_late = late;
        t.born = now_ - (a.client_repeat || !orders_.marks_repeats ? late - w.least_late : 0);
        const bool hinted = a.hint_valid && a.cost_hint > 0;
        t.cost = hinted ? static_cast<double>(a.cost_hint) : w.typical();
        usual_cost_ += (t.cost - usual_cost_) / 64;
        const Micros last = a.expiry - 4 * orders_.resolution, due = t.born + w.due;
        double quickest = 1;
        for (const Kind& k : kinds_) quickest = std::min(quickest, k.smoothed);
        t.due = due + (hinted ? static_cast<Micros>(t.cost * std::max(0.0, w.stretch - quickest)) : 0);
        // What waits at a runner has hope while some length of it, none being known, would end it in time.
        const double hopeless = w.tardy > 0 ? 0 : static_cast<double>(last - due) / std::max(1.0, w.stretch);
        t.last_hope = last - static_cast<Micros>(hopeless);
        // Against a queue in which all are late: past its due time a task waits only where that earns, and
        // for what others leave. Who comes late, told to stay away, first gets a slot if one is free.
        t.latest_start = t.due;
        if (w.tardy > 0) t.latest_start = std::max(t.latest_start, now_ + kPatience * orders_.resolution);
        t.latest_start = t.spare_from = std::min(t.latest_start, last);
        if (w.tardy > 0)
            t.latest_start = std::max(t.latest_start, a.expiry - static_cast<Micros>(2 * t.cost));
        t.worth = orders_.by_work ? w.importance : w.importance / std::max(1.0, w.typical());
        // Against one customer's surge: beyond our part of its allowance.
        const auto who = static_cast<std::size_t>(a.customer);
        if (who < orders_.allowances.size() &&
            !customers_[a.customer].spend(orders_.allowances[who] / orders_.dispatchers, kFewJobs, now_))
            t.worth *= orders_.surplus;
        hold(t);
        tasks_.add(std::move(t));
    }

    void heed(const AssignmentEnded& e) {
        Runner* r = runners_.find(e.runner);
        Leg* const leg = tasks_.leg(e.task, e.assignment);
        if (!r || !leg || leg->ended) return;
        Task& t = *tasks_.find(e.task);
        leg->ended = true;
        far_out_ -= leg->far;
        if (!leg->begun && (e.outcome == Outcome::full || t.over)) learn_room(*r, *leg, false);
        leg->never_ran = proves_never_ran(e.outcome);
        if (e.outcome != Outcome::moot && e.outcome != Outcome::connect_failed)
            read_report(*r, e.report, true);
        --r->out, r->lost = std::min(r->lost - (r->lost > 0 && e.outcome != Outcome::finished), r->out);
        if (r->out == 0 && crowds_table(*r)) to_close_.push_back(e.runner);
        judge(*r, t, *leg, e);
        // What was sent in vain may still earn what a late answer does.
        if (workload(t).tardy > 0 && !e.settled)
            t.latest_start = std::max(t.latest_start, t.asked.expiry - static_cast<Micros>(2 * t.cost));
        if (e.settled) {
            if (!t.over) close(t);
        } else if (!t.over && !t.held && may_follow(t)) {
            t.held = true;
            hold(t);
        } else if (!t.over && !t.held && t.all_legs(&Leg::ended)) {
            give_up(t);
        }
        touched_.push_back(e.task);
    }

    // Against hundreds who each keep a connection that they hardly use again: a runner takes only so many.
    bool crowds_table(const Runner& r) const {
        const double uses = rate_ * orders_.keepalive_s / std::max(1, runners_.ready);
        return periods_ > 0 && uses < 2 && uses * orders_.dispatchers > kTable && !(homes() && r.near);
    }

    // Failures count as the longest latency, so that failing fast never looks like being fast.
    void judge(Runner& r, const Task& t, const Leg& leg, const AssignmentEnded& e) {
        Workload& w = workload(t);
        const bool broke = e.outcome == Outcome::reset || e.outcome == Outcome::connect_failed;
        const bool failed = e.outcome == Outcome::error || e.outcome == Outcome::timed_out || broke;
        const double latency = static_cast<double>(e.elapsed) / t.cost;
        if (e.outcome == Outcome::finished) {
            // What is shorter than we can tell apart was no wait.
            if (!orders_.tells_start)
                learn_room(r, leg, e.elapsed <= 2 * orders_.resolution || latency < 1.5 * latency_of(r));
            sample(r, latency);
            kinds_[r.kind()].add(latency);
            w.latency.add(static_cast<double>(e.elapsed) / static_cast<double>(w.due));
            r.trial = r.doubted = false;
        } else if (e.outcome == Outcome::full || (failed && e.outcome != Outcome::connect_failed)) {
            sample(r, static_cast<double>(w.expiry) / t.cost);
        }
        if (failed || e.outcome == Outcome::finished) r.blame = r.blame * 0.75F + (failed ? 0.25F : 0);
        if (e.outcome == Outcome::full) leave_alone(r);
        if (broke) doubt(r, "it cannot be reached");
        // Where a failure loses the task and the next sample is far, one has to do, and the runner rests
        // until a task would go there again: against a hundred who each try a bad one every few seconds.
        const auto next = static_cast<Micros>(runners_.ready / std::max(rate_, kFewJobs / 4) * 1e6);
        const Micros rest = broke || w.repeats_anywhere() ? kRest : std::clamp(next, kRest, 8 * kRest);
        if (r.blame > (rest > kRest ? 0.2 : 0.4)) set_aside(r, "it keeps failing", rest);
    }

    void heed(const ClientLeft& left) {
        Task* t = tasks_.find(left.task);
        if (t && !t->over) close(*t);
    }

    void heed(const TimerDue&) { wake_set_ = 0; }

    // What is open keeps its workload's terms, which stay in their place, and its number of assignments.
    void heed(const OrdersRestated& o) {
        orders_ = StandingOrders(o.orders);
        workloads_ = Workload::restated(workloads_, Stated(o.orders), orders_.workloads, o.learn_from);
        runners_.seat({});
        settle_near();
    }

    void heed(const LastCall&) {
        for (auto& [id, t] : tasks_.all())
            if (!t.over) give_up(t);
    }

    void heed(const ProbeEnded& e) {
        Runner* r = runners_.find(e.runner);
        if (!r) return;
        r->probing = false;
        if (e.outcome == Outcome::finished) {
            r->doubted = false;
            read_report(*r, e.report);
        } else if (e.outcome == Outcome::connect_failed || e.outcome == Outcome::reset) {
            doubt(*r, "a probe cannot reach it");
        } else {
            leave_alone(*r);
        }
    }

    void heed(const RoomTold& told) {
        if (Runner* r = runners_.find(told.runner)) r->slots = told.slots;
    }

    void heed(const PeerSaid&) {}     // nothing is made of what other dispatchers say
    void heed(const StreamBegun&) {}  // from here on it is the client's, whatever is decided

    void heed(const Progress& p) {
        Runner* r = runners_.find(p.runner);
        Leg* leg = tasks_.leg(p.task, p.assignment);
        if (!r || !leg || p.stage != Stage::begun) return;
        leg->begun = true;
        learn_room(*r, *leg, static_cast<double>(now_ - leg->sent_at) < job_seconds_ * 5e4);
    }

    // ---- settling ----------------------------------------------------------------------------------------

    void end_period() {
        rate_ += (arrivals_ - rate_) / 4;
        arrivals_ = 0;
        double seconds = 0, weight = 0;
        for (const Workload& w : workloads_)
            seconds += w.latency.weight() * w.typical() / 1e6, weight += w.latency.weight();
        if (weight > 0) job_seconds_ = std::clamp(seconds / weight, 0.001, 60.0);
        step();
        if (++periods_ % kHalvings == 0) {
            for (const std::size_t i : runners_.sampled)
                runners_[i].latency.halve(), runners_[i].stirred = true;
            for (Kind& k : kinds_) k.latency.halve(), k.weight /= 2;
            for (Workload& w : workloads_) w.latency.halve();
            missing_one_ /= 2, missing_more_ /= 2;
        }
    }

    void emit(std::vector<Action>& out);

  public:
    Lore lore(std::size_t from, std::size_t most) const {
        Lore lore;
        lore.places = runners_.size();
        for (std::size_t i = from; i < runners_.size() && i - from < most; ++i)
            if (const Runner& r = runners_[i]; r.ready)
                lore.runners.push_back({r.entry.runner, r.latency, r.least, r.slots,
                                        runners_.table[i].fraction, std::max<Micros>(0, r.aside_until - now_),
                                        warmth(r) < 1 ? now_ - r.cold_from : -1});
        for (std::size_t k = 0; k < kinds_.size(); ++k)
            lore.kinds.push_back(
                {KindId(static_cast<std::uint32_t>(k)), kinds_[k].latency, kinds_[k].weight});
        for (const Workload& w : workloads_) lore.workloads.push_back(w.latency);
        lore.usual_cost = usual_cost_;
        return lore;
    }

    void believe(const Lore& lore) {
        for (const KindLore& k : lore.kinds) {
            const auto place = static_cast<std::size_t>(k.kind);
            if (place >= kinds_.size()) continue;
            kinds_[place].latency = k.latency, kinds_[place].weight = k.weight, kinds_[place].stirred = true;
        }
        for (std::size_t i = 0; i < workloads_.size() && i < lore.workloads.size(); ++i)
            workloads_[i].latency = lore.workloads[i];
        usual_cost_ = std::max(usual_cost_, lore.usual_cost);
        for (const RunnerLore& told : lore.runners) {
            Runner* const r = runners_.find(told.runner);
            if (!r || !r->ready) continue;
            r->told_of = true;
            r->aside_until = std::max(r->aside_until, now_ + told.aside_for);
            if (told.cold_for >= 0) r->cold_from = std::max(r->cold_from, now_ - told.cold_for);
            // A cold one is held to its start's budget, in which its slots count: those must show anew.
            if (warmth(*r) >= 1) r->slots = std::max(r->slots, told.slots);
            if (told.fraction > 0) runners_.share(*r).fraction = told.fraction;
            if (told.latency.weight() <= 0) continue;
            r->latency = told.latency, r->least = told.least, r->sampled = r->stirred = true;
            runners_.sampled.push_back(runners_.place(*r));
        }
        runners_.rescale();
        estimate();
    }
};

void Choice::Desk::settle(Micros now, std::vector<Action>& out) {
    now_ = now;
    if (next_period_ > 0 && now >= next_period_) end_period();
    if (now >= next_period_) next_period_ = now + kPeriod;
    watch();
    place_held();
    emit(out);
}

// The only place that acts: what is wanted against what is, and the difference goes out.
void Choice::Desk::emit(std::vector<Action>& out) {
    if (orders_.asks && !following_ && !asking_ && now_ >= ask_at_) {
        asking_ = true;
        out.push_back(FollowRoster{true});
    }
    for (const TaskId id : std::exchange(touched_, {})) {
        Task* const t = tasks_.find(id);
        if (!t) continue;
        for (std::size_t n = 0; n < t->legs.size(); ++n) {
            Leg& leg = t->legs[n];
            if (leg.wanted && !leg.sent) {
                leg.sent = true;
                out.push_back(Assign{t->asked.task, leg.runner, t->asked.expiry - 2 * orders_.resolution});
            } else if (!leg.wanted && !leg.ended && !leg.withdrawing && orders_.cancelling) {
                leg.withdrawing = true;
                out.push_back(Withdraw{t->asked.task, static_cast<int>(n)});
            }
        }
        if (t->verdict == Verdict::bounce) out.push_back(Bounce{t->asked.task, t->stay_away});
        if (t->verdict == Verdict::abandon) out.push_back(Abandon{t->asked.task});
        t->verdict = Verdict::none;
        if (t->over && t->all_legs(&Leg::ended)) tasks_.erase(id);
    }
    for (const RunnerId id : std::exchange(to_probe_, {})) {
        Runner* r = runners_.find(id);
        r->want_probe = false;
        if (!r->ready) continue;
        r->probing = true;
        r->probed_at = now_;
        out.push_back(Probe{id});
    }
    for (const RunnerId id : std::exchange(to_close_, {}))
        if (const Runner* r = runners_.find(id); r && r->out == 0) out.push_back(CloseIdle{id});
    Micros wake = next_period_;
    if (!watch_.empty()) wake = std::min(wake, watch_.begin()->first);
    if (!held_.empty()) wake = std::min(wake, now_ + 4 * orders_.resolution);
    const Micros soonest = std::max(ask_at_, now_ + orders_.resolution);
    if (orders_.asks && !following_ && !asking_) wake = std::min(wake, soonest);
    if (wake_set_ == 0 || wake < wake_set_) {
        wake_set_ = wake;
        out.push_back(WakeAt{wake, TimerMark{}});
    }
    for (std::string& line : log_.taken()) out.push_back(LogLine{std::move(line)});
}

Choice::Choice(const StatedOrders& o, std::uint64_t seed) : desk_(std::make_unique<Desk>(o, seed)) {}
Choice::Choice(const Choice& other) : desk_(std::make_unique<Desk>(*other.desk_)) {}
Choice::~Choice() = default;
void Choice::note(Micros now, const Event& event) { desk_->note(now, event); }
void Choice::settle(Micros now, std::vector<Action>& out) { desk_->settle(now, out); }

std::map<RunnerId, double> Choice::fractions() const { return desk_->fractions(); }
std::vector<RunnerView> Choice::runners() const { return desk_->runners(); }
Lore Choice::lore(std::size_t from, std::size_t most) const { return desk_->lore(from, most); }
void Choice::believe(const Lore& lore) { desk_->believe(lore); }

}  // namespace gannethold
