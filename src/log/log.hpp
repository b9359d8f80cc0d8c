// The log for operators: an output stream with a minimum level and a limit of lines per second. In the plain
// format a line is a sentence; in the JSON format it is one object with time, level, what (the same
// sentence), and a member for each named value of the sentence:
//
//   log.info(now, "reload: ", log::field("setting", name), " differs, and needs a restart");
#pragma once

#include <ostream>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "types.hpp"

namespace gannethold::log {

enum class Level { debug, info, warning, error };
enum class Format { plain, json };

// A value of a log line that is also a member of its own in the JSON format.
template <class T>
struct NamedValue {
    const char* name;
    const T& value;
};
template <class T>
NamedValue<T> field(const char* name, const T& value) {
    return {name, value};
}

class Log {
  public:
    Log(std::ostream& out, Level min_level, Format format = Format::plain)
        : out_(out), min_level_(min_level), format_(format) {}

    void set_format(Format format) { format_ = format; }

    template <class... Parts>
    void debug(Micros now, const Parts&... parts) {
        write_if_allowed(now, Level::debug, parts...);
    }
    template <class... Parts>
    void info(Micros now, const Parts&... parts) {
        write_if_allowed(now, Level::info, parts...);
    }
    template <class... Parts>
    void warning(Micros now, const Parts&... parts) {
        write_if_allowed(now, Level::warning, parts...);
    }
    template <class... Parts>
    void error(Micros now, const Parts&... parts) {
        write_if_allowed(now, Level::error, parts...);
    }

  private:
    struct Line {
        std::ostringstream text;
        std::vector<std::pair<std::string, std::string>> fields;
    };

    template <class... Parts>
    void write_if_allowed(Micros now, Level level, const Parts&... parts) {
        if (level < min_level_ || !is_allowed(now)) return;
        Line line;
        (add(line, parts), ...);
        write(level, line);
    }
    template <class T>
    static void add(Line& line, const T& part) {
        line.text << part;
    }
    template <class T>
    static void add(Line& line, const NamedValue<T>& part) {
        std::ostringstream value;
        value << part.value;
        line.text << value.str();
        line.fields.emplace_back(part.name, value.str());
    }

    bool is_allowed(Micros now);
    void write(Level level, const Line& line);

    std::ostream& out_;
    const Level min_level_;
    Format format_;
    Micros second_ends_at_ = 0;
    int lines_this_second_ = 0, dropped_lines_ = 0;
};

}  // namespace gannethold::log
