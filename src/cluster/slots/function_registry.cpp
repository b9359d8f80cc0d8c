#include "cluster/slots/function_registry.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {

void FunctionRegistry::configure(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const Service& service : configuration_->services()) get_or_add(service.name);
    for (auto& [name, function] : functions_) {
        function->service = configuration_->find_service(name);
        activate(*function);
    }
    assign_groups();
}

// A group that still exists under the new configuration keeps its observed arrivals.
void FunctionRegistry::assign_groups() {
    for (auto& [key, group] : groups_) group.members = 0;
    for (auto& [name, function] : functions_) {
        function->group = nullptr;
        const Service* const service = function->service;
        if (!service) continue;
        FunctionGroup& group = groups_[{service->memory_mb, service->boot_duration, service->max_concurrency,
                                        service->min_latency_target}];
        ++group.members;
        function->group = &group;
    }
    std::erase_if(groups_, [](const auto& group) { return group.second.members == 0; });
}

std::vector<Function*> FunctionRegistry::next_round_robin(std::size_t count) {
    std::vector<Function*> chosen;
    for (std::size_t taken = 0; taken < std::min(count, round_robin_.size()); ++taken) {
        if (round_robin_next_ >= round_robin_.size()) round_robin_next_ = 0;
        chosen.push_back(round_robin_[round_robin_next_++]);
    }
    return chosen;
}

Function& FunctionRegistry::get_or_add(const std::string& name) {
    std::unique_ptr<Function>& function = functions_[name];
    if (!function) {
        function = std::make_unique<Function>(name, retry_budget_);
        if (configuration_) function->service = configuration_->find_service(name);
        round_robin_.push_back(function.get());
    }
    return *function;
}

Function* FunctionRegistry::find(const std::string& name) const {
    const auto at = functions_.find(name);
    return at == functions_.end() ? nullptr : at->second.get();
}

void FunctionRegistry::activate(Function& function) {
    function.active = true;
    active_.insert(&function);
}

void FunctionRegistry::deactivate_idle(Micros now) {
    std::erase_if(active_, [&](Function* function) {
        if (!function->is_idle(now)) return false;
        function->active = false;
        return true;
    });
}

}  // namespace gannethold::cluster
