#include "cluster/slots/function_registry.hpp"

#include <utility>

namespace gannethold::cluster {

void FunctionRegistry::configure(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const Service& service : configuration_->services()) get_or_add(service.name);
    for (auto& [name, function] : functions_) {
        function->service = configuration_->find_service(name);
        activate(*function);
    }
}

Function& FunctionRegistry::get_or_add(const std::string& name) {
    std::unique_ptr<Function>& function = functions_[name];
    if (!function) {
        function = std::make_unique<Function>(name, retry_budget_);
        if (configuration_) function->service = configuration_->find_service(name);
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
