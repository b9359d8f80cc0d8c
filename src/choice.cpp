// Every decision of a dispatcher, and nothing else. The interface is choice.hpp, the words are types.hpp:
// construct with the stated orders and a seed, note() each event, settle() once a batch.
//
// The ordinary path is the design's: split fractions over the ready runners, each pick drawn from them, and
// once a period a clamped gradient step toward the least marginal delay (docs/design.md). Beside it stand
//   1. Room       a draw on a runner with no free slot is drawn again; probes and peers' words tell of slots
//   2. Health     a runner that fails or falls silent is set aside, and returns on trial
//   3. Cold       a runner just started is sent its part of a budget only
//   4. Holding    what finds no room waits here, best worth first, and is answered once it cannot be in time
//   5. Further    a lost or stuck assignment is followed by up to two more, none while overload is seen
//   6. Roster     follow the list; draining, gone or missing ends all sending at once
#include "choice.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <stdexcept>
#include <unordered_map>

namespace gannethold {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kPeriod = kSecond;       // the design's
constexpr Micros kRest = 2 * kSecond;     // fixed part of a set-aside; as much again at random, so that
                                          // dispatchers do not all come back to a runner together
constexpr int kFurther = 2;               // the operators' kept way
constexpr double kFewJobs = 3;            // the design's floor for the own job rate
constexpr int kHalvings = 8;              // periods between halvings: long against a period, short against a shift

class StandingOrders {
  public:
    explicit StandingOrders(const StatedOrders& stated) : stated_(stated) {}
    std::string word(const std::string& name, const std::string& otherwise) const {
        const auto found = stated_.find(name);
        return found == stated_.end() ? otherwise : found->second;
    }
    double number(const std::string& name, double otherwise) const {
        const std::string text = word(name, "");
        if (text.empty()) return otherwise;
        std::size_t read = 0;
        double value = 0;
        try {
            value = std::stod(text, &read);
        } catch (const std::exception&) {
            read = 0;
        }
        if (read != text.size() || !std::isfinite(value))
            throw std::runtime_error("standing order " + name + " is not a number: " + text);
        return value;
    }
    bool yes(const std::string& name) const {
        const std::string text = word(name, "false");
        if (text != "true" && text != "false")
            throw std::runtime_error("standing order " + name + " is neither true nor false: " + text);
        return text == "true";
    }

  private:
    StatedOrders stated_;
};

// Half-octave bins around one; coarse, but a runner's speed shows in a handful of samples.
class Histogram {
  public:
    void add(double value, double weight = 1) {
        if (!(value > 0) || !std::isfinite(value)) return;
        const double bin = std::floor(2 * std::log2(value)) + kBins / 2;
        bins_[static_cast<std::size_t>(std::clamp(bin, 0.0, kBins - 1.0))] += weight;
    }
    void halve() {
        for (double& b : bins_) b /= 2;
    }
    void clear() { bins_.fill(0); }
    double weight() const {
        double sum = 0;
        for (double b : bins_) sum += b;
        return sum;
    }
    double mean(double otherwise) const {
        double sum = 0;
        for (std::size_t i = 0; i < kBins; ++i) sum += bins_[i] * std::exp2(log_centre(i));
        return weight() > 0 ? sum / weight() : otherwise;
    }
    // The mean of logarithms: with heavy-tailed work and no hints, one long job must not look like a slow runner.
    double middle(double prior, double prior_weight) const {
        double sum = prior_weight * std::log2(prior);
        for (std::size_t i = 0; i < kBins; ++i) sum += bins_[i] * log_centre(i);
        return std::exp2(sum / (weight() + prior_weight));
    }

  private:
    static constexpr std::size_t kBins = 20;
    static double log_centre(std::size_t bin) { return (static_cast<double>(bin) + 0.5) / 2 - kBins / 4.0; }
    std::array<double, kBins> bins_{};
};

enum class Effect { idempotent, fingerprinted, side_effecting };
enum class RepeatGroup { all, zone, cell };

struct Workload {
    Effect effect = Effect::side_effecting;
    RepeatGroup group = RepeatGroup::cell;
    Micros due = kSecond, expiry = kSecond, window = 0;
    double stretch = 0, importance = 1, tardy = 0;
    int kind = -1;
    Histogram latency;          // as multiples of the due time
    Micros least_late = -1;     // what a first try's age looks like, where tries have less than the expiry
    double typical() const { return latency.mean(1) * static_cast<double>(due); }
};

struct Customer {
    double allowance = 0, spent = 0;
    Micros at = 0;
};

struct Leg {
    RunnerId runner{};
    Micros sent_at = 0, stop_at = 0;
    bool sent = false, wanted = true, ended = false, withdrawing = false, never_ran = false, copied = false;
};

enum class Verdict { none, bounce, abandon };

struct Task {
    TaskArrived asked;
    Micros born = 0, due = 0, latest_start = 0;
    double cost = 0;             // microseconds that a typical runner takes
    double worth = 0;
    std::vector<Leg> legs;
    RunnerId drawn{};
    bool has_drawn = false, held = true, over = false, streaming = false;
    Verdict verdict = Verdict::none;
    Micros stay_away = 0;
};

struct Runner {
    RosterEntry entry;
    bool ready = false;
    double fraction = 0, smoothed = 1, least = 0, busy = 0;
    Histogram latency;           // over the cost
    int out = 0;
    Micros last_sent = 0, last_word = 0;
    double slots = 0, others = 0, usual_others = 0;
    Micros reported_at = -1, full_until = 0, distrust_until = 0;
    bool probing = false, want_probe = false;
    Micros probed_at = -1;
    double blame = 0;
    Micros aside_until = 0, cold_from = -1;
    bool silent = false, trial = false;
    std::deque<std::pair<Micros, double>> cold_sends;
    std::map<PeerId, int> peers_out;
    int told_out = 0;
};

}  // namespace

