#include "scale/report.hpp"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

#include "json/json.hpp"
#include "scale/statistics.hpp"

namespace gannethold::scale {
namespace {

constexpr double kKilo = 1000, kMicrosInSecond = 1e6, kMicrosInMilli = 1e3;
constexpr double kMedian = 0.5, kLate = 0.99;

double total(const std::array<std::uint64_t, kMessageTypes>& counts) {
    double sum = 0;
    for (const std::uint64_t count : counts) sum += static_cast<double>(count);
    return sum;
}

double span_of(const Measurements& run) {
    return static_cast<double>(run.after.at - run.before.at) / kMicrosInSecond;
}

double processor_of(const Measurements& run, std::size_t controller) {
    return per_second(run.before.controllers[controller].processor_seconds,
                      run.after.controllers[controller].processor_seconds, span_of(run));
}

// Who led at the end; where nobody did, who used the processor most.
int leader_of(const Measurements& run) {
    if (run.after.leader >= 0) return run.after.leader;
    int busiest = 0;
    for (std::size_t number = 1; number < run.after.controllers.size(); ++number)
        if (processor_of(run, number) > processor_of(run, static_cast<std::size_t>(busiest)))
            busiest = static_cast<int>(number);
    return busiest;
}

void sum_controllers(const Measurements& run, Summary& sum) {
    const int leader = leader_of(run);
    for (std::size_t number = 0; number < run.after.controllers.size(); ++number) {
        const Usage& usage = run.after.controllers[number];
        const double processor = processor_of(run, number);
        if (static_cast<int>(number) == leader) {
            sum.leader_processor = processor;
            sum.leader_memory_mb = usage.memory_mb;
            continue;
        }
        sum.follower_processor = std::max(sum.follower_processor, processor);
        sum.follower_memory_mb = std::max(sum.follower_memory_mb, usage.memory_mb);
    }
    std::set<int> leaders;
    const double first_s = run.start_s.value_or(0);
    for (const Sample& sample : run.samples) {
        if (sample.at_s < first_s || sample.at_s > first_s + run.steady_s) continue;
        if (sample.leader >= 0) leaders.insert(sample.leader);
        sum.seconds_without_leader += sample.leader < 0;
        sum.leader_descriptors = std::max(sum.leader_descriptors, sample.leader_descriptors);
    }
    sum.leaders = static_cast<int>(leaders.size());
}

void sum_traffic(const Measurements& run, Summary& sum) {
    const double span = span_of(run);
    const double bytes = per_second(total(run.before.sent.bytes) + total(run.before.received.bytes),
                                    total(run.after.sent.bytes) + total(run.after.received.bytes), span);
    const double messages =
        per_second(total(run.before.sent.messages) + total(run.before.received.messages),
                   total(run.after.sent.messages) + total(run.after.received.messages), span);
    const double proxies = run.options.proxies;
    sum.leader_kb_per_s = bytes / kKilo;
    sum.leader_messages_per_s = messages;
    sum.proxy_kb_per_s = bytes / kKilo / proxies;
    sum.proxy_messages_per_s = messages / proxies;
    const auto rate = [span](std::uint64_t before, std::uint64_t after) {
        return per_second(static_cast<double>(before), static_cast<double>(after), span);
    };
    sum.granted_per_s = rate(run.before.granted, run.after.granted);
    sum.unasked_per_s = rate(run.before.unasked, run.after.unasked);
    sum.denied_per_s = rate(run.before.denied, run.after.denied);
}

void sum_changes(const Measurements& run, Summary& sum) {
    std::vector<double> acknowledged, in_force;
    // The first one goes whole to proxies that are just starting.
    for (std::size_t at = 1; at < run.changes.size(); ++at) {
        const Change& change = run.changes[at];
        ++sum.changes;
        sum.changes_unfinished += change.in_force == 0 || change.acknowledged == 0;
        const auto since = [&change](Micros moment) {
            return static_cast<double>(moment - change.handed_in) / kMicrosInMilli;
        };
        if (change.acknowledged > 0) acknowledged.push_back(since(change.acknowledged));
        if (change.in_force > 0) in_force.push_back(since(change.in_force));
    }
    sum.acknowledged_ms = quantile(acknowledged, kMedian);
    sum.acknowledged_ms_99 = quantile(acknowledged, kLate);
    sum.in_force_ms = quantile(in_force, kMedian);
    sum.in_force_ms_99 = quantile(in_force, kLate);
}

json::Value number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return json::Value(json::Number{text});
}

json::Value number(const std::optional<double>& value) { return value ? number(*value) : json::Value(); }

std::string shown(const std::optional<double>& value, const char* unit) {
    if (!value) return "not reached";
    char text[48];
    std::snprintf(text, sizeof text, "%.2f %s", *value, unit);
    return text;
}

json::Value traffic_json(const Traffic& before, const Traffic& after, double span) {
    json::Object types;
    for (std::size_t type = 0; type < kMessageTypes; ++type) {
        const auto messages = static_cast<double>(after.messages[type] - before.messages[type]);
        const auto bytes = static_cast<double>(after.bytes[type] - before.bytes[type]);
        if (messages == 0) continue;
        types[message_name(type)] = json::Value(json::Object{{"messages_per_s", number(messages / span)},
                                                             {"bytes_per_s", number(bytes / span)},
                                                             {"bytes_each", number(bytes / messages)}});
    }
    return json::Value(std::move(types));
}

void tell_traffic(std::ostringstream& out, const char* title, const Traffic& before, const Traffic& after,
                  double span) {
    out << title << "\n";
    for (std::size_t type = 0; type < kMessageTypes; ++type) {
        const auto messages = static_cast<double>(after.messages[type] - before.messages[type]);
        const auto bytes = static_cast<double>(after.bytes[type] - before.bytes[type]);
        if (messages == 0) continue;
        char line[128];
        std::snprintf(line, sizeof line, "  %-18s %10.1f messages/s %12.1f bytes/s %10.0f bytes each\n",
                      message_name(type), messages / span, bytes / span, bytes / messages);
        out << line;
    }
}

json::Value options_json(const Options& o) {
    return json::Value(json::Object{{"controllers", number(o.controllers)},
                                    {"proxies", number(o.proxies)},
                                    {"real_proxies", number(o.real_proxies)},
                                    {"functions", number(o.functions)},
                                    {"instances", number(o.instances)},
                                    {"calls", number(o.calls)},
                                    {"real_calls", number(o.real_calls)},
                                    {"changes_per_minute", number(o.changes)},
                                    {"seconds", number(o.seconds)},
                                    {"skew", number(o.skew)},
                                    {"target_ms", number(o.target_ms)},
                                    {"list_page", number(o.list_page)},
                                    {"list_rate", number(o.list_rate)},
                                    {"redial_ms", number(o.redial_ms)},
                                    {"redial_most_ms", number(o.redial_most_ms)},
                                    {"register_recent_s", number(o.register_recent_s)},
                                    {"memory_mb", number(o.memory_mb)}});
}

json::Value recoveries_json(const Measurements& run) {
    json::List all;
    for (const Recovery& recovery : run.recoveries)
        all.emplace_back(json::Object{{"fault", json::Value(std::string(name_of(recovery.fault)))},
                                      {"first_registered_s", number(recovery.first_registered)},
                                      {"first_served_s", number(recovery.first_served)},
                                      {"registered_99_in_100_s", number(recovery.most_registered)},
                                      {"all_registered_s", number(recovery.all_registered)},
                                      {"dials", number(static_cast<double>(recovery.dials))},
                                      {"most_leader_memory_mb", number(recovery.most_leader_memory_mb)},
                                      {"most_descriptors", number(recovery.most_descriptors)}});
    return json::Value(std::move(all));
}

json::Value samples_json(const Measurements& run) {
    json::List all;
    for (const Sample& sample : run.samples)
        all.emplace_back(json::Object{{"at_s", number(sample.at_s)},
                                      {"leader", number(sample.leader)},
                                      {"registered", number(sample.registered)},
                                      {"leader_processor", number(sample.leader_processor)},
                                      {"leader_memory_mb", number(sample.leader_memory_mb)},
                                      {"leader_descriptors", number(sample.leader_descriptors)},
                                      {"other_memory_mb", number(sample.other_memory_mb)},
                                      {"proxy_memory_mb", number(sample.proxy_memory_mb)},
                                      {"proxy_processor", number(sample.proxy_processor)},
                                      {"driver_processor", number(sample.driver_processor)}});
    return json::Value(std::move(all));
}

// One curve, scaled to its own top.
template <class Value>
void curve(std::ostringstream& out, const Measurements& run, const char* color, const char* name, int row,
           Value value) {
    constexpr double kLeft = 50, kWidth = 700, kBottom = 330, kHeight = 240;
    constexpr int kRowHeight = 18, kFirstRow = 20;
    double most = 1e-9, last = 1e-9;
    for (const Sample& sample : run.samples) {
        most = std::max(most, value(sample));
        last = std::max(last, sample.at_s);
    }
    out << "<polyline fill='none' stroke='" << color << "' stroke-width='2' points='";
    for (const Sample& sample : run.samples)
        out << kLeft + kWidth * sample.at_s / last << "," << kBottom - kHeight * value(sample) / most << " ";
    out << "'/>\n<text x='" << kLeft << "' y='" << kFirstRow + kRowHeight * row << "' fill='" << color << "'>"
        << name << ", at most " << most << "</text>\n";
}

}  // namespace

