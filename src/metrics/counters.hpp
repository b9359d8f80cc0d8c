// What the dispatcher did since its process began, counted where it happens. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fronts/front.hpp"

namespace gannethold::figures {

// How the tasks of one workload ended, by what their clients were told.
struct Ends {
    std::uint64_t finished = 0, bounced = 0, abandoned = 0;
};

// Counts never fall and never start anew: a workload that is dropped keeps its row, and has it again if it
// returns.
class Tally {
  public:
    // From now on that workload has a row, with zeros if nothing of it has ended yet.
    void open(const std::string& workload) { ends_[workload]; }
    // A task's final answer. A task whose client had left has none and is counted nowhere.
    void ended(const std::string& workload, fronts::Answer answer);
    // An assignment whose last byte was given to the system.
    void written_whole() { ++written_; }
    // A configuration at SIGHUP, taken or turned down.
    void reloaded(bool taken) { ++(taken ? reloads_taken_ : reloads_turned_down_); }

    const std::map<std::string, Ends>& ends() const { return ends_; }
    Ends all() const;
    std::uint64_t written() const { return written_; }
    std::uint64_t reloads_taken() const { return reloads_taken_; }
    std::uint64_t reloads_turned_down() const { return reloads_turned_down_; }

  private:
    std::map<std::string, Ends> ends_;
    std::uint64_t written_ = 0, reloads_taken_ = 0, reloads_turned_down_ = 0;
};

// What holds at one moment.
struct Present {
    std::size_t outstanding = 0;  // tasks taken and not yet answered
    std::size_t listed = 0;       // runners in the list, those that drain among them
    std::size_t avoided = 0;      // listed ones to which the module sends nothing now for what they did
};

}  // namespace gannethold::figures
