// Log lines: one line of key=value pairs for each event, through log4cplus, to standard error.
//   Event("elected").with("term", 4).with("leader", address);          written when it goes out of scope
#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace gannethold::cluster {

enum class Level { debug, info, warning, error };

// Once, before the first event. Level names: debug, info, warning, error. False: no such level.
bool open_log(const std::string& level);

// Writes out what was logged and ends the logger's threads; events after it are dropped. Call it before
// main() returns.
void close_log();

class Event {
  public:
    explicit Event(std::string_view what, Level level = Level::info);
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event();

    template <class T>
    Event& with(std::string_view key, const T& value) {
        if (!on_) return *this;
        std::ostringstream text;
        text << value;
        return add(key, text.str());
    }

  private:
    Event& add(std::string_view key, const std::string& value);

    Level level_;
    bool on_;
    std::string line_;
};

}  // namespace gannethold::cluster