Summary summary_of(const Measurements& run) {
    Summary sum;
    sum_changes(run, sum);
    sum.slot_wait_ms = quantile(run.slot_waits_ms, kMedian);
    sum.slot_wait_ms_99 = quantile(run.slot_waits_ms, kLate);
    sum.request_ms = quantile(run.answers.took_ms, kMedian);
    sum.request_ms_99 = quantile(run.answers.took_ms, kLate);
    if (run.after.at <= run.before.at) return sum;  // it did not come so far
    sum_controllers(run, sum);
    sum_traffic(run, sum);
    if (!run.after.proxies.empty()) {
        sum.real_proxy_memory_mb = run.after.proxies.front().memory_mb;
        sum.real_proxy_processor = per_second(run.before.proxies.front().processor_seconds,
                                              run.after.proxies.front().processor_seconds, span_of(run));
    }
    double driver = 0;
    int counted = 0;
    for (const Sample& sample : run.samples) {
        if (sample.at_s < run.start_s.value_or(0)) continue;
        if (sample.at_s > run.start_s.value_or(0) + run.steady_s) continue;
        driver += sample.driver_processor;
        ++counted;
    }
    sum.hollow_processor = counted > 0 ? driver / counted : 0;
    return sum;
}

std::optional<std::string> not_recovered(const Measurements& run) {
    for (const Recovery& recovery : run.recoveries)
        if (!recovery.all_registered)
            return std::string("not all proxies were registered again after ") + name_of(recovery.fault);
    if (run.recoveries.size() < run.options.faults.size()) return "not all faults were played";
    return std::nullopt;
}

