#include "results/tally.hpp"

#include <algorithm>
#include <sstream>

namespace gannethold::rehearsal {

Tally::Tally(const Day& day) : day_(day) {
    result_.day = day.name;
    for (const RunnerPlan& r : day.runners) result_.runners.push_back(r.name);
    const auto seconds = static_cast<std::size_t>((day.length + 999'999) / 1'000'000);
    result_.seconds.resize(std::max<std::size_t>(1, seconds));
    each_.resize(result_.seconds.size());
}

Second& Tally::second_of(Micros at) {
    const auto i =
        std::min(static_cast<std::size_t>(std::max<Micros>(0, at) / 1'000'000), result_.seconds.size() - 1);
    return result_.seconds[i];
}

void Tally::ended(Micros meant_at, std::size_t workload, Fate fate, Micros took) {
    if (fate == Fate::left) {
        ++result_.left;
        return;
    }
    Second& s = second_of(meant_at);
    const WorkloadPlan& w = day_.workloads[workload];
    WorkloadCount& of = result_.workloads[w.name];
    ++s.offered, ++result_.offered, ++of.offered;
    const bool judged = meant_at >= day_.warm;
    judged_ += judged;
    offered_worth_ += w.importance;
    switch (fate) {
        case Fate::in_time:
            ++s.in_time, ++result_.in_time, ++of.in_time;
            earned_worth_ += w.importance;
            judged_in_time_ += judged;
            break;
        case Fate::late:
            ++s.late, ++result_.late;
            earned_worth_ += w.importance * w.tardy;
            break;
        case Fate::bounced:
            ++s.bounced, ++result_.bounced;
            break;
        case Fate::abandoned:
            ++s.abandoned, ++result_.abandoned;
            break;
        case Fate::lost:
        case Fate::left:
            ++s.lost, ++result_.lost;
            break;
    }
    if (fate != Fate::in_time && fate != Fate::late) return;
    judged_answered_ += judged;
    all_.add(took);
    each_[static_cast<std::size_t>(&s - result_.seconds.data())].add(took);
}

void Tally::sample(Micros now, std::vector<double> in_flight, std::vector<double> fractions) {
    Second& s = second_of(now - 1);
    s.in_flight = std::move(in_flight);
    s.fractions = std::move(fractions);
}

Aftermath Tally::aftermath() const {
    Aftermath a;
    Micros last = 0;
    for (const FaultPlan& f : day_.faults) {
        if (f.kind != FaultKind::restart && f.kind != FaultKind::kill) continue;
        if (a.at < 0 || f.at < a.at) a.at = f.at;
        const auto struck = f.on == "all" ? day_.dispatchers.count : 1;
        last = std::max(last, f.at + f.apart * static_cast<Micros>(struck - 1));
    }
    if (a.at < 0) return a;
    const auto place = [](Micros at) { return static_cast<std::size_t>(at / 1'000'000); };
    const auto share = [&](std::size_t from, std::size_t to) {
        std::uint64_t offered = 0, in_time = 0;
        for (std::size_t i = from; i < std::min(to, result_.seconds.size()); ++i)
            offered += result_.seconds[i].offered, in_time += result_.seconds[i].in_time;
        return offered > 0 ? static_cast<double>(in_time) / static_cast<double>(offered) : 1;
    };
    const std::size_t end = std::min(result_.seconds.size(), place(a.at) + 30);
    a.in_time = share(place(a.at), end);
    Latencies all;
    for (std::size_t i = place(a.at); i < end; ++i) all.add(each_[i]);
    a.p99 = all.at(0.99);
    const double before = share(place(day_.warm), place(a.at));
    std::size_t steady = place(last);
    while (steady + 3 <= result_.seconds.size() && share(steady, steady + 3) < before - 0.02) ++steady;
    a.steady_s = static_cast<double>(std::min(steady, result_.seconds.size()) - place(last));
    return a;
}

Result Tally::finish(const Judge& judge) {
    const Aftermath after = aftermath();
    Result r = std::move(result_);
    r.aftermath = after;
    r.p50 = all_.at(0.5), r.p99 = all_.at(0.99), r.p999 = all_.at(0.999), r.most = all_.most();
    for (std::size_t i = 0; i < r.seconds.size(); ++i)
        r.seconds[i].p50 = each_[i].at(0.5), r.seconds[i].p99 = each_[i].at(0.99);
    r.worth = offered_worth_ > 0 ? earned_worth_ / offered_worth_ : 0;
    r.tasks = judge.tasks_seen(), r.assignments = judge.assignments_seen(), r.effects = judge.effects_seen();
    for (int rule = 1; rule <= 4; ++rule) r.broken[static_cast<std::size_t>(rule)] = judge.count(rule);
    r.breaches = judge.breaches();
    const auto goal = [&](const char* what, double is, double wanted) {
        std::ostringstream text;
        text << what << ' ' << is << ", wanted " << wanted;
        r.missed.push_back(text.str());
    };
    const auto share = [&](std::uint64_t n) {
        return judged_ > 0 ? static_cast<double>(n) / static_cast<double>(judged_) : 0;
    };
    if (judged_ == 0) r.missed.push_back("no task was asked for after the warm-up");
    const GoalPlan& g = day_.goals;
    if (g.in_time && share(judged_in_time_) < *g.in_time) goal("in time", share(judged_in_time_), *g.in_time);
    if (g.answered && share(judged_answered_) < *g.answered)
        goal("answered", share(judged_answered_), *g.answered);
    if (g.p99 && r.p99 > *g.p99)
        goal("p99 in ms", static_cast<double>(r.p99) / 1e3, static_cast<double>(*g.p99) / 1e3);
    if (g.worst_second) {
        double worst = 1;
        for (std::size_t i = static_cast<std::size_t>(day_.warm / 1'000'000); i < r.seconds.size(); ++i)
            if (const Second& s = r.seconds[i]; s.offered >= 20)
                worst = std::min(worst, static_cast<double>(s.in_time) / static_cast<double>(s.offered));
        if (worst < *g.worst_second) goal("worst second", worst, *g.worst_second);
    }
    return r;
}

}  // namespace gannethold::rehearsal