class Choice::Desk {
  public:
    Desk(const StatedOrders& stated, std::uint64_t seed);
    void note(Micros now, const Event& event) {
        now_ = now;
        std::visit([this](const auto& e) { heed(e); }, event);
    }
    void settle(Micros now, std::vector<Action>& out);
    const std::map<RunnerId, Runner>& runners() const { return runners_; }

  private:
    void heed(const RosterNews& news);
    void heed(const TaskArrived& arrived);
    void heed(const StreamBegun& begun);
    void heed(const AssignmentEnded& ended);
    void heed(const ClientLeft& left);
    void heed(const TimerDue&) { wake_set_ = 0; }
    void heed(const ProbeEnded& ended);
    void heed(const PeerSaid& said);
    void heed(const Progress& progress);

    // the design
    void step();
    void estimate();
    void rescale();
    Runner* draw(const Task& task);

    // beside it
    void read_report(Runner& r, const Report& report, int out_then);
    double room(const Runner& r) const;
    bool fresh(const Runner& r) const;
    bool may_take(const Runner& r, const Task& task) const;
    bool effect_allows(const Runner& r, const Task& task) const;
    bool may_bounce(const Task& task) const;
    double cold_share(const Runner& r) const;
    bool cold_allows(const Runner& r, const Task& task) const;
    void set_aside(Runner& r, const char* why);
    void look_for_silence();
    void place_held();
    void give_up(Task& task);
    void over(Task& task);
    void send(Task& task, Runner& r);
    bool may_follow(const Task& task) const;
    void emit(std::vector<Action>& out);
    void tell_peers(std::vector<Action>& out, bool all);
    void log(const std::string& text) {
        if (now_ - logged_at_ < kSecond / 4) return;
        logged_at_ = now_;
        lines_.push_back(text);
    }

    StandingOrders orders_;
    std::ranlux24_base chance_;
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

    std::vector<Workload> workloads_;
    std::vector<Customer> customers_;
    std::map<RunnerId, Runner> runners_;
    std::unordered_map<TaskId, Task> tasks_;
    std::vector<TaskId> held_, touched_;
    std::map<PeerId, Micros> peers_heard_;
    std::vector<std::string> lines_;
    std::vector<std::string> report_names_;

    bool cancelling_, parallel_, probes_, tells_, advice_, asks_, knows_held_, by_work_;
    int dispatchers_, max_assignments_;
    Micros resolution_, progress_every_, cold_window_, warm_after_, must_ask_, max_away_;
    double cold_from_, fall_multiple_, surplus_;

    Micros now_ = 0, next_period_ = 0, wake_set_ = 0, logged_at_ = -kSecond, overload_until_ = 0;
    Micros ask_at_ = 0, ask_wait_ = kSecond / 4, asked_at_ = -1;
    bool following_ = false, asking_ = false, peers_stale_ = false;
    int periods_ = 0, arrivals_ = 0;
    double rate_ = 0, view_ = 1, job_seconds_ = 0.1;
};

