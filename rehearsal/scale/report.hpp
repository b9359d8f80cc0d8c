// What a run measured: as text, JSON and a plot.
#pragma once

#include <optional>
#include <string>

#include "scale/measurements.hpp"

namespace gannethold::scale {

/// The figures of a run that stand in tables.
struct Summary {
    double leader_processor = 0, leader_memory_mb = 0, follower_processor = 0, follower_memory_mb = 0;
    double leader_kb_per_s = 0;        // to and from hollow proxies
    double leader_messages_per_s = 0;  // likewise
    int leader_descriptors = 0;        // at most
    double proxy_kb_per_s = 0;         // of one hollow proxy, both ways
    double proxy_messages_per_s = 0;   // likewise
    double real_proxy_processor = 0, real_proxy_memory_mb = 0;
    double hollow_processor = 0;  // of this program
    std::optional<double> acknowledged_ms, acknowledged_ms_99, in_force_ms, in_force_ms_99;
    std::optional<double> slot_wait_ms, slot_wait_ms_99;
    std::optional<double> request_ms, request_ms_99;
    int changes = 0, changes_unfinished = 0;
    double granted_per_s = 0, unasked_per_s = 0, denied_per_s = 0;
    int seconds_without_leader = 0;  // readings, one a second, in which nobody served any hollow proxy
    int leaders = 0;                 // different ones in the steady part
};

/// Sums up a run; what it did not come to stays 0 or nothing.
Summary summary_of(const Measurements& run);

/// Why the system did not come back whole: a fault after which not all were registered again; nothing: it
/// did.
std::optional<std::string> not_recovered(const Measurements& run);

std::string text_report(const Measurements& run);
std::string json_report(const Measurements& run);
/// The leader's processor and memory and the sessions over time.
std::string svg_report(const Measurements& run);

}  // namespace gannethold::scale
