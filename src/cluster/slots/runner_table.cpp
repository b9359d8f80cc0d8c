#include "cluster/slots/runner_table.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kEndRetention = 60'000'000;

}  // namespace

RunnerSlots& RunnerTable::add(Micros now, const RunnerInfo& info, Function& function) {
    const std::uint32_t number = next_number_++;
    RunnerSlots& runner = runners_[number];
    runner.number = number;
    runner.info = info;
    runner.info.outstanding = 0;
    runner.started_at = now;
    runner.idle_since = now;
    runner.function = &function;
    if (function.service) runner.info.slots = function.service->max_concurrency;
    function.runners.push_back(&runner);
    by_id_[info.runner_id] = number;
    starting_.insert(number);
    return runner;
}

void RunnerTable::mark_ready(RunnerSlots& runner) {
    runner.state = RunnerState::ready;
    starting_.erase(runner.number);
}

void RunnerTable::remove(Micros now, RunnerSlots& runner) {
    const std::uint32_t number = runner.number;
    record_end(now, runner.info.runner_id);
    starting_.erase(number);
    std::erase(runner.function->runners, &runner);
    by_id_.erase(runner.info.runner_id);
    runners_.erase(number);
}

RunnerSlots* RunnerTable::find(std::uint32_t number) {
    const auto at = runners_.find(number);
    return at == runners_.end() ? nullptr : &at->second;
}

RunnerSlots* RunnerTable::find(const std::string& id) {
    const auto at = by_id_.find(id);
    return at == by_id_.end() ? nullptr : &runners_.at(at->second);
}

void RunnerTable::remove_old_ends(Micros now) {
    std::erase_if(ended_, [&](const auto& ended) { return ended.second + kEndRetention < now; });
}

void RunnerTable::update_slots() {
    for (auto& [number, runner] : runners_)
        if (runner.function->service) runner.info.slots = runner.function->service->max_concurrency;
}

}  // namespace gannethold::cluster
