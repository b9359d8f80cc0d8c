// Every decision of a dispatcher, and nothing else. The interface is choice.hpp, the words are types.hpp:
// construct with the stated orders and a seed, note() each event, settle() once a batch.
//
// The ordinary path is the design's: split fractions over the ready runners, each pick drawn from them, and
// once a period a clamped gradient step toward the least marginal delay (docs/design.md). Beside it stand
//   1. Room       a draw on a runner with no free slot is drawn again; probes and peers' words tell of slots
//   2. Health     a runner that keeps failing or cannot be reached is set aside, and returns on trial
//   3. Cold       a runner just started is sent its part of a budget only
//   4. Holding    what finds no room waits here, best worth first, and is answered once it cannot be in time
//   5. Further    a lost assignment is followed by up to two more, none while overload is seen
//   6. Roster     follow the list; draining, gone or missing ends all sending at once
#include "choice.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

#include "ledger.hpp"
#include "peer_words.hpp"

namespace gannethold {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kPeriod = kSecond;    // the design's
constexpr Micros kRest = 2 * kSecond;  // fixed part of a set-aside; as much again at random, so that
                                       // dispatchers do not all come back to a runner together
constexpr int kFurther = 2;            // the operators' kept way
constexpr int kProbesOut = 2;   // while many tasks wait: more would ask the same runners for the same slot
constexpr double kFewJobs = 3;  // the design's floor for the own job rate
constexpr int kHalvings = 8;    // periods between halvings: long against a period, short against a shift

std::string text(RunnerId id) { return "runner " + std::to_string(static_cast<std::uint32_t>(id)); }

}  // namespace

