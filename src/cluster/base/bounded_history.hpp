// An in-memory history of the most recent entries of a sequence, for operators to inspect.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>

namespace gannethold::cluster {

// Keeps at most max_size entries; a further entry evicts the oldest one. Not thread-safe.
template <class Entry>
class BoundedHistory {
  public:
    explicit BoundedHistory(std::size_t max_size) : max_size_(max_size) {}

    void add(Entry entry) {
        if (entries_.size() >= max_size_) entries_.pop_front();
        entries_.push_back(std::move(entry));
        ++total_added_;
    }
    // The entries that are kept, the oldest first.
    const std::deque<Entry>& entries() const { return entries_; }
    // The number of entries ever added, including the evicted ones.
    std::size_t total_added() const { return total_added_; }

  private:
    std::size_t max_size_;
    std::size_t total_added_ = 0;
    std::deque<Entry> entries_;
};

}  // namespace gannethold::cluster
