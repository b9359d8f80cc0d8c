#include "retry/execution_log.hpp"

namespace gannethold::storms {

std::optional<RunBook::Known> RunBook::find(Micros now, const std::string& sign) {
    pass(now);
    const auto found = runs_.find(sign);
    if (found == runs_.end()) return std::nullopt;
    const Run& run = found->second;
    return Known{run.state, run.task, run.state == RunState::finished && run.kept ? &run.result : nullptr};
}

void RunBook::began(Micros now, const std::string& sign, TaskId task) {
    pass(now);
    if (const auto before = runs_.find(sign); before != runs_.end()) forget(before);
    const auto run = runs_.emplace(sign, Run{RunState::out, task, 0, ++numbers_, {}, false}).first;
    bytes_ += weight(*run);
}

void RunBook::end(Micros now, Runs::iterator run, RunState state) {
    run->second.state = state;
    run->second.ended_at = now;
    run->second.task = {};
    ++ended_runs_;
    ended_.emplace_back(run->first, run->second.number);
    pass(now);
}

void RunBook::finished(Micros now, const std::string& sign, TaskId task, std::string_view result) {
    const auto run = out(sign, task);
    if (run == runs_.end()) return;
    run->second.kept = result.size() <= how_.longest_result;
    if (run->second.kept) {
        run->second.result = result;
        bytes_ += result.size();
    }
    end(now, run, RunState::finished);
}

void RunBook::may_have_run(Micros now, const std::string& sign, TaskId task) {
    const auto run = out(sign, task);
    if (run != runs_.end()) end(now, run, RunState::may_have_run);
}

void RunBook::never_ran(const std::string& sign, TaskId task) {
    const auto run = out(sign, task);
    if (run != runs_.end()) forget(run);
}

RunBook::Runs::iterator RunBook::out(const std::string& sign, TaskId task) {
    const auto run = runs_.find(sign);
    return run != runs_.end() && run->second.state == RunState::out && run->second.task == task ? run
                                                                                                : runs_.end();
}

void RunBook::forget(Runs::iterator run) {
    bytes_ -= weight(*run);
    ended_runs_ -= run->second.state != RunState::out;
    runs_.erase(run);
}

void RunBook::pass(Micros now) {
    while (!ended_.empty()) {
        const auto& [sign, number] = ended_.front();
        const auto run = runs_.find(sign);
        const bool gone = run == runs_.end() || run->second.number != number;
        if (!gone) {
            const bool old = now - run->second.ended_at >= how_.keep;
            const bool too_much = ended_runs_ > how_.most || bytes_ > how_.most_bytes;
            if (!old && !too_much) return;
            fallen_out_ += !old;
            forget(run);
        }
        ended_.pop_front();
    }
}

}  // namespace gannethold::storms