Choice::Desk::Desk(const StatedOrders& stated, std::uint64_t seed)
    : orders_(stated), chance_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
    cancelling_ = orders_.yes("caps.cancelling");
    parallel_ = orders_.yes("caps.parallel_tries");
    probes_ = orders_.yes("caps.probes");
    tells_ = orders_.yes("caps.may_tell");
    advice_ = orders_.yes("caps.retry_after");
    max_away_ = static_cast<Micros>(orders_.number("caps.max_retry_after_us", 0));
    asks_ = orders_.word("roster.how", "pushed") == "on_request";
    by_work_ = orders_.word("importance.by", "request") == "work";
    dispatchers_ = std::max(1, static_cast<int>(orders_.number("dispatchers", 1)));
    max_assignments_ = std::max(1, static_cast<int>(orders_.number("caps.max_assignments", 1)));
    resolution_ = std::max<Micros>(1, static_cast<Micros>(orders_.number("resolution_us", 1000)));
    progress_every_ = static_cast<Micros>(orders_.number("trade.progress_us", 0));
    // Without figures for cold runners, the cautious reading: a tenth at first, half a minute to warm.
    cold_from_ = orders_.number("rules.cold_from", 0.1);
    warm_after_ = std::max<Micros>(1, static_cast<Micros>(orders_.number("rules.warm_after_us", 3e7)));
    fall_multiple_ = orders_.number("rules.fall_multiple", 1);
    cold_window_ = static_cast<Micros>(orders_.number("rules.tip_after_us", 1e6));
    must_ask_ = static_cast<Micros>(orders_.number("rules.must_ask_in_us", 1e7));
    surplus_ = orders_.number("importance.surplus", 1);
    std::string names = orders_.word("reports.names", "");
    while (!names.empty()) {
        const auto comma = std::min(names.find(','), names.size());
        report_names_.push_back(names.substr(0, comma));
        names.erase(0, comma + 1);
    }
    const auto reported = [&](const char* name) { return std::count(report_names_.begin(), report_names_.end(), name); };
    knows_held_ = reported("held") && reported("free_slots");
    workloads_.resize(static_cast<std::size_t>(std::clamp(orders_.number("workloads.count", 1), 1.0, 256.0)));
    for (std::size_t i = 0; i < workloads_.size(); ++i) {
        const std::string at = "workloads." + std::to_string(i) + ".";
        Workload& w = workloads_[i];
        const std::string effect = orders_.word(at + "effect", ""), group = orders_.word(at + "group", "cell");
        w.effect = effect == "idempotent"      ? Effect::idempotent
                   : effect == "fingerprinted" ? Effect::fingerprinted
                                               : Effect::side_effecting;
        w.group = group == "all" ? RepeatGroup::all : group == "zone" ? RepeatGroup::zone : RepeatGroup::cell;
        w.due = std::max<Micros>(1, static_cast<Micros>(orders_.number(at + "due_time_us", 1e6)));
        w.expiry = static_cast<Micros>(orders_.number(at + "expiry_us", 1e6));
        w.window = static_cast<Micros>(orders_.number(at + "window_us", 0));
        w.importance = orders_.number(at + "importance", 1);
        w.tardy = orders_.number(at + "tardy_importance", 0);
        w.stretch = orders_.number(at + "aim_stretch", 0);
    }
    // Lists over the workloads come as one word, joined by commas.
    const auto each = [&](const std::string& name, auto&& use) {
        std::string list = orders_.word(name, "");
        for (std::size_t i = 0; !list.empty() && i < workloads_.size(); ++i) {
            const auto comma = std::min(list.find(','), list.size());
            use(workloads_[i], StandingOrders(StatedOrders{{name, list.substr(0, comma)}}).number(name, 0));
            list.erase(0, comma + 1);
        }
    };
    each("trade.class_stretch", [](Workload& w, double v) { w.stretch = v; });
    each("trade.class_kind", [](Workload& w, double v) { w.kind = static_cast<int>(v); });
    customers_.resize(static_cast<std::size_t>(std::clamp(orders_.number("customers.count", 0), 0.0, 1e5)));
    for (std::size_t i = 0; i < customers_.size(); ++i)
        customers_[i].allowance = orders_.number("customers." + std::to_string(i) + ".allowance_per_s", 0);
}

// ---- the design ------------------------------------------------------------------------------------------

// The smoothed latency, with the fleet's mean as its prior: a new runner starts at the mean estimate.
void Choice::Desk::estimate() {
    double log_sum = 0, n = 0;
    for (auto& [id, r] : runners_)
        if (r.ready && r.latency.weight() > 0) log_sum += std::log2(r.latency.middle(1, 0.01)), ++n;
    const double fleet = n > 0 ? std::exp2(log_sum / n) : 1;
    for (auto& [id, r] : runners_) {
        if (!r.ready) continue;
        r.smoothed = r.latency.middle(fleet, 2);
        // The least seen is let go slowly, against a lucky spell that is never reached again.
        r.least = r.least > 0 ? std::min(r.smoothed, r.least * 1.02) : r.smoothed;
    }
}

