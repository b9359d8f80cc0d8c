#include "cluster/proxy_server/probe_schedule.hpp"

#include <algorithm>

namespace gannethold::cluster {

void ProbeSchedule::add(Micros now, const std::string& address) {
    probes_.try_emplace(address, Probe{now, now, false});
}

bool ProbeSchedule::on_connected(const std::string& address) { return probes_.erase(address) > 0; }

bool ProbeSchedule::on_connect_failed(Micros now, const std::string& address) {
    const auto probe = probes_.find(address);
    if (probe == probes_.end()) return false;
    probe->second.in_flight = false;
    probe->second.next_at = now + kInterval;
    return true;
}

ProbeSchedule::Due ProbeSchedule::take_due(Micros now) {
    Due due;
    for (auto& [address, probe] : probes_) {
        if (probe.in_flight || now < probe.next_at) continue;
        if (now > probe.started_at + kMaxDuration) {
            due.expired.push_back(address);
            continue;
        }
        probe.in_flight = true;
        due.probed.push_back(address);
    }
    for (const std::string& address : due.expired) probes_.erase(address);
    return due;
}

std::optional<Micros> ProbeSchedule::next() const {
    std::optional<Micros> next;
    for (const auto& [address, probe] : probes_)
        if (!probe.in_flight) next = std::min(next.value_or(probe.next_at), probe.next_at);
    return next;
}

}  // namespace gannethold::cluster
