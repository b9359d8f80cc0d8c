#include "log/log.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>

#include "json/json.hpp"

namespace gannethold::log {
namespace {

constexpr int kMaxLinesPerSecond = 20;
constexpr const char* kLevelNames[] = {"debug", "info", "warning", "error"};

// UTC in ISO 8601 with milliseconds, for log collectors.
std::string wall_time() {
    using namespace std::chrono;
    const auto ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    const std::time_t seconds = ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40], whole[48];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(whole, sizeof whole, "%s.%03dZ", text, static_cast<int>(ms % 1000));
    return whole;
}

}  // namespace

// Limits the lines per second, so that a flood of log lines does not cost more than the fault it reports.
bool Log::is_allowed(Micros now) {
    if (now >= second_ends_at_) {
        const int dropped = std::exchange(dropped_lines_, 0);
        second_ends_at_ = now + 1'000'000;
        lines_this_second_ = 0;
        if (dropped > 0) {
            Line line;
            add(line, field("count", dropped));
            add(line, " lines left out");
            write(Level::warning, line);
        }
    }
    if (lines_this_second_ >= kMaxLinesPerSecond) return ++dropped_lines_, false;
    return ++lines_this_second_, true;
}

void Log::write(Level level, const Line& line) {
    if (format_ == Format::plain) {
        out_ << kLevelNames[static_cast<int>(level)] << ": " << line.text.str() << '\n';
        out_.flush();
        return;
    }
    using json::Value;
    const auto quoted = [](const std::string& text) { return json::serialize(Value(text)); };
    out_ << "{\"time\":\"" << wall_time() << "\",\"level\":\"" << kLevelNames[static_cast<int>(level)]
         << "\",\"what\":" << quoted(line.text.str());
    for (const auto& [name, value] : line.fields) out_ << ',' << quoted(name) << ':' << quoted(value);
    out_ << "}\n";
    out_.flush();
}

}  // namespace gannethold::log
