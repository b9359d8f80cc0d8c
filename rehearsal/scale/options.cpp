#include "scale/options.hpp"

#include <array>
#include <sstream>
#include <utility>

namespace gannethold::scale {
namespace {

constexpr std::array<std::pair<Fault, const char*>, 4> kFaults{{{Fault::leader_killed, "leader"},
                                                                {Fault::all_killed, "all"},
                                                                {Fault::half_reconnect, "reconnect"},
                                                                {Fault::zone_cut, "zone"}}};

struct Bound {
    const char* flag;
    double value, least, most;
};

std::string text_of(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

}  // namespace

const char* name_of(Fault fault) {
    for (const auto& [known, name] : kFaults)
        if (known == fault) return name;
    return "unknown";
}

std::vector<Fault> read_faults(const std::string& text, std::string& wrong) {
    std::vector<Fault> faults;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, ',');) {
        bool found = false;
        for (const auto& [fault, name] : kFaults) {
            if (word != name) continue;
            faults.push_back(fault);
            found = true;
        }
        if (!found) wrong = word.empty() ? "an empty word" : word;
    }
    return faults;
}

std::optional<std::string> wrong_with(const Options& o) {
    const Bound bounds[] = {
        {"controllers", static_cast<double>(o.controllers), 1, 7},
        {"proxies", static_cast<double>(o.proxies), 1, 4000},
        {"real_proxies", static_cast<double>(o.real_proxies), 0, 20},
        {"threads", static_cast<double>(o.threads), 1, 6},
        {"functions", static_cast<double>(o.functions), 1, 100'000},
        {"instances", static_cast<double>(o.instances), 0, 1'000'000},
        {"workers", static_cast<double>(o.workers), 1, 10'000},
        {"zones", static_cast<double>(o.zones), 1, 32},
        {"calls", o.calls, 0, 300'000},
        {"real_calls", o.real_calls, 0, 2'000},
        {"changes", o.changes, 0, 600},
        {"skew", o.skew, 0, 3},
        {"seconds", static_cast<double>(o.seconds), 1, 600},
        {"list_page", static_cast<double>(o.list_page), 1, 10'000},
        {"list_rate", o.list_rate, 0.1, 1'000},
        {"duty_rate", o.duty_rate, 0.1, 10'000},
        {"start_ms", static_cast<double>(o.start_ms), 0, 60'000},
        {"work_ms", static_cast<double>(o.work_ms), 1, 60'000},
        {"target_ms", static_cast<double>(o.target_ms), 1, 60'000},
        {"redial_ms", static_cast<double>(o.redial_ms), 1, 60'000},
        {"redial_most_ms", static_cast<double>(o.redial_most_ms), 1, 60'000},
        {"register_recent_s", static_cast<double>(o.register_recent_s), 0, 3600},
        {"memory_mb", static_cast<double>(o.memory_mb), 16, 16'384},
        {"subnet", static_cast<double>(o.subnet), 0, 255},
    };
    for (const Bound& bound : bounds) {
        if (bound.value >= bound.least && bound.value <= bound.most) continue;
        return std::string("--") + bound.flag + " is not from " + text_of(bound.least) + " to " +
               text_of(bound.most) + ": " + text_of(bound.value);
    }
    if (o.redial_most_ms < o.redial_ms) return "--redial_most_ms is less than --redial_ms";
    if (o.zones > o.workers) return "--zones is more than --workers: each zone needs one";
    if (o.threads > o.proxies) return "--threads is more than --proxies";
    return std::nullopt;
}

}  // namespace gannethold::scale
