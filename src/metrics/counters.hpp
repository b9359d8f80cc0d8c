// What the dispatcher did since its process started, counted where it happens. No I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "fronts/front.hpp"

namespace gannethold::metrics {

// The tasks of a workload by their final answer.
struct AnswerCounts {
    std::uint64_t finished = 0;
    std::uint64_t rejected = 0;   // a retry is harmless
    std::uint64_t abandoned = 0;  // it may have run
};

// Counters never fall and never restart: a workload that is dropped from the settings keeps its counts, and
// goes on from them if it returns.
class Counters {
  public:
    // From now on that workload is listed, with zeros if nothing of it was answered yet.
    void add_workload(const std::string& workload) { answers_[workload]; }
    // A task's final answer. A task whose client has gone gets none, and is counted nowhere.
    void on_answered(const std::string& workload, fronts::Answer answer);
    // The last byte of an assignment was handed to the operating system.
    void on_assignment_written() { ++assignments_written_; }
    void on_reload_applied() { ++reloads_applied_; }
    void on_reload_rejected() { ++reloads_rejected_; }

    const std::map<std::string, AnswerCounts>& answers_by_workload() const { return answers_; }
    AnswerCounts total_answers() const;
    std::uint64_t assignments_written() const { return assignments_written_; }
    std::uint64_t reloads_applied() const { return reloads_applied_; }
    std::uint64_t reloads_rejected() const { return reloads_rejected_; }

  private:
    std::map<std::string, AnswerCounts> answers_;
    std::uint64_t assignments_written_ = 0;
    std::uint64_t reloads_applied_ = 0;
    std::uint64_t reloads_rejected_ = 0;
};

// Values at one moment.
struct Gauges {
    std::size_t outstanding_tasks = 0;  // accepted and not yet answered
    std::size_t listed_runners = 0;     // in the endpoint list, draining ones among them
    std::size_t ejected_runners = 0;    // of these, the ones that get nothing now for what they did
};

}  // namespace gannethold::metrics
