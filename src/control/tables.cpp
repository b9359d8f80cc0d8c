#include "control/tables.hpp"

#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ostream>

namespace gannethold::control {
namespace {

std::string text(const json::Value& v, const char* name) {
    const std::string* const t = v.find_string(name);
    if (t) return *t;
    const json::Value* const found = v.find(name);
    const json::Number* const n = found ? found->get<json::Number>() : nullptr;
    return n ? n->text : "";
}
double number(const json::Value& v, const char* name) { return v.find_number(name).value_or(0); }
std::string fixed(double x, int places) {
    char out[32];
    std::snprintf(out, sizeof out, "%.*f", places, x);
    return out;
}
const json::Array& list(const json::Value& v, const char* name) {
    static const json::Array none;
    const json::Value* const found = v.find(name);
    const json::Array* const all = found ? found->get<json::Array>() : nullptr;
    return all ? *all : none;
}
std::string time_of(const json::Value& v, const char* name) {
    return v.find_number(name) ? span(number(v, name)) : "";
}

}  // namespace

std::size_t terminal_width() {
    winsize size{};
    if (ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) != 0 || size.ws_col == 0) return 100;
    return size.ws_col;
}

std::string span(double ms) {
    if (ms < 0) return "-" + span(-ms);
    if (ms < 1'000) return fixed(ms, 0) + " ms";
    if (ms < 120'000) return fixed(ms / 1e3, 1) + " s";
    if (ms < 7'200'000) return fixed(ms / 60e3, 0) + " min";
    return fixed(ms / 3.6e6, 1) + " h";
}

void Table::write(std::ostream& out, std::size_t width) const {
    std::vector<std::size_t> wide(rows_.front().size());
    for (const auto& row : rows_)
        for (std::size_t i = 0; i < row.size() && i < wide.size(); ++i)
            wide[i] = std::max(wide[i], row[i].size());
    std::size_t all = 2 * (wide.size() - 1);
    for (const std::size_t w : wide) all += w;
    // If the row is too wide, the widest column shrinks first, down to 3 characters.
    while (all > width) {
        auto& widest = *std::max_element(wide.begin(), wide.end());
        if (widest <= 3) break;
        --widest, --all;
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < wide.size(); ++i) {
            std::string cell = i < row.size() ? row[i] : "";
            if (cell.size() > wide[i]) cell = cell.substr(0, wide[i] - 1) + "~";
            line += cell + std::string(wide[i] - cell.size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

std::string drain_line(const json::Value& drain) {
    std::string line = text(drain, "phase");
    if (drain.find_number("deadline_in_ms")) {
        const double left = number(drain, "deadline_in_ms");
        line += left > 0 ? ", deadline in " + span(left) : ", deadline was " + span(-left) + " ago";
    }
    if (drain.find_number("ticket")) line += ", ticket " + text(drain, "ticket") + " by " + text(drain, "by");
    line += ", " + text(drain, "tasks_left") + " tasks left";
    const json::Value* const by = drain.find("left_by_workload");
    const json::Object* const of = by ? by->get<json::Object>() : nullptr;
    std::string each;
    if (of)
        for (const auto& [name, n] : *of)
            if (const auto* count = n.get<json::Number>())
                each += (each.empty() ? " (" : ", ") + name + " " + count->text;
    return line + (each.empty() ? "" : each + ")");
}

void write_status(std::ostream& out, const json::Value& a) {
    out << text(a, "name") << " on " << text(a, "listen") << ": ";
    const json::Value* const drain = a.find("drain");
    if (drain) out << drain_line(*drain);
    out << "\nrunners " << text(a, "runners") << ": " << text(a, "ready") << " ready, " << text(a, "aside")
        << " set aside, " << text(a, "held") << " held (list version " << text(a, "roster_version")
        << ")\ntasks " << text(a, "tasks") << ": " << text(a, "out") << " out at runners; "
        << text(a, "connections") << " connections of clients\nso far " << text(a, "taken") << " taken, "
        << text(a, "finished") << " finished, " << text(a, "bounced") << " bounced, " << text(a, "abandoned")
        << " abandoned; " << text(a, "failed_assignments") << " assignments failed\n";
    if (const json::Value* const s = a.find("shadow")) {
        out << "shadow: " << text(*s, "decisions") << " decisions compared in " << text(*s, "turns")
            << " turns, " << text(*s, "left_out") << " turns left out for want of time";
        if (const json::Value* const differ = s->find("differ"))
            for (const auto& [kind, n] : *differ->get<json::Object>())
                if (const auto* count = n.get<json::Number>())
                    out << (kind == differ->get<json::Object>()->begin()->first ? "; otherwise: " : ", ")
                        << kind << ' ' << count->text;
        out << '\n';
    }
}

void write_runners(std::ostream& out, const json::Value& a, std::size_t width) {
    Table table({"runner", "state", "share", "out", "free", "slots", "report", "why"});
    for (const json::Value& r : list(a, "runners")) {
        std::string why;
        if (r.find_string("held_by"))
            why = "held by " + text(r, "held_by") + " for " + time_of(r, "held_for_ms") +
                  (r.find_string("held_why") ? ": " + text(r, "held_why") : "");
        if (r.find_number("aside_for_ms"))
            why += (why.empty() ? "" : "; ") + std::string("aside for ") + time_of(r, "aside_for_ms");
        if (number(r, "warmth") < 1 && r.find_number("warmth"))
            why += (why.empty() ? "" : "; ") + std::string("warm to ") + fixed(100 * number(r, "warmth"), 0) +
                   "%";
        std::string last;
        for (const json::Value& f : list(r, "last_failures"))
            if (const auto* t = f.get<std::string>()) last += (last.empty() ? "last: " : ", ") + *t;
        if (!last.empty()) why += (why.empty() ? "" : "; ") + last;
        table.add({text(r, "runner"), text(r, "state"),
                   r.find_number("share") ? fixed(100 * number(r, "share"), 1) + "%" : "", text(r, "out"),
                   r.find_number("free") ? fixed(number(r, "free"), 0) : "",
                   r.find_number("slots") ? fixed(number(r, "slots"), 0) : "", time_of(r, "report_age_ms"),
                   why});
    }
    table.write(out, width);
}

void write_tasks(std::ostream& out, const json::Value& a, std::size_t width) {
    std::vector<std::string> titles{"workload", "waiting", "out", "oldest"};
    for (const json::Value& limit : list(a, "age_limits_ms"))
        if (const auto* n = limit.get<json::Number>()) titles.push_back("<" + span(n->value()));
    titles.push_back("older");
    Table table(titles);
    for (const json::Value& t : list(a, "tasks")) {
        std::vector<std::string> row{text(t, "workload"), text(t, "waiting"), text(t, "out"),
                                     time_of(t, "oldest_ms")};
        for (const json::Value& n : list(t, "ages"))
            if (const auto* count = n.get<json::Number>()) row.push_back(count->text);
        table.add(std::move(row));
    }
    table.write(out, width);
}

void write_failures(std::ostream& out, const json::Value& a, std::size_t width) {
    Table table({"ago", "cause", "runner", "workload", "after", "request"});
    for (const json::Value& f : list(a, "failures"))
        table.add({time_of(f, "ago_ms"), text(f, "cause"), text(f, "runner"), text(f, "workload"),
                   time_of(f, "after_ms"), text(f, "request")});
    table.write(out, width);
    out << text(a, "in_all") << " since the start\n";
}

std::string change_line(const json::Value& c) {
    const std::string what = text(c, "what");
    std::string line = text(c, "seq") + "  " + what + ": ";
    if (what == "drain") return line + drain_line(c);
    if (what == "failure")
        return line + text(c, "cause") + " at " + text(c, "runner") + " after " + time_of(c, "after_ms") +
               ", " + text(c, "workload") + " " + text(c, "request");
    if (what == "choice") return line + text(c, "text");
    return line + text(c, "runner") + " by " + text(c, "by");
}

}  // namespace gannethold::control
