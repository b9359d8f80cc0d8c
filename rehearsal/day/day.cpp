#include "day/day.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

#include "toml/toml_reader.hpp"

namespace gannethold::rehearsal {
namespace {

using toml::TomlReader;

constexpr double kDay = 86'400;

Micros seconds(const TomlReader& s, const std::string& name, double otherwise, double least = 0,
               double most = kDay) {
    return static_cast<Micros>(s.get_number(name, otherwise, least, most) * 1e6);
}
Micros millis(const TomlReader& s, const std::string& name, double otherwise, double least = 0,
              double most = kDay * 1e3) {
    return static_cast<Micros>(s.get_number(name, otherwise, least, most) * 1e3);
}

struct FaultWord {
    const char* word;
    FaultKind kind;
    enum { runners, dispatchers, paths, nothing } strikes;
    double least, usual, most;  // of the amount
};

constexpr std::array<FaultWord, 26> kFaults{{
    {"crash", FaultKind::crash, FaultWord::runners, 0, 0, 0},
    {"hang", FaultKind::hang, FaultWord::runners, 0, 0, 0},
    {"vanish", FaultKind::vanish, FaultWord::runners, 0, 0, 0},
    {"stall", FaultKind::stall, FaultWord::runners, 0, 0, 0},
    {"slow", FaultKind::slow, FaultWord::runners, 1, 4, 1000},
    {"errors", FaultKind::errors, FaultWord::runners, 0, 1, 1},
    {"garbled", FaultKind::garbled, FaultWord::runners, 0, 1, 1},
    {"cut-answers", FaultKind::cut_answers, FaultWord::runners, 0, 1, 1},
    {"resets", FaultKind::resets, FaultWord::runners, 0, 0.1, 1},
    {"late-reports", FaultKind::late_reports, FaultWord::runners, 0, 2, 20},
    {"drain", FaultKind::drain, FaultWord::runners, 0, 0, 0},
    {"release", FaultKind::release, FaultWord::runners, 0, 1, 60},
    {"discovery-down", FaultKind::discovery_down, FaultWord::nothing, 0, 0, 0},
    {"discovery-lag", FaultKind::discovery_lag, FaultWord::nothing, 0, 2, 60},
    {"discovery-moved", FaultKind::discovery_moved, FaultWord::nothing, 0, 0, 0},
    {"discovery-back", FaultKind::discovery_back, FaultWord::nothing, 0, 0, 0},
    {"delay", FaultKind::delay, FaultWord::paths, 0, 20, 10'000},
    {"connects-lost", FaultKind::connects_lost, FaultWord::paths, 0, 0.2, 1},
    {"cut", FaultKind::cut, FaultWord::paths, 0, 0, 0},
    {"narrow", FaultKind::narrow, FaultWord::paths, 1, 100'000, 1e9},
    {"kill", FaultKind::kill, FaultWord::dispatchers, 0, 0, 0},
    {"restart", FaultKind::restart, FaultWord::dispatchers, 0, 0, 0},
    {"reload", FaultKind::reload, FaultWord::dispatchers, 0, 0, 0},
    {"drain-dispatcher", FaultKind::drain_dispatcher, FaultWord::dispatchers, 0, 5, 3600},
    {"hold", FaultKind::hold, FaultWord::runners, 0, 0, 0},
    {"surge", FaultKind::surge, FaultWord::nothing, 0, 3, 1000},
}};

void read_runners(const TomlReader& all, Day& day) {
    std::set<std::string> names;
    std::uint32_t cell = 0;
    for (const TomlReader& s : all.get_tables("runners")) {
        RunnerPlan plan;
        const auto count = s.get_integer("count", 1, 1, 20'000);
        const std::string name = s.get_string("name", "r");
        plan.kind = s.get_string("kind", "m");
        plan.hall = s.get_string("hall", day.halls.front());
        if (std::find(day.halls.begin(), day.halls.end(), plan.hall) == day.halls.end())
            s.reject("hall", "names a hall that is not in halls: " + plan.hall);
        Build& b = plan.build;
        b.cores = s.get_number("cores", 4, 0.1, 1e4);
        b.slots = s.get_number("slots", b.cores, 1, 1e4);
        b.speed = s.get_number("speed", 1, 0.001, 1e3);
        b.memory = s.get_number("memory", 1e9, 0, 1e12);
        b.queue = static_cast<std::size_t>(s.get_integer("queue", 16, 0, 100'000));
        b.cold_from = s.get_number("cold_from", 0.2, 0.01, 1);
        b.warm_after = seconds(s, "warm_after_s", 10);
        b.topples_beyond = s.get_number("topples_beyond", 4, 0, 1e6);
        b.topple_window = seconds(s, "topple_window_s", 2, 0.01);
        b.progress_every = millis(s, "progress_ms", 0);
        b.tells_start = s.get_bool("tells_start", true);
        b.handshake = static_cast<Micros>(s.get_number("handshake_us", 0, 0, 1e6));
        b.keeps_idle = seconds(s, "keeps_idle_s", 30, 0.01);
        const auto per_cell = s.get_integer("per_cell", 4, 1, 20'000);
        for (std::int64_t i = 0; i < count; ++i) {
            if (i % per_cell == 0) ++cell;
            plan.cell = cell;
            plan.name = count == 1 && s.has("name") ? name : name + "-" + std::to_string(i + 1);
            if (!names.insert(plan.name).second) s.reject("name", "stands twice: " + plan.name);
            day.runners.push_back(plan);
        }
    }
    if (day.runners.empty()) all.reject("runners", "is missing: a day needs at least one [[runners]]");
}

void read_workloads(const TomlReader& all, Day& day) {
    for (const TomlReader& s : all.get_tables("workloads")) {
        WorkloadPlan w;
        w.name = s.get_string("name", "task");
        const std::string effect =
            s.get_one_of("effect", {"idempotent", "fingerprinted", "side-effecting"}, "idempotent");
        w.effect = effect == "idempotent"      ? Effects::idempotent
                   : effect == "fingerprinted" ? Effects::fingerprinted
                                               : Effects::side_effecting;
        const std::string group = s.get_one_of("group", {"cell", "zone", "all"}, "all");
        w.group = group == "cell" ? Group::cell : group == "zone" ? Group::zone : Group::all;
        w.work = millis(s, "work_ms", 50, 0.001);
        w.spread = s.get_number("spread", 0.5, 0, 3);
        w.due = millis(s, "due_ms", 500, 1);
        w.expiry = millis(s, "expiry_ms", 3'000, 1);
        if (w.expiry < w.due) s.reject("expiry_ms", "is before due_ms");
        w.window = millis(s, "window_ms", static_cast<double>(w.expiry) / 1e3);
        w.importance = s.get_number("importance", 1, 0, 1e6);
        w.tardy = s.get_number("tardy_importance", 0, 0, 1);
        w.share = s.get_number("share", 1, 0, 1e6);
        w.slots = s.get_number("slots", 1, 0.01, 1e4);
        w.memory = s.get_number("memory", 0, 0, 1e12);
        w.hinted = s.get_bool("hinted", false);
        day.workloads.push_back(std::move(w));
    }
    if (day.workloads.empty()) all.reject("workloads", "is missing: a day needs at least one [[workloads]]");
    for (const TomlReader& s : all.get_tables("customers")) {
        CustomerPlan c;
        c.name = s.get_string("name", "customer");
        c.share = s.get_number("share", 1, 0, 1e6);
        c.allowance = s.get_number("allowance", 0, 0, 1e9);
        day.customers.push_back(std::move(c));
    }
}

void read_clients(const TomlReader& s, Day& day) {
    ClientPlan& c = day.clients;
    const std::string how =
        s.get_one_of("arrivals", {"poisson", "even", "bursts", "replayed", "closed"}, "poisson");
    c.arrivals = how == "poisson"    ? Arrivals::poisson
                 : how == "even"     ? Arrivals::even
                 : how == "bursts"   ? Arrivals::bursts
                 : how == "replayed" ? Arrivals::replayed
                                     : Arrivals::closed;
    const double load = s.get_number("load", 0.5, 0, 100);
    c.rate = s.get_number("rate", load * day.tasks_a_second_at_most(), 0, 1e7);
    c.burst_every = millis(s, "burst_every_ms", 1'000, 1);
    for (const double t : s.get_numbers("times_s", 0, kDay)) c.times.push_back(static_cast<Micros>(t * 1e6));
    std::sort(c.times.begin(), c.times.end());
    const bool timed = !c.times.empty();
    if (c.arrivals == Arrivals::replayed && !timed)
        s.reject("times_s", "is missing, and arrivals is \"replayed\"");
    if (c.arrivals != Arrivals::replayed && timed) s.reject("times_s", "is only for arrivals = \"replayed\"");
    // Against a day that passes because nothing was asked of it.
    if (c.rate <= 0 && c.arrivals != Arrivals::replayed && c.arrivals != Arrivals::closed)
        s.reject(s.has("rate") ? "rate" : "load", "is 0: a day with no load shows nothing");
    c.connections = static_cast<std::size_t>(s.get_integer("connections", 64, 1, 20'000));
    c.tries = static_cast<int>(s.get_integer("tries", 3, 1, 100));
    c.retry_after = millis(s, "retry_after_ms", 200);
    c.marks = s.get_bool("marks_retries", false);
    c.leaves = s.get_number("leaves", 0, 0, 1);
    c.connect_limit = millis(s, "connect_limit_ms", 1'000, 1);
}

void read_dispatchers(const TomlReader& s, Day& day) {
    DispatcherPlan& d = day.dispatchers;
    d.count = static_cast<std::size_t>(s.get_integer("count", 1, 1, 2'000));
    d.sockets = static_cast<std::size_t>(s.get_integer("sockets", 1024, 32, 1'000'000));
    d.memory_mb = static_cast<std::size_t>(s.get_integer("memory_mb", 64, 1, 100'000));
    d.reports = s.has("reports") ? s.get_strings("reports") : std::vector<std::string>{"x0", "q", "rif"};
    for (const std::string& name : d.reports)
        if (name != "x0" && name != "q" && name != "rif" && name != "busy")
            s.reject("reports", "holds \"" + name + "\"; runners here tell x0 (free slots), q, rif and busy");
    d.probes = s.get_bool("probes", true);
    d.words = s.get_bool("words", false);
    d.on_request = s.get_one_of("roster", {"on-request", "pushed"}, "on-request") == "on-request";
    d.keepsake = s.get_bool("keepsake", false);
    d.poisoned = s.get_bool("poisoned", false);
    d.assignments = static_cast<int>(s.get_integer("assignments", 3, 1, 16));
    d.resolution = millis(s, "resolution_ms", 1, 0.05, 1e3);
    d.connect_limit = millis(s, "connect_limit_ms", 250, 1);
    d.longest_away = millis(s, "longest_away_ms", 2'000);
}

void read_faults(const TomlReader& all, Day& day) {
    for (const TomlReader& s : all.get_tables("fault")) {
        FaultPlan f;
        f.what = s.get_string("what", "");
        const auto known = std::find_if(kFaults.begin(), kFaults.end(),
                                        [&](const FaultWord& w) { return f.what == w.word; });
        if (known == kFaults.end()) {
            std::vector<std::string> words;
            for (const FaultWord& w : kFaults) words.emplace_back(w.word);
            const std::string near = toml::closest_name(f.what, words);
            s.reject("what", "is no fault: \"" + f.what + "\"" +
                                 (near.empty() ? "" : "; did you mean " + near + "?"));
        }
        f.kind = known->kind;
        f.at = seconds(s, "at_s", 0);
        f.lasting = seconds(s, "for_s", 0);
        if (f.at >= day.length) s.reject("at_s", "is after the day's end");
        f.amount = known->most > 0 ? s.get_number("amount", known->usual, known->least, known->most) : 0;
        if (known->strikes == FaultWord::runners || known->strikes == FaultWord::dispatchers) {
            f.on = s.get_string("on", "");
            f.apart = seconds(s, "apart_s", 0);
            if (f.on.empty()) s.reject("on", "is missing: " + f.what + " has to strike somebody");
            const bool runners = known->strikes == FaultWord::runners;
            const bool hall = f.on.starts_with("hall:");
            if (hall && std::find(day.halls.begin(), day.halls.end(), f.on.substr(5)) == day.halls.end())
                s.reject("on", "names a hall that is not in halls: " + f.on.substr(5));
            if (!runners && f.on != "all" && !hall) {
                const auto number = f.on.starts_with("d-") ? std::atoi(f.on.c_str() + 2) : 0;
                if (number < 1 || static_cast<std::size_t>(number) > day.dispatchers.count)
                    s.reject("on", "is no dispatcher: \"" + f.on + "\"; they are d-1 to d-" +
                                       std::to_string(day.dispatchers.count));
            }
            if (runners && f.on.find(" of ") == std::string::npos && f.on != "all" &&
                !f.on.starts_with("hall:") && !f.on.starts_with("kind:") &&
                std::none_of(day.runners.begin(), day.runners.end(),
                             [&](const RunnerPlan& r) { return r.name == f.on; })) {
                std::vector<std::string> names;
                for (const RunnerPlan& r : day.runners) names.push_back(r.name);
                const std::string near = toml::closest_name(f.on, names);
                s.reject("on", "is no runner: \"" + f.on + "\"" +
                                   (near.empty() ? "" : "; did you mean " + near + "?"));
            }
        }
        if (known->strikes == FaultWord::paths) {
            f.from = s.get_string("from", "");
            f.to = s.get_string("to", "");
            f.resets = s.get_one_of("mode", {"silent", "reset"}, "silent") == "reset";
        }
        day.faults.push_back(std::move(f));
    }
}

const char* spelled(Effects e) {
    return e == Effects::idempotent ? "pure" : e == Effects::fingerprinted ? "token" : "side_effect";
}
const char* spelled(Group g) { return g == Group::cell ? "cell" : g == Group::zone ? "zone" : "all"; }

}  // namespace

bool Day::plays_on(const std::string& lane) const {
    return std::find(lanes.begin(), lanes.end(), lane) != lanes.end();
}

double Day::tasks_a_second_at_most() const {
    double able = 0, each = 0, shares = 0;
    for (const RunnerPlan& r : runners) able += std::min(r.build.cores, r.build.slots) * r.build.speed;
    for (const WorkloadPlan& w : workloads)
        each += w.share * static_cast<double>(w.work) * w.slots, shares += w.share;
    return each > 0 ? able * 1e6 / (each / shares) : 0;
}

std::string Day::posting(std::size_t d, const std::string& listen, const std::string& discovery,
                         std::uint64_t seed, const std::string& known, const std::string& more) const {
    std::ostringstream out;
    const auto yes = [](bool b) { return b ? "true" : "false"; };
    const auto list = [&](const std::vector<std::string>& names) {
        std::string text;
        for (const std::string& n : names) text += (text.empty() ? "\"" : ",\"") + n + "\"";
        return "[" + text + "]";
    };
    std::vector<std::string> kinds;
    for (const RunnerPlan& r : runners)
        if (std::find(kinds.begin(), kinds.end(), r.kind) == kinds.end()) kinds.push_back(r.kind);
    const Build& b = runners.front().build;
    std::size_t zone = d % halls.size();
    out << "{\"name\":\"d-" << d + 1 << "\",\"listen\":\"" << listen << "\",\"discovery\":\"" << discovery
        << "\",\"seed\":\"" << std::hex << seed << std::dec
        << "\",\"limits\":{\"memory_mb\":" << dispatchers.memory_mb << ",\"sockets\":" << dispatchers.sockets
        << "},\"known\":" << known << more << ",\"settings\":{\"balancers\":" << dispatchers.count
        << ",\"me\":" << d << ",\"zone\":" << zone << ",\"dcs\":" << list(halls)
        << ",\"kinds\":" << list(kinds) << ",\"registry_mode\":\""
        << (dispatchers.on_request ? "on_request" : "pushed")
        << "\",\"resolution_us\":" << dispatchers.resolution
        << ",\"reporting\":{\"how\":\"piggyback\",\"names\":" << list(dispatchers.reports)
        << "},\"specifics\":{\"report_x0\":\"free slots\",\"tells_start\":" << yes(b.tells_start)
        << "},\"clients\":{\"marks_retry\":" << yes(clients.marks)
        << "},\"caps\":{\"cancelling\":true,\"parallel_tries\":false,\"probes\":" << yes(dispatchers.probes)
        << ",\"may_tell\":" << yes(dispatchers.words)
        << ",\"connect_timeout_us\":" << dispatchers.connect_limit << ",\"keepalive_us\":" << b.keeps_idle
        << ",\"max_assignments\":" << dispatchers.assignments
        << ",\"retry_after\":true,\"max_retry_after_us\":" << dispatchers.longest_away
        << "},\"rules\":{\"cold_from\":" << b.cold_from << ",\"warm_after_us\":" << b.warm_after
        << ",\"fall_multiple\":" << (b.topples_beyond > 0 ? b.topples_beyond : 1e6)
        << ",\"tip_after_us\":" << b.topple_window << ",\"drain_grace_us\":" << rules.grace
        << ",\"must_ask_in_us\":" << rules.must_ask << "},\"workloads\":[";
    for (const WorkloadPlan& w : workloads)
        out << (&w == &workloads.front() ? "" : ",") << "{\"name\":\"" << w.name << "\",\"effect\":\""
            << spelled(w.effect) << "\",\"group\":\"" << spelled(w.group) << "\",\"due_time_us\":" << w.due
            << ",\"expiry_us\":" << w.expiry << ",\"window_us\":" << w.window
            << ",\"importance\":" << w.importance << ",\"tardy_importance\":" << w.tardy << "}";
    out << "]";
    if (!customers.empty()) {
        out << ",\"tenants\":[";
        for (const CustomerPlan& c : customers)
            out << (&c == &customers.front() ? "" : ",") << "{\"name\":\"" << c.name
                << "\",\"allowance_per_s\":" << (c.allowance > 0 ? c.allowance : 1e9) << "}";
        out << "]";
    }
    out << "}}";
    return out.str();
}

Day read_day(const std::string& text, const std::string& source) {
    const TomlReader all = TomlReader::read(text, source);
    Day day;
    day.source = source;
    const auto slash = source.rfind('/') + 1;
    day.name = all.get_string("name", source.substr(slash, source.rfind('.') - slash));
    day.what = all.get_string("what", "");
    day.length = seconds(all, "length_s", 10, 0.1);
    day.warm = seconds(all, "warm_s", 0);
    if (day.warm >= day.length) all.reject("warm_s", "is not before the day's end");
    for (const double seed : all.get_numbers("seeds", 0, 9e15))
        day.seeds.push_back(static_cast<std::uint64_t>(seed));
    if (day.seeds.empty()) day.seeds = {1, 2, 3};
    day.halls = all.has("halls") ? all.get_strings("halls") : std::vector<std::string>{"a"};
    if (day.halls.empty()) all.reject("halls", "is empty");
    day.lanes = all.has("lanes") ? all.get_strings("lanes") : std::vector<std::string>{"virtual", "sockets"};
    for (const std::string& lane : day.lanes)
        if (lane != "virtual" && lane != "sockets")
            all.reject("lanes", "holds \"" + lane + "\"; there are virtual and sockets");
    day.path_delay = static_cast<Micros>(all.get_number("path_delay_us", 100, 0, 1e6));
    read_runners(all, day);
    read_workloads(all, day);
    read_clients(all.get_table("clients"), day);
    read_dispatchers(all.get_table("dispatchers"), day);
    day.discovery_lag = millis(all.get_table("discovery"), "lag_ms", 50);
    const TomlReader rules = all.get_table("rules");
    day.rules.grace = millis(rules, "grace_ms", 1'000);
    day.rules.slack = millis(rules, "slack_ms", 60);
    day.rules.must_ask = millis(rules, "must_ask_ms", 10'000, 1);
    read_faults(all, day);
    const TomlReader goals = all.get_table("goals");
    if (goals.has("in_time")) day.goals.in_time = goals.get_number("in_time", 0, 0, 1);
    if (goals.has("answered")) day.goals.answered = goals.get_number("answered", 0, 0, 1);
    if (goals.has("p99_ms")) day.goals.p99 = millis(goals, "p99_ms", 0);
    if (goals.has("worst_second")) day.goals.worst_second = goals.get_number("worst_second", 0, 0, 1);
    day.goals.drained_in_time = goals.get_bool("drained_in_time", false);
    all.reject_unread_names();
    return day;
}

Day read_day_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw toml::TomlError(path + ":0: cannot be read");
    return read_day({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}, path);
}

}  // namespace gannethold::rehearsal
