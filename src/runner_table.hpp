// The runners that one dispatcher knows, in a contiguous array that is cheap to scan and to search.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "state.hpp"

namespace gannethold {

// Runners sorted by nearness and id, with the split table beside them. It only stores and sorts.
class RunnerTable {
  public:
    // The split table, in the order of the runners. It is a separate array of small rows because a period's
    // step scans all of it, which must be cheap in a large fleet.
    std::vector<SplitRow> split;
    double near_fraction = 0;               // the sum of the near runners' fractions
    std::vector<std::size_t> with_samples;  // indexes of the runners that have samples of their own
    int ready_count = 0;

    std::vector<Runner>::iterator begin() { return runners_.begin(); }
    std::vector<Runner>::iterator end() { return runners_.end(); }
    Runner& operator[](std::size_t index) { return runners_[index]; }
    const Runner& operator[](std::size_t index) const { return runners_[index]; }
    std::size_t size() const { return runners_.size(); }
    bool empty() const { return runners_.empty(); }
    std::size_t near_count() const { return near_count_; }  // near runners come first
    SplitRow& row(const Runner& runner) { return split[index_of(runner)]; }
    std::size_t index_of(const Runner& runner) const {
        return static_cast<std::size_t>(&runner - runners_.data());
    }

    Runner* find(RunnerId id) {
        const auto before = [](const Runner& runner, RunnerId sought) {
            return runner.entry.runner < sought;
        };
        const auto first_far = runners_.begin() + static_cast<std::ptrdiff_t>(near_count_);
        auto found = std::lower_bound(runners_.begin(), first_far, id, before);
        if (found != first_far && found->entry.runner == id) return &*found;
        found = std::lower_bound(first_far, runners_.end(), id, before);
        return found != runners_.end() && found->entry.runner == id ? &*found : nullptr;
    }

    // Adds the ready runners that are not known yet and erases those that are not ready and have nothing in
    // flight. The caller then sets which runners are near and rebuilds the split table.
    void add_ready(const std::vector<EndpointEntry>& entries) {
        for (std::size_t i = 0; i < size(); ++i) runners_[i].fraction = split[i].fraction;
        std::erase_if(runners_, [](const Runner& runner) {
            return !runner.is_ready && runner.in_flight == 0 && !runner.is_probing;
        });
        count_near();
        std::vector<Runner> joined;
        for (const EndpointEntry& entry : entries) {
            if (entry.state != RunnerState::ready || find(entry.runner)) continue;
            joined.emplace_back().entry = entry;
        }
        runners_.insert(runners_.end(), joined.begin(), joined.end());
        sort_near_first();
        const auto is_same = [](const Runner& a, const Runner& b) {
            return a.entry.runner == b.entry.runner;
        };
        runners_.erase(std::unique(runners_.begin(), runners_.end(), is_same), runners_.end());
        count_near();
    }

    // Restores the order after the caller has changed which runners are near.
    void sort_near_first() {
        const auto rank = [](const Runner& runner) {
            return std::pair(!runner.is_near, runner.entry.runner);
        };
        std::sort(runners_.begin(), runners_.end(),
                  [&](const Runner& a, const Runner& b) { return rank(a) < rank(b); });
        count_near();
    }

    // A runner that a complete list does not name is no longer ready or, if absence is not binding, unlisted.
    void retain_listed(const std::vector<EndpointEntry>& entries, bool is_binding) {
        std::vector<RunnerId> listed;
        for (const EndpointEntry& entry : entries) listed.push_back(entry.runner);
        std::sort(listed.begin(), listed.end());
        for (Runner& runner : runners_) {
            const bool is_listed = std::binary_search(listed.begin(), listed.end(), runner.entry.runner);
            runner.is_unlisted = !is_binding && runner.is_ready && (runner.is_unlisted || !is_listed);
            runner.is_ready = runner.is_ready && (is_listed || !is_binding);
        }
    }

    // Rebuilds the split table after a change of membership; a runner that is not ready has no fraction.
    void rebuild_split() {
        split.resize(size());
        ready_count = count_ready();
        with_samples.clear();
        for (std::size_t i = 0; i < size(); ++i) {
            split[i].fraction = runners_[i].is_ready ? runners_[i].fraction : 0;
            if (runners_[i].has_samples) with_samples.push_back(i);
        }
        normalize();
    }

    // Takes a runner that is no longer ready out of the split, between two lists.
    void remove_from_split(const Runner& runner) {
        row(runner).fraction = 0;
        --ready_count;
        normalize();
    }

    // Scales the fractions to a sum of one.
    void normalize() {
        double sum = 0;
        for (const SplitRow& each : split) sum += each.fraction;
        for (SplitRow& each : split) each.fraction = sum > 0 ? each.fraction / sum : 0;
        near_fraction = 0;
        for (std::size_t i = 0; i < near_count_; ++i) near_fraction += split[i].fraction;
    }

    std::map<RunnerId, double> fractions() const {
        std::map<RunnerId, double> result;
        for (std::size_t i = 0; i < size(); ++i)
            if (runners_[i].is_ready) result[runners_[i].entry.runner] = split[i].fraction;
        return result;
    }

    int count_ready() const {
        return static_cast<int>(std::count_if(runners_.begin(), runners_.end(),
                                              [](const Runner& runner) { return runner.is_ready; }));
    }

  private:
    void count_near() {
        near_count_ = static_cast<std::size_t>(std::count_if(
            runners_.begin(), runners_.end(), [](const Runner& runner) { return runner.is_near; }));
    }

    std::vector<Runner> runners_;
    std::size_t near_count_ = 0;
};

}  // namespace gannethold
