// Counters and gauges of the dispatcher, since its process started. No I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "frontend/task_sink.hpp"

namespace gannethold::metrics {

// The number of a workload's tasks for each final answer.
struct AnswerCounts {
    std::uint64_t finished = 0;
    std::uint64_t rejected = 0;   // not executed: a retry is safe
    std::uint64_t abandoned = 0;  // it may have run
};

// Counters are monotonic: a workload that is removed from the settings keeps its counts, and continues from
// them if it is added again.
class Counters {
  public:
    // Lists the workload from now on, with zeros until its first answer.
    void add_workload(const std::string& workload) { answers_[workload]; }
    // A task's final answer. A task whose client has disconnected gets none, and is not counted.
    void on_answered(const std::string& workload, frontend::Answer answer);
    // The last byte of an assignment was passed to the operating system.
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
    std::size_t listed_runners = 0;     // in the endpoint list, including draining ones
    std::size_t ejected_runners = 0;    // of these, excluded by outlier ejection
};

}  // namespace gannethold::metrics
