// Plays seeded streams of events into the decision module: those that the simulation host's protocol cannot
// carry (dynamic workers, their capacity, new settings, the drain deadline, restored state, a copy of the
// module), mixed with all others. The digest covers every action and, at the end, the learned state and the
// operators' view, as numbers.
//
//   recorded_events DIGESTS|--print
#include <stdexcept>
#include <utility>

#include "balancer.hpp"
#include "recording.hpp"

namespace {

using namespace gannethold;
using recorded::Digest;
using recorded::Random;

template <class Id>
std::uint64_t raw(Id id) {
    return static_cast<std::uint64_t>(id);
}

// The code of each action in the digest. It does not depend on the order of the variant's alternatives. Of a
// text only its presence is digested, since its wording is not behaviour.
struct Codes {
    Digest& digest;
    std::map<int, std::uint64_t>& counts;
    void put(int code, std::initializer_list<std::uint64_t> values = {}) const {
        ++counts[code];
        digest.integer(static_cast<std::uint64_t>(code));
        for (const std::uint64_t value : values) digest.integer(value);
    }
    void operator()(const Assign& a) const { put(1, {raw(a.task), raw(a.runner), raw(a.deadline)}); }
    void operator()(const Bounce& a) const { put(2, {raw(a.task), raw(a.retry_after)}); }
    void operator()(const Abandon& a) const { put(3, {raw(a.task)}); }
    void operator()(const Withdraw& a) const { put(4, {raw(a.task), raw(a.assignment)}); }
    void operator()(const WakeAt& a) const { put(5, {raw(a.at), raw(a.timer)}); }
    void operator()(const Probe& a) const { put(6, {raw(a.runner)}); }
    void operator()(const CloseIdle& a) const { put(7, {raw(a.runner)}); }
    void operator()(const BroadcastToPeers&) const { put(8); }
    void operator()(const SendToPeer& a) const { put(9, {raw(a.to)}); }
    void operator()(const LogLine&) const { put(10); }
    void operator()(const WatchMembership& a) const { put(11, {a.on}); }
    void operator()(const FetchMembership&) const { put(12); }
};

void digest_histogram(Digest& digest, const Histogram& histogram) {
    for (const auto bin : histogram.bins()) digest.real(bin);
}

void digest_learned_state(Digest& digest, const LearnedState& learned) {
    for (const RunnerEstimates& r : learned.runners) {
        digest.integer(raw(r.runner)), digest_histogram(digest, r.latency);
        digest.real(r.min_latency), digest.real(r.slots), digest.real(r.fraction);
        digest.integer(raw(r.ejected_for)), digest.integer(raw(r.warming_for));
    }
    digest.integer(learned.table_size);
    for (const InstanceTypeEstimates& k : learned.instance_types)
        digest.integer(raw(k.instance_type)), digest_histogram(digest, k.latency), digest.real(k.weight);
    for (const Histogram& w : learned.workloads) digest_histogram(digest, w);
    digest.real(learned.typical_cost);
}

void digest_view(Digest& digest, const Balancer& balancer) {
    for (const auto& [id, fraction] : balancer.fractions()) digest.integer(raw(id)), digest.real(fraction);
    for (const RunnerView& v : balancer.runners()) {
        digest.integer(raw(v.runner)), digest.integer(v.ready * 4U + v.trial * 2U + v.suspected);
        digest.real(v.fraction), digest.real(v.slots), digest.real(v.free_slots),
            digest.real(v.slow_start_factor);
        digest.integer(raw(v.in_flight)), digest.integer(raw(v.reported_at)),
            digest.integer(raw(v.ejected_until));
    }
}

// The number of workloads never falls: an id that tasks may use is never removed
// (src/settings/workload_registry.hpp).
SettingsMap settings_of(int workloads, bool is_changed) {
    SettingsMap all{{"workloads.count", std::to_string(workloads)},
                    {"caps.max_assignments", "4"},
                    {"caps.cancelling", "true"},
                    {"caps.probes", "true"},
                    {"caps.parallel_tries", "true"},
                    {"caps.retry_after", "true"},
                    {"caps.max_retry_after_us", "300000"},
                    {"caps.keepalive_us", "2000000"},
                    {"rules.fall_multiple", "8"},
                    {"rules.warm_after_us", "4000000"},
                    {"customers.count", "2"},
                    {"customers.0.allowance_per_s", "20"},
                    {"customers.1.allowance_per_s", "900"},
                    {"importance.surplus", "0.1"},
                    {"reports.names", "free_slots,waiting,held"}};
    const char* const effects[] = {"idempotent", "fingerprinted", "side-effecting", "idempotent"};
    for (int i = 0; i < 4; ++i) {
        const std::string at = "workloads." + std::to_string(i) + ".";
        all[at + "effect"] = effects[i], all[at + "importance"] = std::to_string(1 + 3 * i);
        all[at + "due_time_us"] = is_changed && i == 0 ? "200000" : "400000",
                 all[at + "expiry_us"] = "2000000";
    }
    all["workloads.1.group"] = "cell", all["workloads.1.window_us"] = "1000000";
    return all;
}

struct OpenAssignment {
    TaskId task{};
    RunnerId runner{};
    int assignment = 0;
    Micros since = 0;
    bool begun = false;
};

class Stream {
  public:
    explicit Stream(std::uint64_t seed) : random_(seed), balancer_(settings_of(3, false), seed) {}
    std::string play(const std::string& name, int events);

