#include "control/tables.hpp"

#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ostream>

namespace gannethold::control {
namespace {

std::string text(const json::Value& object, const char* name) {
    const std::string* const value = object.find_string(name);
    if (value) return *value;
    const json::Value* const found = object.find(name);
    const json::Number* const as_number = found ? found->get<json::Number>() : nullptr;
    return as_number ? as_number->text : "";
}
double number(const json::Value& object, const char* name) { return object.find_number(name).value_or(0); }
std::string fixed(double value, int decimals) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.*f", decimals, value);
    return buffer;
}
const json::Array& list(const json::Value& object, const char* name) {
    static const json::Array none;
    const json::Value* const found = object.find(name);
    const json::Array* const array = found ? found->get<json::Array>() : nullptr;
    return array ? *array : none;
}
std::string time_of(const json::Value& object, const char* name) {
    return object.find_number(name) ? format_duration(number(object, name)) : "";
}

}  // namespace

std::size_t terminal_width() {
    winsize size{};
    if (ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) != 0 || size.ws_col == 0) return 100;
    return size.ws_col;
}

std::string format_duration(double ms) {
    if (ms < 0) return "-" + format_duration(-ms);
    if (ms < 1'000) return fixed(ms, 0) + " ms";
    if (ms < 120'000) return fixed(ms / 1e3, 1) + " s";
    if (ms < 7'200'000) return fixed(ms / 60e3, 0) + " min";
    return fixed(ms / 3.6e6, 1) + " h";
}

void Table::write(std::ostream& out, std::size_t width) const {
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_)
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::size_t total = 2 * (widths.size() - 1);
    for (const std::size_t column_width : widths) total += column_width;
    // If the row is too wide, the widest column shrinks first, down to 3 characters.
    while (total > width) {
        auto& widest = *std::max_element(widths.begin(), widths.end());
        if (widest <= 3) break;
        --widest, --total;
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < widths.size(); ++i) {
            std::string cell = i < row.size() ? row[i] : "";
            if (cell.size() > widths[i]) cell = cell.substr(0, widths[i] - 1) + "~";
            line += cell + std::string(widths[i] - cell.size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

std::string drain_line(const json::Value& drain) {
    std::string line = text(drain, "phase");
    if (drain.find_number("deadline_in_ms")) {
        const double remaining_ms = number(drain, "deadline_in_ms");
        line += remaining_ms > 0 ? ", deadline in " + format_duration(remaining_ms)
                                 : ", deadline was " + format_duration(-remaining_ms) + " ago";
    }
    if (drain.find_number("ticket")) line += ", ticket " + text(drain, "ticket") + " by " + text(drain, "by");
    line += ", " + text(drain, "tasks_left") + " tasks left";
    const json::Value* const by_workload = drain.find("left_by_workload");
    const json::Object* const counts = by_workload ? by_workload->get<json::Object>() : nullptr;
    std::string each;
    if (counts)
        for (const auto& [name, entry] : *counts)
            if (const auto* count = entry.get<json::Number>())
                each += (each.empty() ? " (" : ", ") + name + " " + count->text;
    return line + (each.empty() ? "" : each + ")");
}

void write_status(std::ostream& out, const json::Value& status) {
    out << text(status, "name") << " on " << text(status, "listen") << ": ";
    const json::Value* const drain = status.find("drain");
    if (drain) out << drain_line(*drain);
    out << "\nrunners " << text(status, "runners") << ": " << text(status, "ready") << " ready, "
        << text(status, "aside") << " set aside, " << text(status, "held") << " held (list version "
        << text(status, "roster_version") << ")\ntasks " << text(status, "tasks") << ": "
        << text(status, "out") << " out at runners; " << text(status, "connections")
        << " connections of clients\nso far " << text(status, "taken") << " taken, "
        << text(status, "finished") << " finished, " << text(status, "bounced") << " bounced, "
        << text(status, "abandoned") << " abandoned; " << text(status, "failed_assignments")
        << " assignments failed\n";
    if (const json::Value* const shadow = status.find("shadow")) {
        out << "shadow: " << text(*shadow, "decisions") << " decisions compared in " << text(*shadow, "turns")
            << " turns, " << text(*shadow, "left_out") << " turns left out for want of time";
        if (const json::Value* const differences = shadow->find("differ"))
            for (const auto& [kind, entry] : *differences->get<json::Object>())
                if (const auto* count = entry.get<json::Number>())
                    out << (kind == differences->get<json::Object>()->begin()->first ? "; otherwise: " : ", ")
                        << kind << ' ' << count->text;
        out << '\n';
    }
}

void write_runners(std::ostream& out, const json::Value& answer, std::size_t width) {
    Table table({"runner", "state", "share", "out", "free", "slots", "report", "why"});
    for (const json::Value& runner : list(answer, "runners")) {
        std::string notes;
        if (runner.find_string("held_by"))
            notes = "held by " + text(runner, "held_by") + " for " + time_of(runner, "held_for_ms") +
                    (runner.find_string("held_why") ? ": " + text(runner, "held_why") : "");
        if (runner.find_number("aside_for_ms"))
            notes +=
                (notes.empty() ? "" : "; ") + std::string("aside for ") + time_of(runner, "aside_for_ms");
        if (number(runner, "warmth") < 1 && runner.find_number("warmth"))
            notes += (notes.empty() ? "" : "; ") + std::string("warm to ") +
                     fixed(100 * number(runner, "warmth"), 0) + "%";
        std::string last_failures;
        for (const json::Value& failure : list(runner, "last_failures"))
            if (const auto* failure_text = failure.get<std::string>())
                last_failures += (last_failures.empty() ? "last: " : ", ") + *failure_text;
        if (!last_failures.empty()) notes += (notes.empty() ? "" : "; ") + last_failures;
        table.add({text(runner, "runner"), text(runner, "state"),
                   runner.find_number("share") ? fixed(100 * number(runner, "share"), 1) + "%" : "",
                   text(runner, "out"), runner.find_number("free") ? fixed(number(runner, "free"), 0) : "",
                   runner.find_number("slots") ? fixed(number(runner, "slots"), 0) : "",
                   time_of(runner, "report_age_ms"), notes});
    }
    table.write(out, width);
}

void write_tasks(std::ostream& out, const json::Value& answer, std::size_t width) {
    std::vector<std::string> titles{"workload", "waiting", "out", "oldest"};
    for (const json::Value& limit : list(answer, "age_limits_ms"))
        if (const auto* limit_ms = limit.get<json::Number>())
            titles.push_back("<" + format_duration(limit_ms->value()));
    titles.push_back("older");
    Table table(titles);
    for (const json::Value& task : list(answer, "tasks")) {
        std::vector<std::string> row{text(task, "workload"), text(task, "waiting"), text(task, "out"),
                                     time_of(task, "oldest_ms")};
        for (const json::Value& age : list(task, "ages"))
            if (const auto* count = age.get<json::Number>()) row.push_back(count->text);
        table.add(std::move(row));
    }
    table.write(out, width);
}

void write_failures(std::ostream& out, const json::Value& answer, std::size_t width) {
    Table table({"ago", "cause", "runner", "workload", "after", "request"});
    for (const json::Value& failure : list(answer, "failures"))
        table.add({time_of(failure, "ago_ms"), text(failure, "cause"), text(failure, "runner"),
                   text(failure, "workload"), time_of(failure, "after_ms"), text(failure, "request")});
    table.write(out, width);
    out << text(answer, "in_all") << " since the start\n";
}

std::string change_line(const json::Value& change) {
    const std::string what = text(change, "what");
    std::string line = text(change, "seq") + "  " + what + ": ";
    if (what == "drain") return line + drain_line(change);
    if (what == "failure")
        return line + text(change, "cause") + " at " + text(change, "runner") + " after " +
               time_of(change, "after_ms") + ", " + text(change, "workload") + " " + text(change, "request");
    if (what == "choice") return line + text(change, "text");
    return line + text(change, "runner") + " by " + text(change, "by");
}

}  // namespace gannethold::control
