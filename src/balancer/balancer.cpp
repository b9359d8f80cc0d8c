// One turn of the module: events update the state, then the resulting actions are appended. Each file here is
// one concern and uses only those before it: gradient_step, capacity, slow_start, outlier_ejection,
// runner_selection, task_queue, membership, event_handlers
#include "balancer.hpp"

#include "balancer/state_export.hpp"

namespace gannethold {

class Balancer::Impl : public balancer::StateExport {
  public:
    using StateExport::StateExport;
    void apply(Micros now, const Event& event) {
        now_ = now;
        std::visit([this](const auto& e) { on_event(e); }, event);
    }
    void collect_actions(Micros now, std::vector<Action>& out);
    std::map<RunnerId, double> fractions() const { return runners_.fractions(); }

  private:
    void append_actions(std::vector<Action>& out);
};

void Balancer::Impl::collect_actions(Micros now, std::vector<Action>& out) {
    now_ = now;
    if (next_period_ > 0 && now >= next_period_) end_period();
    if (now >= next_period_) next_period_ = now + balancer::kPeriod;
    reject_unstarted();
    dispatch_queue();
    append_actions(out);
}

// Appends the difference between the desired and the actual state. Nothing else makes actions.
void Balancer::Impl::append_actions(std::vector<Action>& out) {
    if (settings_.polls_membership && !is_watching_ && !is_fetching_ && now_ >= fetch_at_) {
        is_fetching_ = true;
        out.push_back(WatchMembership{true});
    }
    for (const TaskId id : std::exchange(changed_, {})) {
        Task* const task = tasks_.find(id);
        if (!task) continue;
        for (std::size_t n = 0; n < task->assignments.size(); ++n) {
            Assignment& a = task->assignments[n];
            if (a.is_wanted && !a.is_sent) {
                a.is_sent = true;
                out.push_back(Assign{id, a.runner, task->arrival.expiry - 2 * settings_.tick});
            } else if (!a.is_wanted && !a.has_ended && !a.is_withdrawing && settings_.can_cancel) {
                a.is_withdrawing = true;
                out.push_back(Withdraw{id, static_cast<int>(n)});
            }
        }
        if (task->answer == FinalAnswer::bounce) out.push_back(Bounce{id, task->retry_after});
        if (task->answer == FinalAnswer::abandon) out.push_back(Abandon{id});
        task->answer = FinalAnswer::none;
        if (task->is_closed && task->all(&Assignment::has_ended)) tasks_.erase(id);
    }
    for (const RunnerId id : std::exchange(to_probe_, {})) {
        Runner* r = runners_.find(id);
        r->wants_probe = false;
        if (!r->is_ready) continue;
        r->is_probing = true;
        r->probed_at = now_;
        out.push_back(Probe{id});
    }
    for (const RunnerId id : std::exchange(to_close_, {}))
        if (const Runner* r = runners_.find(id); r && r->in_flight == 0) out.push_back(CloseIdle{id});
    Micros wake = next_period_;
    if (!unstarted_.empty()) wake = std::min(wake, unstarted_.begin()->first);
    if (!queue_.empty()) wake = std::min(wake, now_ + 4 * settings_.tick);
    const Micros next_fetch = std::max(fetch_at_, now_ + settings_.tick);
    if (settings_.polls_membership && !is_watching_ && !is_fetching_) wake = std::min(wake, next_fetch);
    if (next_wake_ == 0 || wake < next_wake_) {
        next_wake_ = wake;
        out.push_back(WakeAt{wake, TimerId{}});
    }
    for (std::string& line : log_.take_lines()) out.push_back(LogLine{std::move(line)});
}

Balancer::Balancer(const SettingsMap& s, std::uint64_t seed) : impl_(std::make_unique<Impl>(s, seed)) {}
Balancer::Balancer(const Balancer& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
Balancer::~Balancer() = default;
void Balancer::apply(Micros now, const Event& event) { impl_->apply(now, event); }
void Balancer::collect_actions(Micros now, std::vector<Action>& out) { impl_->collect_actions(now, out); }

std::map<RunnerId, double> Balancer::fractions() const { return impl_->fractions(); }
std::vector<RunnerView> Balancer::runners() const { return impl_->runners(); }
LearnedState Balancer::learned_state(std::size_t offset, std::size_t limit) const {
    return impl_->learned_state(offset, limit);
}
void Balancer::restore(const LearnedState& learned) { impl_->restore(learned); }

}  // namespace gannethold