class Choice::Desk {
  public:
    Desk(const StatedOrders& stated, std::uint64_t seed)
        : orders_(stated), chance_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
        for (std::size_t i = 0; i < orders_.workloads; ++i) workloads_.emplace_back(Stated(stated), i);
    }
    void note(Micros now, const Event& event) {
        now_ = now;
        std::visit([this](const auto& e) { heed(e); }, event);
    }
    void settle(Micros now, std::vector<Action>& out);
    const std::map<RunnerId, Runner>& runners() const { return runners_; }

  private:
    const StandingOrders orders_;
    std::ranlux24_base chance_;
    std::vector<Workload> workloads_;
    std::map<CustomerId, Customer> customers_;
    std::map<RunnerId, Runner> runners_;
    std::unordered_map<TaskId, Task> tasks_;
    std::vector<Runner*> open_;  // with room, while the held are placed
    std::vector<TaskId> held_, touched_;
    std::map<PeerId, Micros> peers_heard_;
    std::vector<std::string> lines_;
    Micros now_ = 0, next_period_ = 0, wake_set_ = 0, logged_at_ = -kSecond, overload_until_ = 0;
    Micros ask_at_ = 0, ask_wait_ = kSecond / 4, late_reports_until_ = 0;
    bool following_ = false, asking_ = false, period_over_ = false;
    int periods_ = 0, arrivals_ = 0;
    double rate_ = 0, view_ = 1, usual_cost_ = 0, job_seconds_ = 0.1, doubt_ = 0;

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
    Workload& workload(const Task& task) { return workloads_[static_cast<std::size_t>(task.asked.workload)]; }
    Runner* find(RunnerId id) {
        const auto found = runners_.find(id);
        return found == runners_.end() ? nullptr : &found->second;
    }
    void log(const std::string& line) {
        if (now_ - logged_at_ < kSecond / 4) return;
        logged_at_ = now_;
        lines_.push_back(line);
    }

    // ---- the design --------------------------------------------------------------------------------------

    // The smoothed latency, with the fleet's as its prior: a new runner starts at the mean estimate.
    void estimate() {
        double log_sum = 0, n = 0;
        for (auto& [id, r] : runners_)
            if (r.ready && r.latency.weight() > 0) log_sum += std::log2(r.latency.middle(1, 0.01)), ++n;
        const double fleet = n > 0 ? std::exp2(log_sum / n) : 1;
        for (auto& [id, r] : runners_) {
            r.smoothed = r.latency.middle(fleet, 2);
            // The least seen is let go slowly, against a lucky spell that is never reached again.
            r.least = r.least > 0 ? std::min(r.smoothed, r.least * 1.02) : r.smoothed;
        }
    }

    void step() {
        estimate();
        std::vector<std::pair<Runner*, double>> marginal;
        Runner* best = nullptr;
        double least = 0;
        for (auto& [id, r] : runners_) {
            if (!r.ready) continue;
            const double t = r.smoothed * job_seconds_, s = r.least * job_seconds_;
            const double m = r.busy > 0 ? t / (1 - std::min(r.busy, 0.95)) : t * t / s;
            marginal.emplace_back(&r, m);
            if (!best || m < least || (m == least && uniform() < 0.5)) best = &r, least = m;
        }
        for (const auto& [r, m] : marginal) {
            if (r == best) continue;
            // Newton's spirit (paper, section 5), against a bound over all stations that is too small to move
            // anything: each runner's own second derivative scales its step.
            const double t = r->smoothed * job_seconds_, s = r->least * job_seconds_;
            const double eta = 1 / (2 * t * t * t / s);
            const double move = std::min(r->fraction / 2, eta * (m - least) / std::max(rate_, kFewJobs));
            r->fraction -= move;
            best->fraction += move;
        }
        rescale();
    }

    void rescale() {
        double sum = 0;
        for (auto& [id, r] : runners_) sum += r.ready ? r.fraction : (r.fraction = 0);
        for (auto& [id, r] : runners_) r.fraction = sum > 0 ? r.fraction / sum : 0;
    }

    // A draw from the fractions over those that can take the task: the same as drawing until one can.
    Runner* draw(const Task& task, bool stretch = false) {
        double sum = 0;
        std::vector<Runner*> able;
        for (const int way : {3, 2, 1, 0}) {
            for (Runner* r : open_)
                if (2 * makes(*r, task) + (r->entry.zone == orders_.zone) == way &&
                    may_take(*r, task, stretch))
                    able.push_back(r), sum += r->fraction;
            if (!able.empty()) break;
        }
        double at = uniform() * sum;
        for (Runner* r : able)
            if ((at -= r->fraction) < 0) return r;
        return able.empty() ? nullptr : able.back();
    }

    // ---- 1. room -----------------------------------------------------------------------------------------

    void read_report(Runner& r, const Report& report) {
        if (report.size() != orders_.report_names.size()) return;
        double free = -1, held = -1, waiting = 0, busy = 0;
        for (std::size_t i = 0; i < report.size(); ++i) {
            // Against broken or lying runners: a report with a value that cannot be is not heard at all.
            if (!std::isfinite(report[i]) || report[i] < 0 || report[i] > 1e4) return;
            if (orders_.report_names[i] == "free_slots") free = std::round(report[i]);
            if (orders_.report_names[i] == "held") held = std::round(report[i]);
            if (orders_.report_names[i] == "waiting") waiting = std::round(report[i]);
            if (orders_.report_names[i] == "busy") busy = std::min(report[i], 1.0);
        }
        r.busy = busy;
        if (held < 0) {
            r.slots = std::max(r.slots, free);
            return;
        }
        // Against late reports: one that misses what was sent long ago tells of another time, and soon no
        // report is believed.
        if (r.out > 0 && now_ - r.last_sent > 16 * orders_.resolution) {
            doubt_ = doubt_ * 31 / 32 + (held < r.out ? 0.25 : 0);
            if (doubt_ > 0.3) late_reports_until_ = now_ + 2 * kPeriod;
        }
        if (held < r.out) return;
        if (free >= 0) r.slots = std::max(1.0, free + std::max(0.0, held - waiting));
        r.others = held - r.out;
        r.reported_at = now_;
    }

    bool blind() const { return orders_.knows_held && now_ < late_reports_until_; }

    double crowd(const Runner& r) const {
        double others = 0;
        for (const auto& [peer, n] : r.peers_out) others += n;
        if (orders_.knows_held && r.reported_at >= 0) {
            // What others had there runs off unseen; without this a full runner would stay full for ever.
            const double age = static_cast<double>(now_ - r.reported_at) / 1e6;
            others = std::max(others, r.others * std::exp(-age / job_seconds_ / 2));
        }
        return r.out + others;
    }

    double room(const Runner& r, bool stretch) const {
        if (now_ < r.full_until) return 0;
        const double slots = r.trial ? 1 : std::max(1.0, std::floor(r.slots + 0.5));
        if (blind()) return std::ceil(slots * std::clamp(view_ * 1.3, 0.01, 1.0)) - r.out;
        return slots + (stretch && !orders_.knows_held && !r.trial && now_ >= r.grow_at ? 1 : 0) - crowd(r);
    }

    bool fresh(const Runner& r) const {
        if (!orders_.probes || !orders_.knows_held || blind()) return true;
        return r.reported_at >= 0 && static_cast<double>(now_ - r.reported_at) < job_seconds_ * 1e5;
    }

    // Where nobody reports what a runner holds, its slots show in what starts, or ends, without a wait.
    void learn_slots(Runner& r, const Leg& leg, bool quick) {
        if (orders_.knows_held) return;
        if (quick && leg.crowd > r.slots) r.slots = std::floor(leg.crowd);
        if (!quick && leg.crowd <= r.slots) r.slots = std::max(1.0, r.slots - 0.5);
    }

    // Against half-warm runners taking what will be late there while a warm one has room.
    bool makes(const Runner& r, const Task& task) const {
        const double warm = warmth(r);
        return warm >= 1 ||
               static_cast<double>(now_) + task.cost * r.smoothed / warm <= static_cast<double>(task.wanted);
    }

    // On old news a slot need not be likely, a probe will tell: one that others left must not stand idle for
    // long.
    double least_room(const Runner& r) const { return fresh(r) ? 0.5 : 0.25; }

    // A probe unanswered for long tells as much as one that finds no room.
    bool is_open(const Runner& r, bool stretch) const {
        return r.ready && now_ >= r.aside_until &&
               !(r.probing && now_ - r.probed_at > 8 * orders_.resolution) &&
               room(r, stretch) >= least_room(r) && cold_allows(r, usual_cost_ * r.smoothed);
    }

    bool may_take(const Runner& r, const Task& task, bool stretch = false) {
        if (!is_open(r, stretch) || room(r, stretch) < task.asked.slots - 1 + least_room(r)) return false;
        const int kind = workload(task).kind;
        if (kind >= 0 && static_cast<int>(r.entry.kind) != kind) return false;
        for (const Leg& leg : task.legs)
            if (leg.runner == r.entry.runner && !leg.never_ran) return false;
        return effect_allows(r, task) && cold_allows(r, cold_cost(r, task));
    }

    // ---- 2. health ---------------------------------------------------------------------------------------

    void set_aside(Runner& r, const char* why) {
        int ready = 0, aside = 0;
        for (const auto& [id, other] : runners_)
            if (other.ready) ++ready, aside += now_ < other.aside_until;
        // If half the fleet looks bad at once, it is our view that is bad.
        if (2 * aside >= ready || now_ < r.aside_until) return;
        r.aside_until = now_ + kRest + static_cast<Micros>(uniform() * static_cast<double>(kRest));
        r.trial = true;
        log("set aside " + text(r.entry.runner) + ": " + why);
    }

    // ---- 3. cold -----------------------------------------------------------------------------------------

    double warmth(const Runner& r) const {
        if (r.cold_from < 0) return 1;
        const double age = static_cast<double>(now_ - r.cold_from) / static_cast<double>(orders_.warm_after);
        return std::min(1.0, orders_.cold_from + (1 - orders_.cold_from) * std::max(0.0, age));
    }

    // A small task weighs as much as the usual one: many small ones push a runner over just as well.
    double cold_cost(const Runner& r, const Task& task) const {
        return std::max(task.cost, usual_cost_) * r.smoothed;
    }

    void count_cold(Runner& r, double cost) {
        if (warmth(r) >= 1) return;
        r.cold_sends.emplace_back(now_, cost);
        while (now_ - r.cold_sends.front().first > orders_.cold_window) r.cold_sends.pop_front();
    }

    bool cold_allows(const Runner& r, double cost) const {
        if (warmth(r) >= 1) return true;
        double sent = 0;
        for (const auto& [at, each] : r.cold_sends)
            if (now_ - at <= orders_.cold_window) sent += each;
        const double whole = orders_.fall_multiple * warmth(r) * std::max(1.0, r.slots) *
                             static_cast<double>(orders_.cold_window);
        // Where peers tell what they send, all count against most of the whole. Else half of an even part is
        // ours, as one dispatcher may carry most of the traffic; a task too large for that goes only where
        // nobody is known to have anything, within a quarter of the whole.
        if (orders_.tells) return sent + cost <= whole * 0.75;
        return sent + cost <= whole / 2 / orders_.dispatchers ||
               (sent == 0 && crowd(r) < 0.5 && cost <= whole / 4);
    }

    // ---- 4. holding --------------------------------------------------------------------------------------

    void give_up(Task& task) {
        task.verdict = may_bounce(task) ? Verdict::bounce : Verdict::abandon;
        // What is too late for its due time is not worth another try: the client is asked to stay away
        // longest.
        task.stay_away = orders_.max_away;
        close(task);
    }

    void close(Task& task) {
        task.over = true;
        task.held = false;
        for (Leg& leg : task.legs) leg.wanted = false;
        touched_.push_back(task.asked.task);
    }

    bool may_bounce(const Task& task) {
        const Workload& w = workload(task);
        return w.effect == Effect::idempotent ||
               (w.effect == Effect::fingerprinted && w.group == RepeatGroup::all) ||
               task.all_legs(&Leg::never_ran);
    }

    // Best worth first, then the newest: under overload the oldest would all be served just too late.
    using Order = std::vector<std::pair<std::array<double, 3>, TaskId>>;
    Order sorted_held() {
        Order order;
        for (const TaskId id : held_) {
            const auto found = tasks_.find(id);
            if (found == tasks_.end() || !found->second.held) continue;
            Task& t = found->second;
            if (now_ < t.latest_start) {
                order.push_back({{now_ > t.due ? 1.0 : 0.0, -t.worth, -static_cast<double>(t.born)}, id});
                continue;
            }
            overload_until_ = now_ + kPeriod;
            give_up(t);
        }
        std::sort(order.begin(), order.end());
        return order;
    }

    void place_held() {
        int probing = 0;
        for (auto& [id, r] : runners_) probing += r.probing && now_ - r.probed_at <= 8 * orders_.resolution;
        open_.clear();
        for (auto& [id, r] : runners_)
            if (is_open(r, true)) open_.push_back(&r);
        const Order order = sorted_held();
        held_.clear();
        for (const auto& [key, id] : order) {
            if (open_.empty()) {
                held_.push_back(id);
                continue;
            }
            Task& t = tasks_.at(id);
            Runner* r = t.drawn ? find(*t.drawn) : nullptr;
            if (!r || !may_take(*r, t)) r = draw(t);
            if (!r && !orders_.knows_held && (r = draw(t, true))) r->grow_at = now_ + kPeriod;
            t.drawn.reset();
            if (r && fresh(*r)) {
                send(t, *r);
                if (!is_open(*r, true)) open_.erase(std::find(open_.begin(), open_.end(), r));
                continue;
            }
            if (r) t.drawn = r->entry.runner;
            // Probes cost: no more are out than tasks wait, and few where many do.
            if (r && !r->probing && probing < std::min<int>(kProbesOut, static_cast<int>(order.size())))
                r->want_probe = true, ++probing;
            held_.push_back(id);
        }
    }

    void send(Task& task, Runner& r) {
        task.held = false;
        ++r.out;
        r.last_sent = now_;
        Leg leg;
        leg.runner = r.entry.runner;
        leg.sent_at = now_;
        leg.crowd = crowd(r);
        task.legs.push_back(leg);
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
            if (w.effect == Effect::side_effecting || now_ + 8 * orders_.resolution > leg.sent_at + w.window)
                return false;
            const Runner* before = find(leg.runner);
            if (!before || (w.group == RepeatGroup::zone && before->entry.zone != r.entry.zone) ||
                (w.group == RepeatGroup::cell && before->entry.group != r.entry.group))
                return false;
        }
        return true;
    }

    bool may_follow(const Task& task) {
        if (now_ < overload_until_ || task.streaming || now_ >= task.latest_start) return false;
        if (static_cast<int>(task.legs.size()) >= std::min(orders_.max_assignments, 1 + kFurther))
            return false;
        return workload(task).effect != Effect::side_effecting || task.all_legs(&Leg::never_ran);
    }

    // ---- events ------------------------------------------------------------------------------------------

    void heed(const RosterNews& news) {
        asking_ = false;
        if (news.scope == RosterScope::failed) {
            following_ = false;
            ask_at_ = now_ + static_cast<Micros>(static_cast<double>(ask_wait_) * (0.5 + uniform()));
            ask_wait_ = std::min(ask_wait_ * 2, orders_.must_ask / 4);
            return;
        }
        if (news.scope != RosterScope::remembered) following_ = true, ask_wait_ = kSecond / 4;
        if (news.scope != RosterScope::changes) {
            std::set<RunnerId> listed;
            for (const RosterEntry& e : news.entries) listed.insert(e.runner);
            for (auto& [id, r] : runners_) r.ready = r.ready && listed.count(id);
        }
        double ready = 0;
        for (auto& [id, r] : runners_) ready += r.ready;
        for (const RosterEntry& e : news.entries) enter(e, ready > 0 ? 1 / ready : 1);
        rescale();
    }

    void enter(const RosterEntry& e, double mean_fraction) {
        if (!find(e.runner) && e.state != RunnerState::ready) return;
        Runner& r = runners_[e.runner];
        const bool new_here =
            e.state == RunnerState::ready && (!r.ready || e.started_at > r.entry.started_at);
        r.entry = e;
        r.ready = e.state == RunnerState::ready;
        if (!new_here) return;
        // The mean fraction and estimate, whatever it was before: it is another process by now.
        r.fraction = mean_fraction;
        r.latency.clear();
        r.least = r.blame = 0;
        r.aside_until = 0;
        r.trial = false;
        r.cold_from = e.started_at > 0 ? std::min(e.started_at, now_) : -1;
        r.want_probe = orders_.probes && !orders_.report_names.empty();
    }

    void heed(const TaskArrived& a) {
        ++arrivals_;
        const auto kind_of_work = static_cast<std::size_t>(a.workload);
        if (kind_of_work >= workloads_.size()) workloads_.resize(kind_of_work + 1);
        Workload& w = workloads_[kind_of_work];
        Task t;
        t.asked = a;
        // A client's repeat keeps the first try's expiry, so what is missing of the usual is its age.
        const Micros late = std::max<Micros>(0, now_ + w.expiry - a.expiry);
        if (w.least_late < 0 || late < w.least_late) w.least_late = late;
        t.born = now_ - (late - w.least_late);
        const bool hinted = a.hint_valid && a.cost_hint > 0;
        t.cost = hinted ? static_cast<double>(a.cost_hint) : w.typical();
        usual_cost_ += (t.cost - usual_cost_) / 64;
        t.due = t.born + w.due;
        t.wanted = t.due + static_cast<Micros>(t.cost * w.stretch);
        if (hinted) t.due += static_cast<Micros>(t.cost * std::max(0.0, w.stretch - best_latency()));
        // Against a queue in which all are late: what was never sent waits past its due time only a little.
        t.latest_start = t.due + static_cast<Micros>(w.tardy * static_cast<double>(w.due));
        t.latest_start = std::min(t.latest_start, a.expiry - 4 * orders_.resolution);
        t.worth = orders_.by_work ? w.importance : w.importance / std::max(1.0, w.typical());
        if (!within_allowance(a.customer)) t.worth *= orders_.surplus;
        held_.push_back(a.task);
        tasks_[a.task] = std::move(t);
    }

    double best_latency() const {
        double best = 1;
        for (const auto& [id, r] : runners_)
            if (r.ready) best = std::min(best, r.smoothed);
        return best;
    }

    // Against one customer's surge pushing out the rest: what is beyond an allowance gives way. Our part of
    // the allowance is taken as our part of all the work in hand.
    bool within_allowance(CustomerId id) {
        if (static_cast<std::size_t>(id) >= orders_.allowances.size()) return true;
        Customer& c = customers_[id];
        const double part = orders_.allowances[static_cast<std::size_t>(id)] * view_;
        c.spent = std::max(0.0, c.spent - part * static_cast<double>(now_ - c.at) / 1e6);
        c.at = now_;
        if (c.spent > part) return false;
        c.spent += 1;
        return true;
    }

    void heed(const StreamBegun& begun) {
        const auto found = tasks_.find(begun.task);
        if (found != tasks_.end()) found->second.streaming = true;
    }

    void heed(const AssignmentEnded& e) {
        const auto found = tasks_.find(e.task);
        Runner* r = find(e.runner);
        if (found == tasks_.end() || !r) return;
        Task& t = found->second;
        if (e.assignment < 0 || static_cast<std::size_t>(e.assignment) >= t.legs.size()) return;
        Leg& leg = t.legs[static_cast<std::size_t>(e.assignment)];
        if (leg.ended) return;
        leg.ended = true;
        leg.never_ran = proves_never_ran(e.outcome);
        if (e.outcome != Outcome::moot && e.outcome != Outcome::connect_failed) read_report(*r, e.report);
        --r->out;
        judge(*r, t, leg, e);
        // What was sent in vain may still earn what a late answer does.
        if (workload(t).tardy > 0 && !e.settled)
            t.latest_start = std::max(t.latest_start, t.asked.expiry - static_cast<Micros>(2 * t.cost));
        if (e.settled) {
            if (!t.over) close(t);
        } else if (!t.over && !t.held && may_follow(t)) {
            t.held = true;
            held_.push_back(e.task);
        } else if (!t.over && !t.held && t.all_legs(&Leg::ended)) {
            give_up(t);
        }
        touched_.push_back(e.task);
    }

    // Failures count as the longest latency, so that failing fast never looks like being fast.
    void judge(Runner& r, const Task& t, const Leg& leg, const AssignmentEnded& e) {
        Workload& w = workload(t);
        const bool died = e.outcome == Outcome::reset || e.outcome == Outcome::connect_failed;
        const bool failed = e.outcome == Outcome::error || e.outcome == Outcome::timed_out || died;
        if (e.outcome == Outcome::finished) {
            const double latency = static_cast<double>(e.elapsed) / t.cost;
            if (!orders_.tells_start) learn_slots(r, leg, latency < 1.5 * r.smoothed);
            r.latency.add(latency);
            w.latency.add(static_cast<double>(e.elapsed) / static_cast<double>(w.due));
            r.trial = false;
        } else if (e.outcome == Outcome::full || (failed && e.outcome != Outcome::connect_failed)) {
            r.latency.add(static_cast<double>(w.expiry) / t.cost);
        }
        if (failed || e.outcome == Outcome::finished) r.blame = r.blame * 0.75 + (failed ? 0.25 : 0);
        if (e.outcome == Outcome::full) r.full_until = now_ + static_cast<Micros>(job_seconds_ * 5e5);
        // A process that died is cold whenever it is back, and the roster says so only later.
        if (died) r.cold_from = now_;
        if (died || r.blame > 0.4) set_aside(r, died ? "it cannot be reached" : "it keeps failing");
    }

    void heed(const ClientLeft& left) {
        const auto found = tasks_.find(left.task);
        if (found != tasks_.end() && !found->second.over) close(found->second);
    }

    void heed(const TimerDue&) { wake_set_ = 0; }

    void heed(const ProbeEnded& e) {
        Runner* r = find(e.runner);
        if (!r) return;
        r->probing = false;
        if (e.outcome == Outcome::finished) {
            read_report(*r, e.report);
        } else if (e.outcome == Outcome::connect_failed || e.outcome == Outcome::reset) {
            r->cold_from = now_;
            set_aside(*r, "a probe cannot reach it");
        } else {
            r->full_until = now_ + static_cast<Micros>(job_seconds_ * 5e5);
        }
    }

    void heed(const PeerSaid& said) {
        const auto words = read_words(said.words);
        if (!words) return;
        peers_heard_[said.from] = now_;
        for (auto& [id, r] : runners_) {
            const auto told = words->out.find(id);
            if (told == words->out.end() && !words->all) continue;
            int& known = r.peers_out[said.from];
            const int now_out = told == words->out.end() ? 0 : told->second;
            for (; known < now_out; ++known) count_cold(r, usual_cost_ * r.smoothed);
            known = now_out;
        }
    }

    void forget_peer(PeerId peer) {
        for (auto& [id, r] : runners_) r.peers_out.erase(peer);
    }

    void heed(const Progress& p) {
        Runner* r = find(p.runner);
        if (!r) return;
        const auto found = tasks_.find(p.task);
        if (p.stage != Stage::begun || found == tasks_.end() || p.assignment < 0 ||
            static_cast<std::size_t>(p.assignment) >= found->second.legs.size())
            return;
        const Leg& leg = found->second.legs[static_cast<std::size_t>(p.assignment)];
        learn_slots(*r, leg, static_cast<double>(now_ - leg.sent_at) < job_seconds_ * 2e5);
    }

    // ---- settling ----------------------------------------------------------------------------------------

    void end_period() {
        rate_ += (arrivals_ - rate_) / 4;
        arrivals_ = 0;
        double seconds = 0, weight = 0, own = 0, all = 0;
        for (const Workload& w : workloads_)
            seconds += w.latency.weight() * w.typical() / 1e6, weight += w.latency.weight();
        if (weight > 0) job_seconds_ = std::clamp(seconds / weight, 0.001, 60.0);
        for (const auto& [peer, at] : peers_heard_)
            if (now_ - at > 3 * kPeriod) forget_peer(peer);
        for (auto& [id, r] : runners_) own += r.out, all += crowd(r);
        if (all > 0 && !blind()) view_ += (own / all - view_) / 16;
        step();
        if (++periods_ % kHalvings == 0) {
            for (auto& [id, r] : runners_) r.latency.halve();
            for (Workload& w : workloads_) w.latency.halve();
        }
        // Where no answer carries what a runner holds, each is asked now and then: there is no other news of
        // it.
        if (orders_.probes && !orders_.knows_held && !orders_.report_names.empty())
            for (auto& [id, r] : runners_) r.want_probe = uniform() < 0.4;
    }

    void tell_peers(std::vector<Action>& out) {
        PeerWords words{period_over_, {}};
        for (auto& [id, r] : runners_)
            if (period_over_ ? r.out > 0 : r.out != r.told_out) words.out[id] = r.told_out = r.out;
        if (!words.out.empty()) out.push_back(TellPeers{spell(words)});
    }

    void emit(std::vector<Action>& out);
};

