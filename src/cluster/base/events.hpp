// Log lines for operators: each event is one line of key=value pairs on standard error, written by log4cpp.
// It starts no threads, and nothing is left to be written when a process ends.
//
//   Event("leader_elected").with("term", 4).with("leader", address);
//
// An event is a snake_case noun and verb; docs/on-call.md lists them all.
#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace gannethold::cluster {

enum class Level { debug, info, warning, error };

// Opens the log at a level: debug, info, warning or error; events below it are not written. False: there is
// no such level. REQUIRES: called before the first event and before a second thread is started. Events before
// it are dropped. Each line is written before the event's destructor returns.
bool open_log(const std::string& level);

// Collects one line and writes it when destroyed. Any number may exist at once; safe from several threads.
class Event {
  public:
    explicit Event(std::string_view name, Level level = Level::info);
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event();

    // The value as operator<< writes it; quoted where it would not stay one word.
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