  private:
    void apply(const Event& event);
    void record(const std::vector<Action>& actions);
    void begin();
    void happen();
    void arrive();
    void end_one();
    void change_membership();
    void change_settings();
    void rare_event();
    void restore_copy();
    Report report() {
        return {static_cast<double>(random_.below(6)), static_cast<double>(random_.below(3)),
                static_cast<double>(random_.below(5))};
    }
    EndpointEntry entry(unsigned id, RunnerState state = RunnerState::ready);

    Random random_;
    Balancer balancer_;
    Digest digest_;
    std::map<int, std::uint64_t> counts_;
    Micros now_ = 50'000'000;
    std::vector<OpenAssignment> open_;
    std::vector<RunnerId> probed_;
    std::map<TaskId, int> assignments_;
    std::uint64_t next_task_ = 1;
    std::uint32_t version_ = 1;
    bool is_changed_ = false;
    int workloads_ = 3;
    static constexpr unsigned kRunners = 7, kWorkers = 3;
};

void Stream::apply(const Event& event) {
    Balancer copy(balancer_);  // has to give the same actions for the same events
    std::vector<Action> actions, of_copy;
    balancer_.apply(now_, event), balancer_.collect_actions(now_, actions);
    copy.apply(now_, event), copy.collect_actions(now_, of_copy);
    Digest one, other;
    std::map<int, std::uint64_t> ignored;
    for (const Action& a : actions) std::visit(Codes{one, ignored}, a);
    for (const Action& a : of_copy) std::visit(Codes{other, ignored}, a);
    if (one.text() != other.text()) throw std::runtime_error("a copy of the module decided otherwise");
    record(actions);
}

void Stream::record(const std::vector<Action>& actions) {
    digest_.integer(static_cast<std::uint64_t>(now_));
    for (const Action& action : actions) {
        std::visit(Codes{digest_, counts_}, action);
        if (const auto* a = std::get_if<Assign>(&action))
            open_.push_back({a->task, a->runner, assignments_[a->task]++, now_});
        if (const auto* p = std::get_if<Probe>(&action)) probed_.push_back(p->runner);
    }
}

EndpointEntry Stream::entry(unsigned id, RunnerState state) {
    EndpointEntry e;
    e.runner = RunnerId{id}, e.zone = ZoneId{id % 2}, e.instance_type = InstanceTypeId{id % 3},
    e.group = GroupId{id % 2};
    e.state = state, e.weight = id % 3 == 2 ? 0.5 : 1;
    return e;
}

void Stream::begin() {
    std::vector<EndpointEntry> all;
    for (unsigned id = 1; id <= kRunners; ++id) all.push_back(entry(id));
    apply(MembershipUpdate{UpdateScope::cached, version_++, all});
    apply(MembershipUpdate{UpdateScope::complete, version_++, all});
    std::vector<EndpointEntry> workers;
    for (unsigned id = kRunners + 1; id <= kRunners + kWorkers; ++id) {
        workers.push_back(entry(id));
        workers.back().pulls = true;
        workers.back().workloads = WorkloadSet().set(id % 3);
        workers.back().started_at = id % 2 ? now_ : 0;
    }
    apply(MembershipUpdate{UpdateScope::dynamic_workers, version_++, workers});
}

void Stream::arrive() {
    TaskArrived a;
    a.task = TaskId{next_task_++};
    a.workload = static_cast<WorkloadId>(random_.below(workloads_));
    a.customer = static_cast<CustomerId>(random_.below(2));
    a.key = static_cast<std::uint64_t>(random_.below(100)), a.expiry = now_ + 2'000'000;
    a.hint_valid = random_.one_in(3), a.cost_hint = a.hint_valid ? 60'000 : 0;
    a.client_retry = random_.one_in(9), a.write = random_.one_in(5), a.after_disconnect = random_.one_in(15);
    apply(a);
}

void Stream::end_one() {
    if (open_.empty()) return;
    const auto at = static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(open_.size())));
    const OpenAssignment one = open_[at];
    if (!one.begun && !random_.one_in(4)) {
        open_[at].begun = true;
        return apply(Progress{one.task, 0, one.runner, one.assignment, Stage::begun});
    }
    if (random_.one_in(8)) return apply(StreamBegun{one.task, one.assignment, one.runner, now_ - one.since});
    if (random_.one_in(8)) return apply(Progress{one.task, 0.5, one.runner, one.assignment, Stage::progress});
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    constexpr Outcome kFailures[] = {Outcome::error,          Outcome::full,  Outcome::timed_out,
                                     Outcome::connect_failed, Outcome::reset, Outcome::withdrawn,
                                     Outcome::not_started};
    const Outcome how = random_.one_in(5) ? kFailures[random_.below(7)] : Outcome::finished;
    apply(AssignmentEnded{one.task, how == Outcome::finished, 0, now_ - one.since, one.runner, one.assignment,
                          how, report()});
}

