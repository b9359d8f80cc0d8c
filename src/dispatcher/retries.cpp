// Retries of tasks with side effects: a retry that is recognised joins the task that it repeats while that
// task is in flight, and otherwise is answered with its recorded result.
#include <algorithm>

#include "dispatcher/dispatcher.hpp"
#include "balancer_settings.hpp"

namespace gannethold::dispatcher {
namespace {

constexpr Micros kAnswerMargin = 5'000;  // a pending answer must reach the client before its expiry

}  // namespace

// Empty if a retry cannot be told from another task, or if running the task twice does no harm.
std::string Dispatcher::retry_key_of(const frontend::SubmittedTask& request) const {
    const std::string at =
        "workloads." + std::to_string(static_cast<std::uint32_t>(request.workload)) + ".effect";
    if (const auto effect = workload_registry_.settings().find(at);
        effect != workload_registry_.settings().end() && effect->second == "idempotent")
        return "";
    const std::string key_prefix = std::to_string(static_cast<std::uint32_t>(request.workload)) + "/" +
                                   std::to_string(static_cast<std::uint32_t>(request.customer)) + "/";
    if (!request.fingerprint.empty()) return key_prefix + "k" + request.fingerprint;
    return deduplication_.matches_by_path && request.key != 0 ? key_prefix + "p" + std::to_string(request.key)
                                                              : "";
}

bool Dispatcher::join_original(TaskId id, frontend::TaskSource& requester,
                               const frontend::SubmittedTask& request, Micros expiry) {
    // Without an idempotency key, only a request that is marked as a retry is one: a client may well mean to
    // send the same path twice.
    if (request.fingerprint.empty() && !request.is_retry) return false;
    const std::string retry_key = retry_key_of(request);
    if (retry_key.empty()) return false;
    const auto recorded = execution_log_.find(net::Loop::now(), retry_key);
    if (!recorded) return false;
    JoinedRetry retry{&requester, recorded->task, expiry, request.id, request.workload};
    request_ids_.insert(request.id);
    if (recorded->state == retry::ExecutionState::in_flight) {
        ++joined_count_;
        retries_by_original_[recorded->task].push_back(id);
        joined_deadlines_.emplace(expiry - kAnswerMargin, id);
        joined_timer_.set(joined_deadlines_.begin()->first);
    } else {
        ++answered_from_log_;
        const bool has_result = recorded->state == retry::ExecutionState::finished && recorded->result;
        pending_answers_.emplace_back(id,
                                      has_result ? frontend::Answer::finished : frontend::Answer::abandoned,
                                      has_result ? *recorded->result : "");
        retry.original = TaskId{};
        has_new_events_ = true;
    }
    joined_retries_.emplace(id, std::move(retry));
    return true;
}

// Returns false if the task is not a joined retry.
bool Dispatcher::remove_joined_retry(TaskId id) {
    const auto retry = joined_retries_.find(id);
    if (retry == joined_retries_.end()) return false;
    request_ids_.erase(retry->second.request_id);
    joined_deadlines_.erase({retry->second.expiry - kAnswerMargin, id});
    if (const auto others = retries_by_original_.find(retry->second.original);
        others != retries_by_original_.end()) {
        std::erase(others->second, id);
        if (others->second.empty()) retries_by_original_.erase(others);
    }
    joined_retries_.erase(retry);
    return true;
}

// When the first client disconnects while a retry waits, the retry takes over the task and its assignments.
bool Dispatcher::hand_task_to_retry(Tasks::iterator task) {
    const auto others = retries_by_original_.find(task->first);
    if (others == retries_by_original_.end()) return false;
    const TaskId next = others->second.front();
    const JoinedRetry retry = joined_retries_.at(next);
    remove_joined_retry(next);
    request_ids_.erase(task->second.request_id);
    request_ids_.insert(retry.request_id);
    task->second.request_id = retry.request_id;
    task->second.requester = retry.requester;
    replaced_task_[next] = task->first;
    return true;
}

void Dispatcher::record_execution_end(TaskId id, const Task& task, frontend::Answer answer,
                                      std::string_view result) {
    if (task.retry_key.empty()) return;
    const Micros now = net::Loop::now();
    switch (answer) {
        case frontend::Answer::finished:
            return execution_log_.on_finished(now, task.retry_key, id, result);
        case frontend::Answer::abandoned:
            return execution_log_.on_may_have_run(now, task.retry_key, id);
        case frontend::Answer::bounced:
            return execution_log_.on_never_ran(task.retry_key, id);
    }
}

void Dispatcher::answer_joined_retries(TaskId original, frontend::Answer answer, std::string_view result,
                                       Micros retry_after) {
    std::erase_if(replaced_task_, [original](const auto& s) { return s.second == original; });
    const auto others = retries_by_original_.find(original);
    if (others == retries_by_original_.end()) return;
    for (const TaskId id : std::vector<TaskId>(others->second)) {
        frontend::TaskSource* const requester = joined_retries_.at(id).requester;
        const WorkloadId workload = joined_retries_.at(id).workload;
        remove_joined_retry(id);
        counters_.on_answered(workload_name(workload), answer);
        requester->on_answer(id, answer, result, retry_after);
    }
}

// Answers retries of tasks that had already ended, and retries that expire while the original is in flight.
void Dispatcher::answer_pending_retries() {
    const Micros now = net::Loop::now();
    while (!joined_deadlines_.empty() && joined_deadlines_.begin()->first <= now)
        pending_answers_.emplace_back(joined_deadlines_.begin()->second, frontend::Answer::abandoned, ""),
            joined_deadlines_.erase(joined_deadlines_.begin());
    for (auto& [id, answer, result] : std::exchange(pending_answers_, {})) {
        const auto retry = joined_retries_.find(id);
        if (retry == joined_retries_.end()) continue;
        frontend::TaskSource* const requester = retry->second.requester;
        const WorkloadId workload = retry->second.workload;
        remove_joined_retry(id);
        counters_.on_answered(workload_name(workload), answer);
        requester->on_answer(id, answer, result, 0);
    }
    if (!joined_deadlines_.empty()) joined_timer_.set(joined_deadlines_.begin()->first);
}

json::Object Dispatcher::retry_status() const {
    const auto integer = [](auto n) { return json::Value(json::Number{std::to_string(n)}); };
    return {{"known", integer(execution_log_.size())},
            {"bytes", integer(execution_log_.bytes())},
            {"joined", integer(joined_count_)},
            {"told_the_end", integer(answered_from_log_)},
            {"fell_out_early", integer(execution_log_.evicted_early())}};
}

}  // namespace gannethold::dispatcher