void Choice::Desk::step() {
    estimate();
    const double x = std::max(rate_, kFewJobs);
    std::vector<std::pair<Runner*, double>> marginal;
    for (auto& [id, r] : runners_) {
        if (!r.ready) continue;
        const double t = r.smoothed * job_seconds_, s = r.least * job_seconds_;
        marginal.emplace_back(&r, r.busy > 0 ? t / (1 - std::min(r.busy, 0.95)) : t * t / s);
    }
    if (marginal.size() < 2) return;
    double least = marginal[0].second;
    for (const auto& [r, m] : marginal) least = std::min(least, m);
    std::vector<Runner*> ties;
    for (const auto& [r, m] : marginal)
        if (m <= least) ties.push_back(r);
    Runner* best = ties[static_cast<std::size_t>(uniform() * static_cast<double>(ties.size())) % ties.size()];
    for (const auto& [r, m] : marginal) {
        if (r == best) continue;
        // Newton's spirit (paper, section 5): each runner's own second derivative scales its step, and only as
        // many as there are dispatchers move at once; the bound over all stations is too small to be seen.
        const double t = r->smoothed * job_seconds_, s = r->least * job_seconds_;
        const double eta = 1 / (2 * t * t * t / s * dispatchers_);
        const double move = std::min(r->fraction / 2, eta * (m - least) / x);
        r->fraction -= move;
        best->fraction += move;
    }
    rescale();
}

void Choice::Desk::rescale() {
    double sum = 0;
    for (auto& [id, r] : runners_) {
        if (!r.ready) r.fraction = 0;
        sum += r.fraction;
    }
    if (sum <= 0) return;
    for (auto& [id, r] : runners_) r.fraction /= sum;
}

// A draw from the fractions over those that can take the task: drawing again is the same as leaving out.
Runner* Choice::Desk::draw(const Task& task) {
    double sum = 0;
    std::vector<Runner*> able;
    for (auto& [id, r] : runners_)
        if (may_take(r, task)) able.push_back(&r), sum += r.fraction;
    if (able.empty()) return nullptr;
    double at = uniform() * sum;
    for (Runner* r : able)
        if ((at -= r->fraction) < 0) return r;
    return able.back();
}

// ---- 1. room -----------------------------------------------------------------------------------------------

void Choice::Desk::read_report(Runner& r, const Report& report, int out_then) {
    if (report.size() != report_names_.size()) return;
    double free = -1, held = -1, waiting = 0;
    for (std::size_t i = 0; i < report.size(); ++i) {
        const double v = report[i];
        // Against lying or broken runners: what cannot be is not heard at all.
        if (!std::isfinite(v) || v < 0 || v > 1e4) return;
        if (report_names_[i] == "free_slots") free = std::round(v);
        if (report_names_[i] == "held") held = std::round(v);
        if (report_names_[i] == "waiting") waiting = std::round(v);
        if (report_names_[i] == "busy") r.busy = std::min(v, 1.0);
    }
    if (held < 0) {
        r.slots = std::max(r.slots, free);
        return;
    }
    // Against late reports: one that misses what we sent long ago tells of another time.
    if (held < out_then && now_ - r.last_sent > 16 * resolution_) {
        r.distrust_until = now_ + kPeriod;
        return;
    }
    if (free >= 0) r.slots = std::max(1.0, free + std::max(0.0, held - waiting));
    r.others = std::max(0.0, held - out_then);
    r.usual_others += (r.others - r.usual_others) / 16;
    r.reported_at = now_;
}

double Choice::Desk::room(const Runner& r) const {
    double slots = r.slots;
    if (slots <= 0) slots = 1;
    if (now_ < r.full_until) return 0;
    if (r.trial) slots = 1;
    double others = 0;
    if (tells_) {
        for (const auto& [peer, n] : r.peers_out) others += n;
    } else if (knows_held_ && r.reported_at >= 0) {
        // What others had there runs off unseen; without this a full runner would stay full for ever.
        const double age = static_cast<double>(now_ - r.reported_at) / 1e6;
        others = now_ < r.distrust_until ? r.usual_others : r.others * std::exp(-age / job_seconds_);
    }
    return slots - r.out - others;
}

bool Choice::Desk::fresh(const Runner& r) const {
    if (!probes_ || !knows_held_ || now_ < r.distrust_until) return true;
    return r.reported_at >= 0 && static_cast<double>(now_ - r.reported_at) < job_seconds_ * 1e5;
}

bool Choice::Desk::may_take(const Runner& r, const Task& task) const {
    const Workload& w = workloads_[static_cast<std::size_t>(task.asked.workload)];
    if (!r.ready || now_ < r.aside_until || r.silent) return false;
    if (w.kind >= 0 && static_cast<int>(r.entry.kind) != w.kind) return false;
    if (r.probing && now_ - r.probed_at > 8 * resolution_) return false;
    for (const Leg& leg : task.legs)
        if (leg.runner == r.entry.runner && !leg.never_ran) return false;
    return room(r) >= std::max(0.5, task.asked.slots - 0.5) && effect_allows(r, task) && cold_allows(r, task);
}

// ---- 2. health -----------------------------------------------------------------------------------------------

