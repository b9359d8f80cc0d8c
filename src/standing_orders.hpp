// Looks names up in what the operators state; a value that cannot be read fails the start with its name.
#pragma once

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold {

class Stated {
  public:
    explicit Stated(const StatedOrders& stated) : stated_(stated) {}

    std::string word(const std::string& name, const std::string& otherwise) const {
        const auto found = stated_.find(name);
        return found == stated_.end() ? otherwise : found->second;
    }
    bool yes(const std::string& name) const {
        const std::string text = word(name, "false");
        if (text != "true" && text != "false")
            throw std::runtime_error("standing order " + name + " is neither true nor false: " + text);
        return text == "true";
    }
    double number(const std::string& name, double otherwise) const {
        const std::string text = word(name, "");
        return text.empty() ? otherwise : read(name, text);
    }
    Micros micros(const std::string& name, Micros otherwise) const {
        return static_cast<Micros>(number(name, static_cast<double>(otherwise)));
    }
    // For lists over the workloads; short lists stand for the rest with their last item.
    double number_in(const std::string& name, std::size_t place, double otherwise) const {
        const auto list = words(name);
        return list.empty() ? otherwise : read(name, list[std::min(place, list.size() - 1)]);
    }
    std::vector<std::string> words(const std::string& name) const {
        std::vector<std::string> list;
        std::string text = word(name, "");
        while (!text.empty()) {
            const auto comma = std::min(text.find(','), text.size());
            list.push_back(text.substr(0, comma));
            text.erase(0, comma + 1);
        }
        return list;
    }

  private:
    static double read(const std::string& name, const std::string& text) {
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

    const StatedOrders& stated_;
};

// What a dispatcher reads at start. A name that is missing takes the cautious reading given here.
struct StandingOrders {
    bool cancelling, parallel, probes, asks, by_work, tells_start, knows_held, marks_repeats, only_draining;
    int dispatchers, me, max_assignments;
    std::size_t workloads, customers;
    ZoneId zone;
    Micros resolution, cold_window, warm_after, must_ask, max_away;
    double cold_from, fall_multiple, surplus, keepalive_s;
    std::vector<std::string> report_names;
    std::vector<double> allowances;

    explicit StandingOrders(const StatedOrders& all) {
        const Stated stated(all);
        cancelling = stated.yes("caps.cancelling");
        parallel = stated.yes("caps.parallel_tries");
        probes = stated.yes("caps.probes");
        tells_start = stated.yes("trade.tells_start");
        marks_repeats = stated.yes("clients.marks_retry");
        max_away = stated.yes("caps.retry_after") ? stated.micros("caps.max_retry_after_us", 0) : 0;
        only_draining = stated.yes("rules.only_draining_binds");
        asks = stated.word("roster.how", "pushed") == "on_request";
        by_work = stated.word("importance.by", "request") == "work";
        dispatchers = std::max(1, static_cast<int>(stated.number("dispatchers", 1)));
        me = std::clamp(static_cast<int>(stated.number("me", 0)), 0, dispatchers - 1);
        max_assignments = std::max(1, static_cast<int>(stated.number("caps.max_assignments", 1)));
        zone = static_cast<ZoneId>(std::max(0.0, stated.number("zone", 0)));
        resolution = std::max<Micros>(1, stated.micros("resolution_us", 1'000));
        must_ask = stated.micros("rules.must_ask_in_us", 10'000'000);
        // A runner of which nothing is said has a tenth at first and is warm after half a minute.
        cold_from = stated.number("rules.cold_from", 0.1);
        warm_after = std::max<Micros>(1, stated.micros("rules.warm_after_us", 30'000'000));
        fall_multiple = stated.number("rules.fall_multiple", 1);
        cold_window = stated.micros("rules.tip_after_us", 1'000'000);
        keepalive_s = stated.number("caps.keepalive_us", 0) / 1e6;
        report_names = stated.words("reports.names");
        knows_held = reported("held") && reported("free_slots");
        workloads = static_cast<std::size_t>(std::clamp(stated.number("workloads.count", 1), 1.0, 256.0));
        surplus = stated.number("importance.surplus", 1);
        customers = static_cast<std::size_t>(std::clamp(stated.number("customers.count", 0), 0.0, 1e5));
        for (std::size_t i = 0; i < customers; ++i)
            allowances.push_back(stated.number("customers." + std::to_string(i) + ".allowance_per_s", 0));
    }

  private:
    bool reported(const char* name) const {
        return std::find(report_names.begin(), report_names.end(), name) != report_names.end();
    }
};

}  // namespace gannethold