std::string text_report(const Measurements& run) {
    const Summary sum = summary_of(run);
    std::ostringstream out;
    out << std::fixed;
    out.precision(3);
    if (!run.stopped_early.empty()) out << "stopped early: " << run.stopped_early << "\n";
    for (const std::string& name : run.ended_by_themselves) out << "ended by itself: " << name << "\n";
    out << "configuration: " << run.configuration_bytes << " bytes; ready after " << shown(run.start_s, "s")
        << "; steady part of " << run.steady_s << " s\n";
    out << "leader: " << sum.leader_processor << " cores, " << sum.leader_memory_mb << " MB, "
        << sum.leader_descriptors << " descriptors, " << sum.leader_messages_per_s << " messages/s, "
        << sum.leader_kb_per_s << " KB/s with hollow proxies, " << sum.leaders << " leaders seen\n";
    out << "follower: " << sum.follower_processor << " cores, " << sum.follower_memory_mb << " MB\n";
    out << "hollow proxy: " << sum.proxy_messages_per_s << " messages/s, " << sum.proxy_kb_per_s << " KB/s\n";
    out << "real proxy: " << sum.real_proxy_processor << " cores, " << sum.real_proxy_memory_mb << " MB\n";
    out << "this program: " << sum.hollow_processor << " cores; all processes at most " << run.most_memory_mb
        << " MB\n";
    out << "slots: " << sum.granted_per_s << "/s granted, " << sum.unasked_per_s << "/s taken unasked, "
        << sum.denied_per_s << "/s denied; wait " << shown(sum.slot_wait_ms, "ms") << ", 99 in 100 "
        << shown(sum.slot_wait_ms_99, "ms") << "\n";
    out << "real requests: " << run.answers.ok << " answered, " << run.answers.refused << " refused, "
        << run.answers.failed << " failed; " << shown(sum.request_ms, "ms") << ", 99 in 100 "
        << shown(sum.request_ms_99, "ms") << "\n";
    out << "changes: " << sum.changes << ", " << sum.changes_unfinished << " unfinished; acknowledged "
        << shown(sum.acknowledged_ms, "ms") << ", 99 in 100 " << shown(sum.acknowledged_ms_99, "ms")
        << "; in force everywhere " << shown(sum.in_force_ms, "ms") << ", 99 in 100 "
        << shown(sum.in_force_ms_99, "ms") << "\n";
    out << "instances: " << run.instances_at_end << " at the end, " << run.starts << " started, " << run.stops
        << " stopped; " << run.pages << " pages of the list read\n";
    for (const Recovery& recovery : run.recoveries)
        out << "after " << name_of(recovery.fault) << ": first registered "
            << shown(recovery.first_registered, "s") << ", first served " << shown(recovery.first_served, "s")
            << ", 99 in 100 registered " << shown(recovery.most_registered, "s") << ", all "
            << shown(recovery.all_registered, "s") << "; " << recovery.dials << " dials, "
            << recovery.most_descriptors << " descriptors and " << recovery.most_leader_memory_mb
            << " MB of a controller at most\n";
    if (run.after.at > run.before.at) {
        tell_traffic(out, "from hollow proxies:", run.before.sent, run.after.sent, span_of(run));
        tell_traffic(out, "to hollow proxies:", run.before.received, run.after.received, span_of(run));
    }
    return out.str();
}