void Choice::Desk::set_aside(Runner& r, const char* why) {
    int ready = 0, aside = 0;
    for (const auto& [id, other] : runners_)
        if (other.ready) ++ready, aside += now_ < other.aside_until || other.silent;
    // If half the fleet looks bad at once, it is our view that is bad.
    if (2 * aside >= ready || now_ < r.aside_until) return;
    r.aside_until = now_ + kRest + static_cast<Micros>(uniform() * static_cast<double>(kRest));
    r.trial = true;
    log("set aside runner " + std::to_string(static_cast<std::uint32_t>(r.entry.runner)) + ": " + why);
}

// A runner that is not standing still answers or tells progress; one that does neither gets nothing more.
void Choice::Desk::look_for_silence() {
    const Micros wait = progress_every_ > 0 ? progress_every_ * 8 / 5 : static_cast<Micros>(job_seconds_ * 6e6);
    for (auto& [id, r] : runners_) {
        const bool was = r.silent;
        r.silent = r.out > 0 && now_ - r.last_word > wait && now_ - r.last_sent > wait;
        if (r.silent && !was) log("runner " + std::to_string(static_cast<std::uint32_t>(id)) + " fell silent");
    }
}

// ---- 3. cold -------------------------------------------------------------------------------------------------

double Choice::Desk::cold_share(const Runner& r) const {
    if (r.cold_from < 0) return 1;
    const double age = static_cast<double>(now_ - r.cold_from) / static_cast<double>(warm_after_);
    return std::min(1.0, cold_from_ + (1 - cold_from_) * std::max(0.0, age));
}

bool Choice::Desk::cold_allows(const Runner& r, const Task& task) const {
    const double share = cold_share(r);
    if (share >= 1) return true;
    double sent = 0;
    for (const auto& [at, cost] : r.cold_sends)
        if (now_ - at <= cold_window_) sent += cost;
    // Half of this dispatcher's even part: the others send too, and one may carry most of the traffic.
    const double budget = fall_multiple_ * share * std::max(1.0, r.slots) * static_cast<double>(cold_window_) / 2;
    return sent + task.cost <= budget / dispatchers_ || (sent == 0 && task.cost <= budget);
}

// ---- 4. holding ----------------------------------------------------------------------------------------------

void Choice::Desk::give_up(Task& task) {
    task.verdict = may_bounce(task) ? Verdict::bounce : Verdict::abandon;
    // What is too late for its due time is not worth another try; the client is asked to stay away longest.
    task.stay_away = advice_ ? max_away_ : 0;
    over(task);
}

void Choice::Desk::over(Task& task) {
    task.over = true;
    task.held = false;
    for (Leg& leg : task.legs) leg.wanted = false;
    touched_.push_back(task.asked.task);
}

bool Choice::Desk::may_bounce(const Task& task) const {
    const Workload& w = workloads_[static_cast<std::size_t>(task.asked.workload)];
    if (w.effect == Effect::idempotent) return true;
    if (w.effect == Effect::fingerprinted && w.group == RepeatGroup::all) return true;
    return std::all_of(task.legs.begin(), task.legs.end(), [](const Leg& leg) { return leg.never_ran; });
}

void Choice::Desk::place_held() {
    std::vector<std::pair<std::array<double, 3>, TaskId>> order;
    for (const TaskId id : held_) {
        const auto found = tasks_.find(id);
        if (found == tasks_.end() || !found->second.held) continue;
        Task& t = found->second;
        if (now_ >= t.latest_start) {
            overload_until_ = now_ + kPeriod;
            give_up(t);
            continue;
        }
        const bool late = now_ + static_cast<Micros>(t.cost) > t.due + static_cast<Micros>(t.cost);
        order.push_back({{late ? 1.0 : 0.0, -t.worth, static_cast<double>(t.born)}, id});
    }
    std::sort(order.begin(), order.end());
    held_.clear();
    for (const auto& [key, id] : order) {
        Task& t = tasks_.at(id);
        Runner* r = nullptr;
        if (t.has_drawn) {
            const auto drawn = runners_.find(t.drawn);
            if (drawn != runners_.end() && may_take(drawn->second, t)) r = &drawn->second;
        }
        if (!r) r = draw(t);
        t.has_drawn = r != nullptr;
        if (r) {
            t.drawn = r->entry.runner;
            if (fresh(*r)) {
                send(t, *r);
                continue;
            }
            r->want_probe = !r->probing;
        }
        held_.push_back(id);
    }
}

void Choice::Desk::send(Task& task, Runner& r) {
    task.held = task.has_drawn = false;
    Leg leg;
    leg.runner = r.entry.runner;
    leg.sent_at = now_;
    leg.stop_at = task.asked.expiry - 2 * resolution_;
    task.legs.push_back(leg);
    if (r.out == 0) r.last_word = now_;
    ++r.out;
    r.last_sent = now_;
    if (cold_share(r) < 1) {
        r.cold_sends.emplace_back(now_, task.cost);
        while (now_ - r.cold_sends.front().first > cold_window_) r.cold_sends.pop_front();
    }
    touched_.push_back(task.asked.task);
}

