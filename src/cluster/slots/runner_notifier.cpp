#include "cluster/slots/runner_notifier.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace gannethold::cluster {
namespace {

// The session with the largest rank becomes the prober.
struct ProberRank {
    int nearness = 0;
    std::uint64_t tie_break = 0;
    // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
    friend auto operator<=>(const ProberRank&,
                            const ProberRank&) = default;  // NOLINT(modernize-use-nullptr)
};

ProberRank prober_rank(const RunnerSlots& runner, Session session, const ProxySession& proxy) {
    // A hash of session and runner distributes runners over sessions of equal nearness.
    const std::uint32_t runner_hash = runner.number * 40503U;  // wraps at 32 bits
    return {2 * static_cast<int>(proxy.zone == runner.info.zone) +
                static_cast<int>(runner.function->subscribers.contains(session)),
            (session * 2654435761U ^ runner_hash) % 997};
}

}  // namespace

void RunnerNotifier::send(RunnerSlots& runner, Session session, bool probe, ProxyOutbox& out) {
    // A proxy that has not received the runner's number yet identifies the runner by its id.
    const bool first = runner.notified.insert(session).second;
    if (first) proxies_.record_runner(session, runner.number, runners_);
    const bool gone = runner.draining || runner.state == RunnerState::gone;
    RunnerUpdate update{runner.number, gone ? RunnerState::gone : runner.state,
                        gone && !first ? RunnerInfo{} : runner.info, probe};
    update.runner.outstanding = 0;
    out.send(session, std::move(update));
}

void RunnerNotifier::notify_all(RunnerSlots& runner, ProxyOutbox& out) {
    const std::set<Session>& subscribers = runner.function->subscribers;
    std::vector<Session> sessions;
    sessions.reserve(subscribers.size() + runner.notified.size());
    std::set_union(subscribers.begin(), subscribers.end(), runner.notified.begin(), runner.notified.end(),
                   std::back_inserter(sessions));
    for (const Session session : sessions)
        if (proxies_.contains(session)) notify(runner, session, out);
}

void RunnerNotifier::assign_prober(RunnerSlots& runner, ProxyOutbox& out) {
    if (runner.state != RunnerState::starting || proxies_.contains(runner.prober) || proxies_.empty()) return;
    const auto best = std::max_element(proxies_.all().begin(), proxies_.all().end(),
                                       [&](const auto& left, const auto& right) {
                                           return prober_rank(runner, left.first, left.second) <
                                                  prober_rank(runner, right.first, right.second);
                                       });
    runner.prober = best->first;
    send(runner, best->first, true, out);
}

}  // namespace gannethold::cluster
