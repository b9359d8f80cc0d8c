#include "cluster/proxy/function_table.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {

FunctionLoad LoadCounter::take(const std::string& service) {
    last_ = {service, std::exchange(requests_, 0),
             static_cast<std::uint32_t>(std::exchange(busy_, 0) / 1000)};
    return last_;
}

bool FunctionTable::is_unrestricted(const std::string& service) const {
    const auto function = functions_.find(service);
    return function != functions_.end() && function->second.unrestricted;
}

std::vector<FunctionLoad> FunctionTable::unrestricted_loads() const {
    std::vector<FunctionLoad> loads;
    for (const auto& [service, function] : functions_)
        if (function.unrestricted)
            loads.push_back({service, function.load.last().requests, function.load.last().busy_ms});
    return loads;
}

std::optional<LoadReport> FunctionTable::make_load_report(Micros now) {
    if (now < last_report_at_ + kReportInterval) return std::nullopt;
    const Micros span = std::min<Micros>(now - last_report_at_, kMaxReportedSpan);
    LoadReport report{static_cast<std::uint32_t>(span / 1000), {}};
    last_report_at_ = now;
    for (auto& [service, function] : functions_) {
        const FunctionLoad load = function.load.take(service);
        if (function.unrestricted && load.requests > 0) report.loads.push_back(load);
    }
    if (report.loads.empty()) return std::nullopt;
    return report;
}

std::vector<RunnerShare> FunctionTable::shares() const {
    std::vector<RunnerShare> all;
    for (const auto& [service, function] : functions_)
        for (const Split::Share& share : function.split.shares())
            all.push_back({service, share.runner, share.fraction, share.latency, share.in_flight,
                           function.unrestricted});
    return all;
}

}  // namespace gannethold::cluster
