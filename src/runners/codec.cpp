#include "runners/codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "json/json.hpp"

namespace gannethold::runners {
namespace {

// Names of load values that are interchangeable between the settings and a report.
constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kAliases{{{"rif", "inflight"},
                                                                                 {"q", "queue"},
                                                                                 {"busy", "util"},
                                                                                 {"lat_ms", "latency_ms"},
                                                                                 {"rate", "qps"},
                                                                                 {"fail_rate", "eps"}}};

constexpr std::array<std::pair<std::string_view, net::CloseReason>, 4> kFinalStates{
    {{"done", net::CloseReason::done},
     {"failed", net::CloseReason::failed},
     {"returned", net::CloseReason::returned},
     {"lost", net::CloseReason::lost}}};

}  // namespace

ReportDecoder::ReportDecoder(std::vector<std::string> names) {
    for (std::string& name : names) {
        std::vector<std::string> spellings{name};
        for (const auto& [first, second] : kAliases) {
            if (name == first) spellings.emplace_back(second);
            if (name == second) spellings.emplace_back(first);
        }
        names_.push_back(std::move(spellings));
    }
}

Report ReportDecoder::in_order(const std::map<std::string, double, std::less<>>& values) const {
    Report report;
    for (const auto& spellings : names_) {
        const auto found = std::find_if(spellings.begin(), spellings.end(),
                                        [&](const std::string& name) { return values.contains(name); });
        if (found == spellings.end()) return {};
        report.push_back(values.find(*found)->second);
    }
    return report;
}

Report ReportDecoder::read_pairs(std::string_view text) const {
    std::map<std::string, double, std::less<>> values;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        std::string_view pair = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
        const auto equals = std::min(pair.find('='), pair.size());
        const std::string_view digits = pair.substr(std::min(equals + 1, pair.size()));
        double value = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (error != std::errc() || end != digits.data() + digits.size()) return {};
        values.emplace(pair.substr(0, equals), value);
    }
    return in_order(values);
}

namespace {

Report read_load(const json::Value& load, const ReportDecoder& reports) {
    if (const auto* text = load.get<std::string>()) return reports.read_pairs(*text);
    const auto* object = load.get<json::Object>();
    if (!object) return {};
    std::map<std::string, double, std::less<>> values;
    for (const auto& [name, value] : *object)
        if (const auto* number = value.get<json::Number>()) values.emplace(name, number->value());
    return reports.in_order(values);
}

}  // namespace

Report ReportDecoder::read_object(std::string_view text) const {
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.remove_suffix(1);
    if (text.empty() || text.front() != '{') return read_pairs(text);
    try {
        const json::Value value = json::parse(text);
        const json::Value* const load = value.find("load");
        return read_load(load ? *load : value, *this);
    } catch (const json::ParseError&) {
        return {};
    }
}

TaskUpdate parse_task_update(std::string_view text, std::string_view request_id,
                             const ReportDecoder& reports) {
    TaskUpdate line;
    json::Value message;
    try {
        message = json::parse(text);
    } catch (const json::ParseError&) {
        return line;
    }
    const std::string* const id = message.find_string("id");
    const std::string* const state = message.find_string("state");
    if (!id || *id != request_id || !state) return line;
    if (*state == "started") {
        line.state = TaskUpdate::State::started;
    } else if (*state == "running") {
        line.share = message.find_number("share").value_or(-1);
        if (line.share >= 0 && line.share <= 1) line.state = TaskUpdate::State::running;
    }
    for (const auto& [name, ending] : kFinalStates)
        if (*state == name) line.state = TaskUpdate::State::last, line.ending = ending;
    if (const auto* load = message.find("load")) line.report = read_load(*load, reports);
    if (line.ending == net::CloseReason::done) {
        const json::Value* const result = message.find("result");
        const std::string* const text_result = result ? result->get<std::string>() : nullptr;
        if (!result)
            line.state = TaskUpdate::State::unreadable, line.ending = net::CloseReason::malformed;
        else
            line.result = text_result ? *text_result : json::serialize(*result);
    }
    return line;
}

}  // namespace gannethold::runners