void Stream::change_membership() {
    constexpr RunnerState kStates[] = {RunnerState::draining, RunnerState::gone, RunnerState::ready,
                                       RunnerState::ready};
    // Drawn one after the other: the order in which arguments are evaluated is the compiler's choice.
    const RunnerState state = kStates[random_.below(4)];
    const auto runner = 1 + static_cast<unsigned>(random_.below(kRunners));
    EndpointEntry e = entry(runner, state);
    e.started_at = random_.one_in(2) ? now_ - 100'000 : 0;
    apply(MembershipUpdate{UpdateScope::delta, version_++, {e}});
}

void Stream::restore_copy() {
    const LearnedState learned = balancer_.learned_state(0, kRunners);
    digest_learned_state(digest_, learned);
    Balancer next(settings_of(workloads_, is_changed_), 5);
    std::vector<Action> actions;
    std::vector<EndpointEntry> all;
    for (unsigned id = 1; id <= kRunners; ++id) all.push_back(entry(id));
    next.apply(now_, MembershipUpdate{UpdateScope::cached, 1, all});
    next.restore(learned);
    next.collect_actions(now_, actions);
    for (const Action& a : actions) std::visit(Codes{digest_, counts_}, a);
    digest_view(digest_, next);
    digest_learned_state(digest_, next.learned_state());
}

void Stream::change_settings() {
    is_changed_ = !is_changed_;
    const auto last =
        static_cast<WorkloadId>(std::exchange(workloads_, 4) == 4 ? 3 : 256);  // 256: no workload
    apply(SettingsChanged{settings_of(workloads_, is_changed_),
                          {WorkloadId{0}, WorkloadId{1}, WorkloadId{2}, last}});
}

void Stream::rare_event() {
    switch (random_.below(6)) {
        case 0:
            return change_membership();
        case 1:
            return apply(MembershipUpdate{UpdateScope::failed, version_++, {}});
        case 2:
            return apply(ClientDisconnected{TaskId{next_task_ - 1}});
        case 3:
            return apply(PeerMessage{PeerId{1}, "a word"});
        case 4:
            return change_settings();
        default:
            return restore_copy();
    }
}

void Stream::happen() {
    now_ += 1 + random_.below(9'000);
    const auto chance = random_.below(100);
    if (chance < 30) return arrive();
    if (chance < 72) return end_one();
    if (chance < 84) return apply(TimerFired{});
    if (chance < 90) {
        const auto worker = static_cast<unsigned>(kRunners + 1 + random_.below(kWorkers));
        return apply(CapacityReported{RunnerId{worker}, static_cast<double>(random_.below(4))});
    }
    if (chance < 97) {
        if (probed_.empty()) return;
        const RunnerId probed = probed_.back();
        probed_.pop_back();
        constexpr Outcome kEnds[] = {Outcome::finished, Outcome::finished, Outcome::finished,
                                     Outcome::connect_failed, Outcome::timed_out};
        return apply(ProbeEnded{probed, kEnds[random_.below(5)], 1'000, report()});
    }
    rare_event();
}

std::string Stream::play(const std::string& name, int events) {
    begin();
    for (int i = 0; i < events; ++i) happen();
    digest_view(digest_, balancer_);
    digest_learned_state(digest_, balancer_.learned_state());
    apply(DrainDeadline{});
    digest_view(digest_, balancer_);
    return name + " " + digest_.text() + recorded::counts_text(counts_);
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 2) {
        std::cerr << "usage: recorded_events DIGESTS|--print\n";
        return 2;
    }
    try {
        std::vector<std::string> lines;
        for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6})
            lines.push_back(Stream(seed).play("seed-" + std::to_string(seed), 4'000));
        return recorded::finish(lines, arguments[1]);
    } catch (const std::exception& e) {
        std::cerr << "recorded_events: " << e.what() << '\n';
        return 1;
    }
}
