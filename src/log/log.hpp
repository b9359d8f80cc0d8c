// Lines for the operators: a level filter over an output stream, and a bound on lines a second. In plain form
// a line is a sentence; in JSON form it is one object with time, level, what (the same sentence), and by
// themselves the values that were named:
//
//   log.info(now, "reload: ", log::as("setting", name), " differs, and needs a restart");
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
enum class Form { plain, json };

template <class T>
struct Named {
    const char* name;
    const T& value;
};
template <class T>
Named<T> as(const char* name, const T& value) {
    return {name, value};
}

class Log {
  public:
    Log(std::ostream& out, Level least, Form form = Form::plain) : out_(out), least_(least), form_(form) {}

    void use(Form form) { form_ = form; }

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
    struct Line {
        std::ostringstream text;
        std::vector<std::pair<std::string, std::string>> fields;
    };

    template <class... Parts>
    void say(Micros now, Level level, const Parts&... parts) {
        if (level < least_ || !allowed(now)) return;
        Line line;
        (add(line, parts), ...);
        write(level, line);
    }
    template <class T>
    static void add(Line& line, const T& part) {
        line.text << part;
    }
    template <class T>
    static void add(Line& line, const Named<T>& part) {
        std::ostringstream value;
        value << part.value;
        line.text << value.str();
        line.fields.emplace_back(part.name, value.str());
    }

    bool allowed(Micros now);
    void write(Level level, const Line& line);

    std::ostream& out_;
    const Level least_;
    Form form_;
    Micros second_ends_ = 0;
    int lines_ = 0, left_out_ = 0;
};

}  // namespace gannethold::log
