#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "json/json.hpp"
#include "results/report.hpp"

namespace gannethold::rehearsal {
namespace {

using json::Array;
using json::Number;
using json::Object;
using json::Value;

Value whole(std::uint64_t n) { return Value(Number{std::to_string(n)}); }
Value real(double x) {
    char text[32];
    const auto [end, wrong] = std::to_chars(text, text + sizeof text, x, std::chars_format::general, 6);
    return Value(Number{wrong == std::errc() ? std::string(text, end) : "0"});
}
Value row(const std::vector<double>& values) {
    Array list;
    for (const double v : values) list.push_back(real(v));
    return Value(std::move(list));
}
Value lines(const std::vector<std::string>& texts) {
    Array list;
    for (const std::string& t : texts) list.push_back(Value(t));
    return Value(std::move(list));
}

std::uint64_t count(const Value& v, const char* name) {
    return static_cast<std::uint64_t>(v.find_number(name).value_or(0));
}
std::string text(const Value& v, const char* name) {
    const std::string* const t = v.find_string(name);
    return t ? *t : "";
}
const Array& list(const Value& v, const char* name) {
    static const Array none;
    const Value* const found = v.find(name);
    const Array* const all = found ? found->get<Array>() : nullptr;
    return all ? *all : none;
}
std::vector<double> numbers(const Value& v, const char* name) {
    std::vector<double> all;
    for (const Value& one : list(v, name))
        if (const auto* n = one.get<Number>()) all.push_back(n->value());
    return all;
}
std::vector<std::string> texts(const Value& v, const char* name) {
    std::vector<std::string> all;
    for (const Value& one : list(v, name))
        if (const auto* t = one.get<std::string>()) all.push_back(*t);
    return all;
}

}  // namespace

std::string to_json(const Result& r, bool with_machine_figures) {
    Object o;
    o["format"] = Value(std::string("gannethold-rehearsal-1"));
    o["day"] = Value(r.day), o["lane"] = Value(r.lane), o["policy"] = Value(r.policy);
    o["seed"] = whole(r.seed);
    o["offered"] = whole(r.offered), o["in_time"] = whole(r.in_time), o["late"] = whole(r.late);
    o["bounced"] = whole(r.bounced), o["abandoned"] = whole(r.abandoned), o["lost"] = whole(r.lost),
    o["left"] = whole(r.left);
    o["tries"] = whole(r.tries), o["tasks"] = whole(r.tasks), o["assignments"] = whole(r.assignments);
    o["effects"] = whole(r.effects), o["toppled"] = whole(r.toppled), o["probes"] = whole(r.probes);
    o["connections"] = whole(r.connections);
    o["worth"] = real(r.worth);
    o["p50_us"] = whole(static_cast<std::uint64_t>(r.p50)),
    o["p99_us"] = whole(static_cast<std::uint64_t>(r.p99));
    o["p999_us"] = whole(static_cast<std::uint64_t>(r.p999)),
    o["most_us"] = whole(static_cast<std::uint64_t>(r.most));
    if (r.aftermath.at >= 0) {
        Object after;
        after["at_us"] = whole(static_cast<std::uint64_t>(r.aftermath.at)),
        after["in_time"] = real(r.aftermath.in_time);
        after["p99_us"] = whole(static_cast<std::uint64_t>(r.aftermath.p99)),
        after["steady_s"] = real(r.aftermath.steady_s);
        o["aftermath"] = Value(std::move(after));
    }
    Array seconds;
    for (const Second& s : r.seconds) {
        Object one;
        one["offered"] = whole(s.offered), one["in_time"] = whole(s.in_time), one["late"] = whole(s.late);
        one["bounced"] = whole(s.bounced), one["abandoned"] = whole(s.abandoned), one["lost"] = whole(s.lost);
        one["p50_us"] = whole(static_cast<std::uint64_t>(s.p50)),
        one["p99_us"] = whole(static_cast<std::uint64_t>(s.p99));
        if (!s.in_flight.empty()) one["in_flight"] = row(s.in_flight);
        if (!s.fractions.empty()) one["fractions"] = row(s.fractions);
        seconds.push_back(Value(std::move(one)));
    }
    o["seconds"] = Value(std::move(seconds));
    Array shades;
    for (const Shade& s : r.shades) {
        Object one;
        one["from_us"] = whole(static_cast<std::uint64_t>(s.from)),
        one["to_us"] = whole(static_cast<std::uint64_t>(s.to));
        one["what"] = Value(s.what);
        shades.push_back(Value(std::move(one)));
    }
    o["faults"] = Value(std::move(shades));
    o["runners"] = lines(r.runners);
    Object workloads;
    for (const auto& [name, w] : r.workloads) {
        Object one;
        one["offered"] = whole(w.offered), one["in_time"] = whole(w.in_time);
        workloads[name] = Value(std::move(one));
    }
    o["workloads"] = Value(std::move(workloads));
    Array broken;
    for (int rule = 1; rule <= 4; ++rule) broken.push_back(whole(r.broken[static_cast<std::size_t>(rule)]));
    o["broken"] = Value(std::move(broken));
    Array breaches;
    for (const Breach& b : r.breaches) {
        Object one;
        one["rule"] = whole(static_cast<std::uint64_t>(b.rule)),
        one["at_us"] = whole(static_cast<std::uint64_t>(b.at));
        one["what"] = Value(b.what), one["story"] = Value(b.story);
        breaches.push_back(Value(std::move(one)));
    }
    o["breaches"] = Value(std::move(breaches));
    o["missed"] = lines(r.missed);
    o["void_because"] = Value(r.void_because), o["cut_short"] = Value(r.cut_short);
    if (with_machine_figures) {
        o["lateness_p99_us"] = whole(static_cast<std::uint64_t>(r.lateness_p99));
        o["lateness_most_us"] = whole(static_cast<std::uint64_t>(r.lateness_most));
        o["cpu_us_a_task"] = real(r.cpu_us_a_task), o["memory_mb"] = real(r.memory_mb),
        o["wall_s"] = real(r.wall_s);
    }
    return json::serialize(Value(std::move(o))) + "\n";
}

Result from_json_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error(path + ": cannot be read");
    Value v;
    try {
        v = json::parse(std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()));
    } catch (const json::ParseError& e) {
        throw std::runtime_error(path + ": is no result: " + e.what());
    }
    if (text(v, "format") != "gannethold-rehearsal-1")
        throw std::runtime_error(path + ": is no result of a rehearsal");
    Result r;
    r.day = text(v, "day"), r.lane = text(v, "lane"), r.policy = text(v, "policy");
    r.seed = count(v, "seed"), r.offered = count(v, "offered"), r.in_time = count(v, "in_time"),
    r.late = count(v, "late");
    r.bounced = count(v, "bounced"), r.abandoned = count(v, "abandoned"), r.lost = count(v, "lost"),
    r.left = count(v, "left");
    r.tries = count(v, "tries"), r.tasks = count(v, "tasks"), r.assignments = count(v, "assignments");
    r.effects = count(v, "effects"), r.toppled = count(v, "toppled"), r.probes = count(v, "probes");
    r.connections = count(v, "connections");
    r.worth = v.find_number("worth").value_or(0);
    r.p50 = static_cast<Micros>(count(v, "p50_us")), r.p99 = static_cast<Micros>(count(v, "p99_us"));
    if (const Value* const after = v.find("aftermath"))
        r.aftermath = {static_cast<Micros>(count(*after, "at_us")), after->find_number("in_time").value_or(0),
                       static_cast<Micros>(count(*after, "p99_us")),
                       after->find_number("steady_s").value_or(0)};
    r.p999 = static_cast<Micros>(count(v, "p999_us")), r.most = static_cast<Micros>(count(v, "most_us"));
    for (const Value& one : list(v, "seconds")) {
        Second s;
        s.offered = count(one, "offered"), s.in_time = count(one, "in_time"), s.late = count(one, "late");
        s.bounced = count(one, "bounced"), s.abandoned = count(one, "abandoned"), s.lost = count(one, "lost");
        s.p50 = static_cast<Micros>(count(one, "p50_us")), s.p99 = static_cast<Micros>(count(one, "p99_us"));
        s.in_flight = numbers(one, "in_flight"), s.fractions = numbers(one, "fractions");
        r.seconds.push_back(std::move(s));
    }
    for (const Value& one : list(v, "faults"))
        r.shades.push_back({static_cast<Micros>(count(one, "from_us")),
                            static_cast<Micros>(count(one, "to_us")), text(one, "what")});
    r.runners = texts(v, "runners");
    if (const Value* const of = v.find("workloads"); of && of->get<Object>())
        for (const auto& [name, one] : *of->get<Object>())
            r.workloads[name] = {count(one, "offered"), count(one, "in_time")};
    const auto broken = numbers(v, "broken");
    for (std::size_t i = 0; i < broken.size() && i < 4; ++i)
        r.broken[i + 1] = static_cast<std::size_t>(broken[i]);
    for (const Value& one : list(v, "breaches"))
        r.breaches.push_back({static_cast<int>(count(one, "rule")), static_cast<Micros>(count(one, "at_us")),
                              text(one, "what"), text(one, "story")});
    r.missed = texts(v, "missed");
    r.void_because = text(v, "void_because"), r.cut_short = text(v, "cut_short");
    r.lateness_p99 = static_cast<Micros>(count(v, "lateness_p99_us")),
    r.lateness_most = static_cast<Micros>(count(v, "lateness_most_us"));
    r.cpu_us_a_task = v.find_number("cpu_us_a_task").value_or(0),
    r.memory_mb = v.find_number("memory_mb").value_or(0);
    r.wall_s = v.find_number("wall_s").value_or(0);
    return r;
}

std::vector<Result> read_folder(const std::string& path) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(path))
        if (entry.path().extension() == ".json") files.push_back(entry.path().string());
    std::sort(files.begin(), files.end());
    std::vector<Result> all;
    for (const std::string& file : files) all.push_back(from_json_file(file));
    return all;
}

}  // namespace gannethold::rehearsal
