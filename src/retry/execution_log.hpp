// Records which tasks with side effects are in flight, may have run or have ended, so that a retry never
// becomes a second execution: it joins the first one, or gets its answer. No I/O and no clock: times are
// passed in, in microseconds, and never decrease.
//
// Bounded: ended executions are evicted by age, and the oldest first if there are too many. Executions in
// flight are never evicted, since the number of tasks is bounded elsewhere. A retry of an evicted execution
// counts as a first attempt: keep `retention` above the time for which clients retry, and `max_entries` above
// the number of tasks with side effects in that time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "types.hpp"

namespace gannethold::retry {

// Settings of the deduplication of retries.
struct DeduplicationSettings {
    bool is_enabled = false;
    // Retries without an idempotency key are matched by workload, customer and the key in their path.
    bool matches_by_path = false;
    Micros retention = 600'000'000;    // after the end of an execution
    std::size_t max_entries = 10'000;  // of executions that have ended
    std::size_t max_bytes = 4 << 20;   // of keys and results
    std::size_t max_result_bytes =
        8'192;  // longer results are not kept; a retry is told that the task may have run
};

enum class ExecutionState { in_flight, finished, may_have_run };

class ExecutionLog {
  public:
    explicit ExecutionLog(const DeduplicationSettings& settings) : settings_(settings) {}

    struct Execution {
        ExecutionState state{};
        TaskId task{};  // while it is in flight
        // The result, if it finished and its result was kept, else nullptr. Valid until the next call.
        const std::string* result = nullptr;
    };
    // The execution with that deduplication key; nullopt: unknown or evicted.
    std::optional<Execution> find(Micros now, const std::string& key);

    void on_started(Micros now, const std::string& key, TaskId task);
    // The end of an execution: its final answer, or the loss of its last client. An execution that certainly
    // never ran is removed, so that a retry is a first attempt. Ignored if another task is in flight with
    // that key by now.
    void on_finished(Micros now, const std::string& key, TaskId task, std::string_view result);
    void on_may_have_run(Micros now, const std::string& key, TaskId task);
    void on_never_ran(const std::string& key, TaskId task);

    std::size_t size() const { return entries_.size(); }
    std::size_t bytes() const { return bytes_; }
    // Entries evicted before the end of their retention.
    std::uint64_t evicted_early() const { return evicted_early_; }

  private:
    struct Entry {
        ExecutionState state = ExecutionState::in_flight;
        TaskId task{};
        Micros ended_at = 0;
        std::uint64_t number = 0;  // consecutive, in the order of the starts
        std::string result;
        bool has_result = false;  // and it was kept
    };
    using Entries = std::unordered_map<std::string, Entry>;
    // Refers to an ended entry. Stale if the entry with that key has another number by now.
    struct EndedEntry {
        std::string key;
        std::uint64_t number = 0;
    };

    void end(Micros now, Entries::iterator entry, ExecutionState state);
    Entries::iterator find_in_flight(const std::string& key, TaskId task);
    void erase(Entries::iterator entry);
    void evict(Micros now);
    static std::size_t bytes_of(const Entries::value_type& entry);

    const DeduplicationSettings settings_;
    Entries entries_;
    std::deque<EndedEntry> ended_;  // the oldest first
    std::size_t bytes_ = 0;
    std::size_t ended_entries_ = 0;
    std::uint64_t last_number_ = 0;
    std::uint64_t evicted_early_ = 0;
};

}  // namespace gannethold::retry
