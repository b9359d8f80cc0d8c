// Structured log events for operators. Each event is one line of key=value pairs on standard error, written
// synchronously by log4cpp: logging starts no threads and needs no flush when the process ends.
//
//   Event("leader_elected").with("term", 4).with("leader", address);
//
// Event names are a noun and a verb in snake_case; docs/on-call.md lists all of them.
#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace gannethold::cluster {

enum class Level { debug, info, warning, error };

// Opens the log at a level (debug, info, warning or error); events below that level are not written. Returns
// false if there is no such level. REQUIRES: called before the first event and before a second thread is
// started; earlier events are dropped. Each line is written before the event's destructor returns.
bool open_log(const std::string& level);

// Collects one log line and writes it on destruction. Any number of events may exist at once, and threads may
// log concurrently.
class Event {
  public:
    explicit Event(std::string_view name, Level level = Level::info);
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event();

    // Appends key=value, with the value as operator<< formats it. It is quoted if it is empty or contains
    // spaces, quotes, line breaks, tabs or '='.
    template <class Value>
    Event& with(std::string_view key, const Value& value) {
        if (!is_enabled_) return *this;
        std::ostringstream text;
        text << value;
        return add(key, text.str());
    }

  private:
    Event& add(std::string_view key, const std::string& value);

    Level level_;
    bool is_enabled_;
    std::string line_;
};

}  // namespace gannethold::cluster