// ---- 5. further assignments ------------------------------------------------------------------------------------

// Rule 2, wherever a task is sent: what may have run binds where it may go next.
bool Choice::Desk::effect_allows(const Runner& r, const Task& task) const {
    const Workload& w = workloads_[static_cast<std::size_t>(task.asked.workload)];
    for (const Leg& leg : task.legs) {
        if (leg.never_ran) continue;
        if (!leg.ended && !parallel_) return false;
        if (w.effect == Effect::idempotent) continue;
        if (w.effect == Effect::side_effecting) return false;
        // A margin, since the runners count their window by their own clocks and ours is a tick behind.
        if (now_ + 8 * resolution_ > leg.sent_at + w.window) return false;
        const auto before = runners_.find(leg.runner);
        if (before == runners_.end()) return false;
        if (w.group == RepeatGroup::zone && before->second.entry.zone != r.entry.zone) return false;
        if (w.group == RepeatGroup::cell && before->second.entry.group != r.entry.group) return false;
    }
    return true;
}

bool Choice::Desk::may_follow(const Task& task) const {
    if (now_ < overload_until_ || task.over || task.streaming) return false;
    if (static_cast<int>(task.legs.size()) >= std::min(max_assignments_, 1 + kFurther)) return false;
    const Workload& w = workloads_[static_cast<std::size_t>(task.asked.workload)];
    if (w.effect != Effect::side_effecting) return true;
    return std::all_of(task.legs.begin(), task.legs.end(), [](const Leg& leg) { return leg.never_ran; });
}

// ---- events ----------------------------------------------------------------------------------------------------

void Choice::Desk::heed(const RosterNews& news) {
    asking_ = false;
    if (news.scope == RosterScope::failed) {
        following_ = false;
        ask_at_ = now_ + static_cast<Micros>(static_cast<double>(ask_wait_) * (0.5 + uniform()));
        ask_wait_ = std::min(ask_wait_ * 2, must_ask_ / 4);
        return;
    }
    if (news.scope != RosterScope::remembered && asks_) following_ = true, ask_wait_ = kSecond / 4;
    if (news.scope != RosterScope::changes)
        for (auto& [id, r] : runners_) {
            const auto here = [&id = id](const RosterEntry& e) { return e.runner == id; };
            if (std::none_of(news.entries.begin(), news.entries.end(), here)) r.ready = false;
        }
    for (const RosterEntry& e : news.entries) {
        const auto known = runners_.find(e.runner);
        if (known == runners_.end() && e.state != RunnerState::ready) continue;
        Runner& r = runners_[e.runner];
        const bool restarted = e.started_at > r.entry.started_at;
        const bool fresh_face = e.state == RunnerState::ready && (!r.ready || restarted);
        r.entry = e;
        if (fresh_face) {
            // The mean fraction and estimate, whatever it was before; it may be another machine by now.
            int ready = 0;
            for (const auto& [id, other] : runners_) ready += other.ready && id != e.runner;
            r.fraction = ready ? 1.0 / ready : 1;
            r.latency.clear();
            r.least = 0;
            r.blame = 0;
            r.aside_until = 0;
            r.trial = r.silent = false;
            if (e.started_at > 0) r.cold_from = std::min(e.started_at, now_);
            r.want_probe = probes_ && !r.probing && !report_names_.empty();
        }
        r.ready = e.state == RunnerState::ready;
    }
    rescale();
}

void Choice::Desk::heed(const TaskArrived& a) {
    ++arrivals_;
    if (static_cast<std::size_t>(a.workload) >= workloads_.size()) workloads_.resize(static_cast<std::size_t>(a.workload) + 1);
    Workload& w = workloads_[static_cast<std::size_t>(a.workload)];
    Task t;
    t.asked = a;
    // A client's repeat keeps the first try's expiry, so what is missing of the usual is its age.
    const Micros late = std::max<Micros>(0, now_ + w.expiry - a.expiry);
    if (w.least_late < 0 || late < w.least_late) w.least_late = late;
    t.born = now_ - (late - w.least_late);
    const bool hinted = a.hint_valid && a.cost_hint > 0;
    double best = 1;
    for (const auto& [id, r] : runners_)
        if (r.ready) best = std::min(best, r.smoothed);
    t.cost = hinted ? static_cast<double>(a.cost_hint) : w.typical();
    const Micros margin = 4 * resolution_;
    t.due = t.born + w.due;
    if (hinted) t.due += static_cast<Micros>(static_cast<double>(a.cost_hint) * std::max(0.0, w.stretch - best));
    t.latest_start = t.due;
    if (w.tardy > 0) t.latest_start = std::max(t.due, a.expiry - static_cast<Micros>(2 * t.cost));
    t.latest_start = std::min(t.latest_start, a.expiry - margin);
    t.worth = w.importance;
    if (!by_work_) t.worth /= std::max(1.0, w.typical());
    if (static_cast<std::size_t>(a.customer) < customers_.size()) {
        // Our part of the allowance is taken as our part of the traffic; beyond it a task gives way.
        Customer& c = customers_[static_cast<std::size_t>(a.customer)];
        const double part = c.allowance * std::max(view_, 0.5 / dispatchers_);
        c.spent = std::max(0.0, c.spent - part * static_cast<double>(now_ - c.at) / 1e6);
        c.at = now_;
        if (c.spent > 2 * part) {
            t.worth *= surplus_;
        } else {
            c.spent += 1;
        }
    }
    held_.push_back(a.task);
    tasks_[a.task] = std::move(t);
}

