// Which tasks with effects are in flight, may have run or have ended, so that a retry of one never becomes a
// second execution: it joins the first, or gets the first's answer. No I/O and no clock: times are passed in,
// in microseconds, and never decrease.
//
// Bounded: executions that ended are evicted by their age, and the oldest first where there are too many.
// Those in flight never are, since tasks are bounded elsewhere. A retry of an evicted one counts as a first
// attempt: keep `retention` above the time for which clients go on retrying, and `max_entries` above the
// tasks with effects of that time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "types.hpp"

namespace gannethold::retry {

struct DeduplicationSettings {
    bool is_enabled = false;
    // A request marked as a retry, without an idempotency key, is known by workload, customer and key of its
    // path.
    bool matches_by_path = false;
    Micros retention = 600'000'000;        // after the end
    std::size_t max_entries = 10'000;      // of executions that have ended
    std::size_t max_bytes = 4 << 20;       // of keys and results
    std::size_t max_result_bytes = 8'192;  // a longer result is not kept: a retry learns that it may have run
};

enum class ExecutionState { in_flight, finished, may_have_run };

class ExecutionLog {
  public:
    explicit ExecutionLog(const DeduplicationSettings& settings) : settings_(settings) {}

    struct Execution {
        ExecutionState state{};
        TaskId task{};  // while it is in flight
        // Of one that finished and whose result was kept, else nullptr. Valid until the next call.
        const std::string* result = nullptr;
    };
    // What is known of the execution with that deduplication key; nullopt: it is new, or was evicted.
    std::optional<Execution> find(Micros now, const std::string& key);

    void on_started(Micros now, const std::string& key, TaskId task);
    // The end of an execution: its final answer, or that nobody waits for it any more. One that certainly
    // never ran is forgotten, so that a retry is a first attempt. Ignored where another task is in flight
    // with that key by now.
    void on_finished(Micros now, const std::string& key, TaskId task, std::string_view result);
    void on_may_have_run(Micros now, const std::string& key, TaskId task);
    void on_never_ran(const std::string& key, TaskId task);

    std::size_t size() const { return entries_.size(); }
    std::size_t bytes() const { return bytes_; }
    // How many were evicted before their retention was over.
    std::uint64_t evicted_early() const { return evicted_early_; }

  private:
    struct Entry {
        ExecutionState state = ExecutionState::in_flight;
        TaskId task{};
        Micros ended_at = 0;
        std::uint64_t number = 0;  // of all entries, in the order of their start
        std::string result;
        bool has_result = false;  // that was kept
    };
    using Entries = std::unordered_map<std::string, Entry>;
    // An entry as it ended. It refers to none where the entry of that key has another number by now.
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