void Choice::Desk::settle(Micros now, std::vector<Action>& out) {
    now_ = now;
    if (next_period_ == 0) next_period_ = now + kPeriod;
    period_over_ = now >= next_period_;
    if (period_over_) {
        next_period_ = now + kPeriod;
        end_period();
    }
    place_held();
    emit(out);
}

// The only place that acts: what is wanted against what is, and the difference goes out.
void Choice::Desk::emit(std::vector<Action>& out) {
    if (orders_.asks && !following_ && !asking_ && now_ >= ask_at_) {
        asking_ = true;
        out.push_back(FollowRoster{true});
    }
    for (std::size_t i = 0; i < touched_.size(); ++i) {
        const auto found = tasks_.find(touched_[i]);
        if (found == tasks_.end()) continue;
        Task& t = found->second;
        for (std::size_t n = 0; n < t.legs.size(); ++n) {
            Leg& leg = t.legs[n];
            if (leg.wanted && !leg.sent) {
                leg.sent = true;
                out.push_back(Assign{t.asked.task, leg.runner, t.asked.expiry - 2 * orders_.resolution});
            } else if (!leg.wanted && !leg.ended && !leg.withdrawing && orders_.cancelling && !t.streaming) {
                leg.withdrawing = true;
                out.push_back(Withdraw{t.asked.task, static_cast<int>(n)});
            }
        }
        if (t.verdict == Verdict::bounce) out.push_back(Bounce{t.asked.task, t.stay_away});
        if (t.verdict == Verdict::abandon) out.push_back(Abandon{t.asked.task});
        t.verdict = Verdict::none;
        if (t.over && t.all_legs(&Leg::ended)) tasks_.erase(found);
    }
    touched_.clear();
    for (auto& [id, r] : runners_) {
        if (!r.want_probe) continue;
        r.want_probe = false;
        if (!r.ready || r.probing) continue;
        r.probing = true;
        r.probed_at = now_;
        out.push_back(Probe{id});
    }
    if (orders_.tells && orders_.dispatchers > 1) tell_peers(out);
    Micros wake = next_period_;
    if (!held_.empty()) wake = std::min(wake, now_ + 4 * orders_.resolution);
    if (orders_.asks && !following_ && !asking_)
        wake = std::min(wake, std::max(ask_at_, now_ + orders_.resolution));
    if (wake_set_ == 0 || wake < wake_set_) {
        wake_set_ = wake;
        out.push_back(WakeAt{wake, TimerMark{}});
    }
    for (std::string& line : lines_) out.push_back(LogLine{std::move(line)});
    lines_.clear();
}

Choice::Choice(const StatedOrders& orders, std::uint64_t seed)
    : desk_(std::make_unique<Desk>(orders, seed)) {}
Choice::~Choice() = default;
Choice::Choice(Choice&&) noexcept = default;
Choice& Choice::operator=(Choice&&) noexcept = default;
void Choice::note(Micros now, const Event& event) { desk_->note(now, event); }
void Choice::settle(Micros now, std::vector<Action>& out) { desk_->settle(now, out); }

std::map<RunnerId, double> Choice::fractions() const {
    std::map<RunnerId, double> shares;
    for (const auto& [id, r] : desk_->runners())
        if (r.ready) shares[id] = r.fraction;
    return shares;
}

}  // namespace gannethold