void Choice::Desk::heed(const StreamBegun& begun) {
    const auto found = tasks_.find(begun.task);
    if (found != tasks_.end()) found->second.streaming = true;
    if (const auto r = runners_.find(begun.runner); r != runners_.end()) r->second.last_word = now_;
}

void Choice::Desk::heed(const AssignmentEnded& e) {
    const auto found = tasks_.find(e.task);
    const auto runner = runners_.find(e.runner);
    if (found == tasks_.end() || runner == runners_.end()) return;
    Task& t = found->second;
    if (e.assignment < 0 || static_cast<std::size_t>(e.assignment) >= t.legs.size()) return;
    Leg& leg = t.legs[static_cast<std::size_t>(e.assignment)];
    if (leg.ended) return;
    Runner& r = runner->second;
    Workload& w = workloads_[static_cast<std::size_t>(t.asked.workload)];
    leg.ended = true;
    leg.never_ran = proves_never_ran(e.outcome);
    const bool bad = e.outcome == Outcome::error || e.outcome == Outcome::timed_out || e.outcome == Outcome::reset;
    if (e.outcome != Outcome::timed_out && e.outcome != Outcome::withdrawn) r.last_word = now_, r.silent = false;
    if (e.outcome != Outcome::moot && e.outcome != Outcome::connect_failed) read_report(r, e.report, r.out);
    --r.out;
    if (e.outcome == Outcome::finished) {
        r.latency.add(static_cast<double>(e.elapsed) / t.cost);
        w.latency.add(static_cast<double>(e.elapsed) / static_cast<double>(w.due));
        r.blame *= 0.75;
        r.trial = false;
    } else if (bad || e.outcome == Outcome::full) {
        r.latency.add(static_cast<double>(w.expiry) / t.cost);
    }
    if (bad) r.blame = r.blame * 0.75 + 0.25;
    if (e.outcome == Outcome::full) r.full_until = now_ + static_cast<Micros>(job_seconds_ * 5e5);
    if (e.outcome == Outcome::reset || e.outcome == Outcome::connect_failed) {
        // The process died; whenever it is back, it is cold, and the roster will say so only later.
        r.cold_from = now_;
        set_aside(r, e.outcome == Outcome::reset ? "its connection broke" : "it could not be reached");
    } else if (r.blame > 0.4) {
        set_aside(r, "it keeps failing");
    }
    if (e.settled) {
        if (!t.over) over(t);
    } else if (!t.over && !t.held) {
        const bool waiting = std::any_of(t.legs.begin(), t.legs.end(), [](const Leg& l) { return !l.ended; });
        if (may_follow(t) && now_ < t.latest_start) {
            t.held = true;
            held_.push_back(e.task);
        } else if (!waiting) {
            give_up(t);
        }
    }
    touched_.push_back(e.task);
}

void Choice::Desk::heed(const ClientLeft& left) {
    const auto found = tasks_.find(left.task);
    if (found != tasks_.end() && !found->second.over) over(found->second);
}

void Choice::Desk::heed(const ProbeEnded& e) {
    const auto found = runners_.find(e.runner);
    if (found == runners_.end()) return;
    Runner& r = found->second;
    r.probing = false;
    if (e.outcome == Outcome::finished) {
        read_report(r, e.report, r.out);
    } else if (e.outcome == Outcome::connect_failed || e.outcome == Outcome::reset) {
        r.cold_from = now_;
        set_aside(r, "a probe could not reach it");
    } else {
        r.full_until = now_ + static_cast<Micros>(job_seconds_ * 5e5);
    }
}

