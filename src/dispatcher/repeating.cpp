// Retries of tasks with effects: one that is recognised joins the task that it repeats, or hears what became
// of it.
#include <algorithm>

#include "dispatcher/dispatcher.hpp"
#include "balancer_settings.hpp"

namespace gannethold::dispatcher {
namespace {

constexpr Micros kAnswerTravels = 5'000;  // an answer that is owed must be there before its expiry

}  // namespace

// Empty: a retry of it could not be told from another task, or would do no harm.
std::string Dispatcher::sign_of(const frontend::SubmittedTask& handed) const {
    const std::string at =
        "workloads." + std::to_string(static_cast<std::uint32_t>(handed.workload)) + ".effect";
    if (const auto effect = workload_registry_.settings().find(at);
        effect != workload_registry_.settings().end() && effect->second == "idempotent")
        return "";
    const std::string whose = std::to_string(static_cast<std::uint32_t>(handed.workload)) + "/" +
                              std::to_string(static_cast<std::uint32_t>(handed.customer)) + "/";
    if (!handed.fingerprint.empty()) return whose + "k" + handed.fingerprint;
    return deduplication_.matches_by_path && handed.key != 0 ? whose + "p" + std::to_string(handed.key) : "";
}

bool Dispatcher::take_as_repeat(TaskId id, frontend::TaskSource& asker, const frontend::SubmittedTask& handed,
                                Micros expiry) {
    // By its path alone a first try is no repeat: two of them may be meant.
    if (handed.fingerprint.empty() && !handed.is_retry) return false;
    const std::string sign = sign_of(handed);
    if (sign.empty()) return false;
    const auto known = execution_log_.find(net::Loop::now(), sign);
    if (!known) return false;
    Joined one{&asker, known->task, expiry, handed.id, handed.workload};
    ids_.insert(handed.id);
    if (known->state == retry::ExecutionState::in_flight) {
        ++joins_;
        joined_to_[known->task].push_back(id);
        joined_until_.emplace(expiry - kAnswerTravels, id);
        joined_timer_.set(joined_until_.begin()->first);
    } else {
        ++told_ends_;
        const bool has_result = known->state == retry::ExecutionState::finished && known->result;
        owed_.emplace_back(id, has_result ? frontend::Answer::finished : frontend::Answer::abandoned,
                           has_result ? *known->result : "");
        one.first = TaskId{};
        noted_ = true;
    }
    joined_.emplace(id, std::move(one));
    return true;
}

// A retry whose client is gone. False: it is none that waits beside its first.
bool Dispatcher::left_joined(TaskId id) {
    const auto one = joined_.find(id);
    if (one == joined_.end()) return false;
    ids_.erase(one->second.request_id);
    joined_until_.erase({one->second.expiry - kAnswerTravels, id});
    if (const auto others = joined_to_.find(one->second.first); others != joined_to_.end()) {
        std::erase(others->second, id);
        if (others->second.empty()) joined_to_.erase(others);
    }
    joined_.erase(one);
    return true;
}

// Whoever asked first has gone, and a retry of it waits: it takes that place, and what is out goes on.
bool Dispatcher::pass_on(Tasks::iterator task) {
    const auto others = joined_to_.find(task->first);
    if (others == joined_to_.end()) return false;
    const TaskId next = others->second.front();
    const Joined one = joined_.at(next);
    left_joined(next);
    ids_.erase(task->second.request_id);
    ids_.insert(one.request_id);
    task->second.request_id = one.request_id;
    task->second.asker = one.asker;
    stands_for_[next] = task->first;
    return true;
}

void Dispatcher::note_end(TaskId id, const Task& task, frontend::Answer answer, std::string_view result) {
    if (task.sign.empty()) return;
    const Micros now = net::Loop::now();
    switch (answer) {
        case frontend::Answer::finished:
            return execution_log_.on_finished(now, task.sign, id, result);
        case frontend::Answer::abandoned:
            return execution_log_.on_may_have_run(now, task.sign, id);
        case frontend::Answer::bounced:
            return execution_log_.on_never_ran(task.sign, id);
    }
}

void Dispatcher::answer_joined(TaskId first, frontend::Answer answer, std::string_view result,
                               Micros retry_after) {
    std::erase_if(stands_for_, [first](const auto& s) { return s.second == first; });
    const auto others = joined_to_.find(first);
    if (others == joined_to_.end()) return;
    for (const TaskId id : std::vector<TaskId>(others->second)) {
        frontend::TaskSource* const asker = joined_.at(id).asker;
        const WorkloadId workload = joined_.at(id).workload;
        left_joined(id);
        counters_.on_answered(workload_name(workload), answer);
        asker->on_answer(id, answer, result, retry_after);
    }
}

// What ended before its retry came; and retries whose own time is over while the first is still out.
void Dispatcher::answer_owed() {
    const Micros now = net::Loop::now();
    while (!joined_until_.empty() && joined_until_.begin()->first <= now)
        owed_.emplace_back(joined_until_.begin()->second, frontend::Answer::abandoned, ""),
            joined_until_.erase(joined_until_.begin());
    for (auto& [id, answer, result] : std::exchange(owed_, {})) {
        const auto one = joined_.find(id);
        if (one == joined_.end()) continue;
        frontend::TaskSource* const asker = one->second.asker;
        const WorkloadId workload = one->second.workload;
        left_joined(id);
        counters_.on_answered(workload_name(workload), answer);
        asker->on_answer(id, answer, result, 0);
    }
    if (!joined_until_.empty()) joined_timer_.set(joined_until_.begin()->first);
}

json::Object Dispatcher::tell_repeats() const {
    const auto whole = [](auto n) { return json::Value(json::Number{std::to_string(n)}); };
    return {{"known", whole(execution_log_.size())},
            {"bytes", whole(execution_log_.bytes())},
            {"joined", whole(joins_)},
            {"told_the_end", whole(told_ends_)},
            {"fell_out_early", whole(execution_log_.evicted_early())}};
}

}  // namespace gannethold::dispatcher
