#include "retry/execution_log.hpp"

namespace gannethold::retry {
namespace {

// The approximate memory of an entry besides its key and result.
constexpr std::size_t kEntryOverheadBytes = 160;

}  // namespace

std::optional<ExecutionLog::Execution> ExecutionLog::find(Micros now, const std::string& key) {
    evict(now);
    const auto found = entries_.find(key);
    if (found == entries_.end()) return std::nullopt;
    const Entry& entry = found->second;
    const bool has_result = entry.state == ExecutionState::finished && entry.has_result;
    return Execution{entry.state, entry.task, has_result ? &entry.result : nullptr};
}

void ExecutionLog::on_started(Micros now, const std::string& key, TaskId task) {
    evict(now);
    if (const auto earlier = entries_.find(key); earlier != entries_.end()) erase(earlier);
    Entry entry;
    entry.task = task;
    entry.number = ++last_number_;
    bytes_ += bytes_of(*entries_.emplace(key, std::move(entry)).first);
}

void ExecutionLog::on_finished(Micros now, const std::string& key, TaskId task, std::string_view result) {
    const auto entry = find_in_flight(key, task);
    if (entry == entries_.end()) return;
    entry->second.has_result = result.size() <= settings_.max_result_bytes;
    if (entry->second.has_result) {
        entry->second.result = result;
        bytes_ += result.size();
    }
    end(now, entry, ExecutionState::finished);
}

void ExecutionLog::on_may_have_run(Micros now, const std::string& key, TaskId task) {
    const auto entry = find_in_flight(key, task);
    if (entry != entries_.end()) end(now, entry, ExecutionState::may_have_run);
}

void ExecutionLog::on_never_ran(const std::string& key, TaskId task) {
    const auto entry = find_in_flight(key, task);
    if (entry != entries_.end()) erase(entry);
}

void ExecutionLog::end(Micros now, Entries::iterator entry, ExecutionState state) {
    entry->second.state = state;
    entry->second.ended_at = now;
    entry->second.task = {};
    ++ended_entries_;
    ended_.push_back({entry->first, entry->second.number});
    evict(now);
}

ExecutionLog::Entries::iterator ExecutionLog::find_in_flight(const std::string& key, TaskId task) {
    const auto entry = entries_.find(key);
    if (entry == entries_.end()) return entry;
    const bool is_in_flight = entry->second.state == ExecutionState::in_flight && entry->second.task == task;
    return is_in_flight ? entry : entries_.end();
}

void ExecutionLog::erase(Entries::iterator entry) {
    bytes_ -= bytes_of(*entry);
    if (entry->second.state != ExecutionState::in_flight) --ended_entries_;
    entries_.erase(entry);
}

void ExecutionLog::evict(Micros now) {
    while (!ended_.empty()) {
        const EndedEntry& oldest = ended_.front();
        const auto entry = entries_.find(oldest.key);
        if (entry != entries_.end() && entry->second.number == oldest.number) {
            const bool is_expired = now - entry->second.ended_at >= settings_.retention;
            const bool is_over_limit = ended_entries_ > settings_.max_entries || bytes_ > settings_.max_bytes;
            if (!is_expired && !is_over_limit) return;
            if (!is_expired) ++evicted_early_;
            erase(entry);
        }
        ended_.pop_front();
    }
}

std::size_t ExecutionLog::bytes_of(const Entries::value_type& entry) {
    return kEntryOverheadBytes + entry.first.size() + entry.second.result.size();
}

}  // namespace gannethold::retry