void Choice::Desk::heed(const PeerSaid& said) {
    // One byte that tells whether all is said, then a runner's id in four bytes and what the peer has out there.
    if (said.words.empty() || (said.words.size() - 1) % 5 != 0) return;
    peers_heard_[said.from] = now_;
    if (said.words[0] == 'A')
        for (auto& [id, r] : runners_) r.peers_out.erase(said.from);
    for (std::size_t i = 1; i < said.words.size(); i += 5) {
        std::uint32_t id = 0;
        for (std::size_t k = 0; k < 4; ++k) id = id << 8 | static_cast<unsigned char>(said.words[i + k]);
        const auto found = runners_.find(static_cast<RunnerId>(id));
        if (found != runners_.end()) found->second.peers_out[said.from] = static_cast<unsigned char>(said.words[i + 4]);
    }
}

void Choice::Desk::heed(const Progress& p) {
    const auto found = runners_.find(p.runner);
    if (found == runners_.end()) return;
    found->second.last_word = now_;
    found->second.silent = false;
}

// ---- settling --------------------------------------------------------------------------------------------------

void Choice::Desk::settle(Micros now, std::vector<Action>& out) {
    now_ = now;
    if (next_period_ == 0) next_period_ = now + kPeriod;
    bool all = false;
    if (now >= next_period_) {
        next_period_ = now + kPeriod;
        all = true;
        rate_ += (arrivals_ - rate_) / 4;
        arrivals_ = 0;
        double seconds = 0, weight = 0;
        for (const Workload& w : workloads_)
            seconds += w.latency.weight() * w.typical() / 1e6, weight += w.latency.weight();
        if (weight > 0) job_seconds_ = std::clamp(seconds / weight, 0.001, 60.0);
        double own = 0, others = 0;
        for (auto& [id, r] : runners_) {
            own += r.out;
            others += tells_ ? 0 : r.others;
            for (const auto& [peer, n] : r.peers_out) others += n;
        }
        if (own + others > 0) view_ += (own / (own + others) - view_) / 16;
        step();
        if (++periods_ % kHalvings == 0) {
            for (auto& [id, r] : runners_) r.latency.halve();
            for (Workload& w : workloads_) w.latency.halve();
        }
        for (auto& [peer, at] : peers_heard_)
            if (now - at > 3 * kPeriod)
                for (auto& [id, r] : runners_) r.peers_out.erase(peer);
        // Where only probes carry reports, each runner is asked now and then; there is no other news of it.
        if (probes_ && !knows_held_ && !report_names_.empty())
            for (auto& [id, r] : runners_)
                r.want_probe = r.ready && !r.probing && uniform() < (r.slots > 0 ? 0.4 : 1.0);
    }
    look_for_silence();
    place_held();
    emit(out);
    if (tells_) tell_peers(out, all);
}

void Choice::Desk::tell_peers(std::vector<Action>& out, bool all) {
    if (dispatchers_ < 2) return;
    std::string words(1, all ? 'A' : 'D');
    for (auto& [id, r] : runners_) {
        if (words.size() + 5 > 256) break;
        if (all ? r.out == 0 : r.out == r.told_out) continue;
        for (int shift = 24; shift >= 0; shift -= 8)
            words.push_back(static_cast<char>(static_cast<std::uint32_t>(id) >> shift));
        words.push_back(static_cast<char>(std::min(r.out, 255)));
        r.told_out = r.out;
    }
    if (words.size() > 1) out.push_back(TellPeers{words});
}

// The only place that acts: what is wanted against what is, and the difference goes out.
void Choice::Desk::emit(std::vector<Action>& out) {
    if (asks_ && !following_ && !asking_ && now_ >= ask_at_) {
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
                out.push_back(Assign{t.asked.task, leg.runner, leg.stop_at});
            } else if (!leg.wanted && !leg.ended && !leg.withdrawing && cancelling_ && !t.streaming) {
                leg.withdrawing = true;
                out.push_back(Withdraw{t.asked.task, static_cast<int>(n)});
            }
        }
        if (t.verdict == Verdict::bounce) out.push_back(Bounce{t.asked.task, t.stay_away});
        if (t.verdict == Verdict::abandon) out.push_back(Abandon{t.asked.task});
        t.verdict = Verdict::none;
        if (t.over && std::all_of(t.legs.begin(), t.legs.end(), [](const Leg& leg) { return leg.ended; }))
            tasks_.erase(found);
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
    Micros wake = next_period_;
    if (!held_.empty()) wake = std::min(wake, now_ + 4 * resolution_);
    if (asks_ && !following_ && !asking_) wake = std::min(wake, std::max(ask_at_, now_ + resolution_));
    if (wake_set_ == 0 || wake < wake_set_) {
        wake_set_ = wake;
        out.push_back(WakeAt{wake, TimerMark{}});
    }
    for (std::string& line : lines_) out.push_back(LogLine{std::move(line)});
    lines_.clear();
}

Choice::Choice(const StatedOrders& orders, std::uint64_t seed) : desk_(std::make_unique<Desk>(orders, seed)) {}
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
