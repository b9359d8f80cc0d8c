// Lines for the operators: a level filter over an output stream, and a bound on lines a second.
#pragma once

#include <ostream>
#include <string>
#include <string_view>

#include "types.hpp"

namespace gannethold::log {

enum class Level { debug, info, warning, error };

class Log {
  public:
    Log(std::ostream& out, Level least) : out_(out), least_(least) {}

    template <class... Parts>
    void debug(Micros now, const Parts&... parts) {
        say(now, Level::debug, parts...);
    }
    template <class... Parts>
    void info(Micros now, const Parts&... parts) {
        say(now, Level::info, parts...);
    }
    template <class... Parts>
    void warning(Micros now, const Parts&... parts) {
        say(now, Level::warning, parts...);
    }
    template <class... Parts>
    void error(Micros now, const Parts&... parts) {
        say(now, Level::error, parts...);
    }

  private:
    static constexpr int kLinesASecond = 20;

    template <class... Parts>
    void say(Micros now, Level level, const Parts&... parts) {
        if (level < least_ || !allowed(now)) return;
        constexpr const char* kNames[] = {"debug", "info", "warning", "error"};
        out_ << kNames[static_cast<int>(level)] << ": ";
        (out_ << ... << parts) << '\n';
        out_.flush();
    }

    // Against a storm of lines that costs more than the trouble it tells of.
    bool allowed(Micros now) {
        if (now >= second_ends_) {
            if (left_out_ > 0) out_ << "warning: " << left_out_ << " lines left out\n";
            second_ends_ = now + 1'000'000;
            lines_ = left_out_ = 0;
        }
        if (lines_ >= kLinesASecond) return ++left_out_, false;
        return ++lines_, true;
    }

    std::ostream& out_;
    const Level least_;
    Micros second_ends_ = 0;
    int lines_ = 0, left_out_ = 0;
};

}  // namespace gannethold::log
