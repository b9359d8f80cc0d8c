// Typed access to the settings. A value that cannot be read stops the start with the setting's name.
#pragma once

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold {

// Reads typed values from a map of settings, which has to outlive it. Throws std::runtime_error for a value
// of the wrong type.
class SettingsReader {
  public:
    explicit SettingsReader(const SettingsMap& settings) : settings_(settings) {}

    std::string get_string(const std::string& name, const std::string& fallback) const {
        const auto found = settings_.find(name);
        return found == settings_.end() ? fallback : found->second;
    }
    // A missing setting is false.
    bool get_bool(const std::string& name) const {
        const std::string text = get_string(name, "false");
        if (text != "true" && text != "false")
            throw std::runtime_error("standing order " + name + " is neither true nor false: " + text);
        return text == "true";
    }
    double get_number(const std::string& name, double fallback) const {
        const std::string text = get_string(name, "");
        return text.empty() ? fallback : parse_number(name, text);
    }
    Micros get_micros(const std::string& name, Micros fallback) const {
        return static_cast<Micros>(get_number(name, static_cast<double>(fallback)));
    }
    // One number of a list with one item per workload. The last item of a short list applies to the rest.
    double get_list_number(const std::string& name, std::size_t index, double fallback) const {
        const auto list = get_list(name);
        return list.empty() ? fallback : parse_number(name, list[std::min(index, list.size() - 1)]);
    }
    // The items of a list separated by commas.
    std::vector<std::string> get_list(const std::string& name) const {
        std::vector<std::string> list;
        std::string text = get_string(name, "");
        while (!text.empty()) {
            const auto comma = std::min(text.find(','), text.size());
            list.push_back(text.substr(0, comma));
            text.erase(0, comma + 1);
        }
        return list;
    }

  private:
    static double parse_number(const std::string& name, const std::string& text) {
        std::size_t end = 0;
        double value = 0;
        try {
            value = std::stod(text, &end);
        } catch (const std::exception&) {
            end = 0;
        }
        if (end != text.size() || !std::isfinite(value))
            throw std::runtime_error("standing order " + name + " is not a number: " + text);
        return value;
    }

    const SettingsMap& settings_;
};

// The decision module's settings. A missing one gets the conservative default given here.
struct BalancerSettings {
    bool can_cancel, can_run_in_parallel, can_probe, polls_membership, values_work, reports_starts,
        reports_held, marks_retries, only_draining;
    int dispatchers, index, max_assignments;  // index: this dispatcher's number, from 0
    std::size_t workloads, customers;
    ZoneId zone;
    Micros tick, warmup_window, warmup, max_retry_after;
    Micros poll_limit;  // a lost list has to be requested again within this time
    double warmup_minimum, warmup_multiple, surplus_importance, keepalive_s;
    std::vector<std::string> report_names;
    std::vector<double> allowances;  // per second, by customer

    explicit BalancerSettings(const SettingsMap& settings) {
        const SettingsReader reader(settings);
        can_cancel = reader.get_bool("caps.cancelling");
        can_run_in_parallel = reader.get_bool("caps.parallel_tries");
        can_probe = reader.get_bool("caps.probes");
        reports_starts = reader.get_bool("trade.tells_start");
        marks_retries = reader.get_bool("clients.marks_retry");
        max_retry_after =
            reader.get_bool("caps.retry_after") ? reader.get_micros("caps.max_retry_after_us", 0) : 0;
        only_draining = reader.get_bool("rules.only_draining_binds");
        polls_membership = reader.get_string("roster.how", "pushed") == "on_request";
        values_work = reader.get_string("importance.by", "request") == "work";
        dispatchers = std::max(1, static_cast<int>(reader.get_number("dispatchers", 1)));
        index = std::clamp(static_cast<int>(reader.get_number("me", 0)), 0, dispatchers - 1);
        max_assignments = std::max(1, static_cast<int>(reader.get_number("caps.max_assignments", 1)));
        zone = static_cast<ZoneId>(std::max(0.0, reader.get_number("zone", 0)));
        tick = std::max<Micros>(1, reader.get_micros("resolution_us", 1'000));
        poll_limit = reader.get_micros("rules.must_ask_in_us", 10'000'000);
        // By default a started runner gets a tenth of its share at first and all of it after 30 s.
        warmup_minimum = reader.get_number("rules.cold_from", 0.1);
        warmup = std::max<Micros>(1, reader.get_micros("rules.warm_after_us", 30'000'000));
        warmup_multiple = reader.get_number("rules.fall_multiple", 1);
        warmup_window = reader.get_micros("rules.tip_after_us", 1'000'000);
        keepalive_s = reader.get_number("caps.keepalive_us", 0) / 1e6;
        report_names = reader.get_list("reports.names");
        reports_held = has_report("held") && has_report("free_slots");
        workloads = static_cast<std::size_t>(std::clamp(reader.get_number("workloads.count", 1), 1.0, 256.0));
        surplus_importance = reader.get_number("importance.surplus", 1);
        customers = static_cast<std::size_t>(std::clamp(reader.get_number("customers.count", 0), 0.0, 1e5));
        for (std::size_t i = 0; i < customers; ++i)
            allowances.push_back(reader.get_number("customers." + std::to_string(i) + ".allowance_per_s", 0));
    }

  private:
    bool has_report(const char* name) const {
        return std::find(report_names.begin(), report_names.end(), name) != report_names.end();
    }
};

}  // namespace gannethold
