#include "cluster/slots/demand.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gannethold::cluster {

void Demand::sample(double work_s, double requests, double span_s) {
    const double retained = std::exp(-span_s / decay_s_);
    work_s_ = work_s_ * retained + work_s;
    requests_ = requests_ * retained + requests;
    observed_s_ = observed_s_ * retained + span_s;
}

double Demand::slots() const {
    if (observed_s_ >= kMinObservedSeconds) return work_s_ / observed_s_;
    const double likely_work_s = requests_ > 1 ? work_s_ * (1 - 1 / std::sqrt(requests_)) : 0;
    return std::max(work_s_ / kMinObservedSeconds, observed_s_ > 0 ? likely_work_s / observed_s_ : 0);
}

void SlotLoad::sample(double reported, double reported_rate, double occupied, double span_s) {
    const double work_s = std::exchange(arrived_work_s_, 0) + reported * span_s;
    const double requests = std::exchange(arrived_requests_, 0) + reported_rate * span_s;
    fast_demand_.sample(work_s, requests, span_s);
    slow_demand_.sample(work_s, requests, span_s);
    fast_occupied_ += (occupied - fast_occupied_) * (span_s / kFastDecaySeconds);
    slow_occupied_ += (occupied - slow_occupied_) * (span_s / kSlowDecaySeconds);
    fast_ = std::max(fast_occupied_, fast_demand_.slots());
    slow_ = std::max(slow_occupied_, slow_demand_.slots());
}

void SlotLoad::restart_demand() {
    fast_demand_ = Demand(kFastDecaySeconds);
    slow_demand_ = Demand(kSlowDecaySeconds);
}

void ZoneDemands::sample(const std::map<std::string, double>& reported, double span_s) {
    for (const auto& [zone, rate] : reported) by_zone_[zone];
    requests_per_s_ = 0;
    for (auto& [zone, demand] : by_zone_) {
        const auto sent = reported.find(zone);
        const double current_rate = demand.requests / span_s + (sent == reported.end() ? 0 : sent->second);
        demand.requests = 0;
        demand.requests_per_s +=
            (current_rate - demand.requests_per_s) * std::min(1.0, span_s / kDecaySeconds);
        requests_per_s_ += demand.requests_per_s;
    }
}

double ZoneDemands::requests_per_s(const std::string& zone) const {
    const auto at = by_zone_.find(zone);
    return at == by_zone_.end() ? 0 : at->second.requests_per_s;
}

}  // namespace gannethold::cluster
