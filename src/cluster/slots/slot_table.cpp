#include "cluster/slots/slot_table.hpp"

#include <utility>

namespace gannethold::cluster {
namespace {

constexpr double kGuess = 100'000;  // of work never seen, microseconds

}  // namespace

Function& SlotTable::function(const std::string& name) {
    std::unique_ptr<Function>& f = functions_[name];
    if (!f) {
        f = std::make_unique<Function>();
        f->name = name;
        if (configuration_) f->service = configuration_->find_service(name);
    }
    return *f;
}

void SlotTable::touch(Function& f) {
    f.active = true;
    active_.insert(&f);
}

void SlotTable::configure(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const Service& s : configuration_->services()) function(s.name);
    for (auto& [name, f] : functions_) {
        f->service = configuration_->find_service(name);
        touch(*f);  // the next tick lets go of those that are not used
    }
    for (auto& [number, r] : runners_)
        if (r.function->service) r.what.slots = r.function->service->max_concurrency;
}

std::int64_t SlotTable::used_mb(const std::string& worker) const {
    std::int64_t used = 0;
    for (const auto& [number, r] : runners_)
        if (r.what.worker == worker) used += memory_of(r);
    return used;
}

const std::string* SlotTable::zone_of(Session front) const {
    const auto at = proxies_.find(front);
    return at == proxies_.end() ? nullptr : &at->second.zone;
}

const std::string* SlotTable::name_of(Session front) const {
    const auto at = proxies_.find(front);
    return at == proxies_.end() ? nullptr : &at->second.name;
}

double SlotTable::usual(std::uint16_t request_class) const {
    const auto at = durations_.find(request_class);
    return at == durations_.end() ? kGuess : at->second.get(kGuess);
}

}  // namespace gannethold::cluster