std::string json_report(const Measurements& run) {
    const Summary sum = summary_of(run);
    json::List ended;
    for (const std::string& name : run.ended_by_themselves) ended.emplace_back(name);
    json::Object all{{"options", options_json(run.options)},
                     {"stopped_early", json::Value(run.stopped_early)},
                     {"ended_by_themselves", json::Value(std::move(ended))},
                     {"ready_s", number(run.start_s)},
                     {"steady_s", number(run.steady_s)},
                     {"configuration_bytes", number(static_cast<double>(run.configuration_bytes))},
                     {"leader_processor", number(sum.leader_processor)},
                     {"leader_memory_mb", number(sum.leader_memory_mb)},
                     {"leader_descriptors", number(sum.leader_descriptors)},
                     {"leader_messages_per_s", number(sum.leader_messages_per_s)},
                     {"leader_kb_per_s", number(sum.leader_kb_per_s)},
                     {"leaders_seen", number(sum.leaders)},
                     {"seconds_without_leader", number(sum.seconds_without_leader)},
                     {"follower_processor", number(sum.follower_processor)},
                     {"follower_memory_mb", number(sum.follower_memory_mb)},
                     {"proxy_messages_per_s", number(sum.proxy_messages_per_s)},
                     {"proxy_kb_per_s", number(sum.proxy_kb_per_s)},
                     {"real_proxy_processor", number(sum.real_proxy_processor)},
                     {"real_proxy_memory_mb", number(sum.real_proxy_memory_mb)},
                     {"driver_processor", number(sum.hollow_processor)},
                     {"most_memory_mb", number(run.most_memory_mb)},
                     {"granted_per_s", number(sum.granted_per_s)},
                     {"unasked_per_s", number(sum.unasked_per_s)},
                     {"denied_per_s", number(sum.denied_per_s)},
                     {"slot_wait_ms", number(sum.slot_wait_ms)},
                     {"slot_wait_ms_99", number(sum.slot_wait_ms_99)},
                     {"request_ms", number(sum.request_ms)},
                     {"request_ms_99", number(sum.request_ms_99)},
                     {"requests_ok", number(run.answers.ok)},
                     {"requests_refused", number(run.answers.refused)},
                     {"requests_failed", number(run.answers.failed)},
                     {"changes", number(sum.changes)},
                     {"changes_unfinished", number(sum.changes_unfinished)},
                     {"acknowledged_ms", number(sum.acknowledged_ms)},
                     {"acknowledged_ms_99", number(sum.acknowledged_ms_99)},
                     {"in_force_ms", number(sum.in_force_ms)},
                     {"in_force_ms_99", number(sum.in_force_ms_99)},
                     {"instances_at_end", number(static_cast<double>(run.instances_at_end))},
                     {"starts", number(run.starts)},
                     {"stops", number(run.stops)},
                     {"recoveries", recoveries_json(run)},
                     {"samples", samples_json(run)}};
    if (run.after.at > run.before.at) {
        all["from_proxies"] = traffic_json(run.before.sent, run.after.sent, span_of(run));
        all["to_proxies"] = traffic_json(run.before.received, run.after.received, span_of(run));
    }
    return json::write(json::Value(std::move(all))) + "\n";
}

std::string svg_report(const Measurements& run) {
    std::ostringstream out;
    out.precision(4);
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='800' height='360' font-family='sans-serif' "
           "font-size='12'>\n<rect width='800' height='360' fill='white'/>\n";
    curve(out, run, "#2266bb", "leader's cores", 0, [](const Sample& s) { return s.leader_processor; });
    curve(out, run, "#cc5522", "leader's memory, MB", 1, [](const Sample& s) { return s.leader_memory_mb; });
    curve(out, run, "#228844", "sessions", 2,
          [](const Sample& s) { return static_cast<double>(s.registered); });
    curve(out, run, "#886699", "leader's descriptors", 3,
          [](const Sample& s) { return static_cast<double>(s.leader_descriptors); });
    const double last = run.samples.empty() ? 0 : run.samples.back().at_s;
    out << "<text x='50' y='350'>0 s</text><text x='720' y='350'>" << last << " s</text>\n</svg>\n";
    return out.str();
}

}  // namespace gannethold::scale
