// The runners of one dispatcher in a row that is cheap to walk and to search. Keeps, finds and orders them
// only.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "ledger.hpp"

namespace gannethold {

class Fleet {
  public:
    // The split table, in the order of the runners; small and apart from them, since a fleet may be large and
    // a period must cost little to a dispatcher with hardly a task in it.
    std::vector<Share> table;
    double near_sum = 0;               // of the near ones' fractions
    std::vector<std::size_t> sampled;  // the runners with samples of their own
    int ready = 0;

    std::vector<Runner>::iterator begin() { return runners_.begin(); }
    std::vector<Runner>::iterator end() { return runners_.end(); }
    Runner& operator[](std::size_t place) { return runners_[place]; }
    const Runner& operator[](std::size_t place) const { return runners_[place]; }
    std::size_t size() const { return runners_.size(); }
    bool empty() const { return runners_.empty(); }
    std::size_t near() const { return near_; }  // the near ones stand first
    Share& share(const Runner& r) { return table[place(r)]; }
    std::size_t place(const Runner& r) const { return static_cast<std::size_t>(&r - runners_.data()); }

    Runner* find(RunnerId id) {
        const auto before = [](const Runner& r, RunnerId sought) { return r.entry.runner < sought; };
        const auto split = runners_.begin() + static_cast<std::ptrdiff_t>(near_);
        auto found = std::lower_bound(runners_.begin(), split, id, before);
        if (found != split && found->entry.runner == id) return &*found;
        found = std::lower_bound(split, runners_.end(), id, before);
        return found != runners_.end() && found->entry.runner == id ? &*found : nullptr;
    }

    // Makes place for ready runners not seen before, in that of those that are gone for good.
    // Who is near among those that joined, and the table, is for the caller to settle.
    void seat(const std::vector<RosterEntry>& entries) {
        for (std::size_t i = 0; i < size(); ++i) runners_[i].fraction = table[i].fraction;
        std::erase_if(runners_, [](const Runner& r) { return !r.ready && r.out == 0 && !r.probing; });
        count_near();
        std::vector<Runner> joined;
        for (const RosterEntry& e : entries) {
            if (e.state != RunnerState::ready || find(e.runner)) continue;
            joined.emplace_back().entry = e;
        }
        runners_.insert(runners_.end(), joined.begin(), joined.end());
        order();
        const auto twice = [](const Runner& a, const Runner& b) { return a.entry.runner == b.entry.runner; };
        runners_.erase(std::unique(runners_.begin(), runners_.end(), twice), runners_.end());
        count_near();
    }

    // The near ones first; by whoever has changed which they are.
    void order() {
        const auto rank = [](const Runner& r) { return std::pair(!r.near, r.entry.runner); };
        std::sort(runners_.begin(), runners_.end(),
                  [&](const Runner& a, const Runner& b) { return rank(a) < rank(b); });
        count_near();
    }

    // What a complete list does not name is not ready any more or, where that does not bind, unlisted.
    void keep_only(const std::vector<RosterEntry>& entries, bool binds) {
        std::vector<RunnerId> listed;
        for (const RosterEntry& e : entries) listed.push_back(e.runner);
        std::sort(listed.begin(), listed.end());
        for (Runner& r : runners_) {
            const bool named = std::binary_search(listed.begin(), listed.end(), r.entry.runner);
            r.unlisted = !binds && r.ready && (r.unlisted || !named);
            r.ready = r.ready && (named || !binds);
        }
    }

    // The split table anew after a change of the list; what is not ready has no share.
    void lay_out() {
        table.resize(size());
        ready = count_ready();
        sampled.clear();
        for (std::size_t i = 0; i < size(); ++i) {
            table[i].fraction = runners_[i].ready ? runners_[i].fraction : 0;
            if (runners_[i].sampled) sampled.push_back(i);
        }
        rescale();
    }

    // One that is not ready any more, between two lists.
    void leave_out(const Runner& r) {
        share(r).fraction = 0;
        --ready;
        rescale();
    }

    void rescale() {
        double sum = 0;
        for (const Share& s : table) sum += s.fraction;
        for (Share& s : table) s.fraction = sum > 0 ? s.fraction / sum : 0;
        near_sum = 0;
        for (std::size_t i = 0; i < near_; ++i) near_sum += table[i].fraction;
    }

    std::map<RunnerId, double> shares() const {
        std::map<RunnerId, double> of;
        for (std::size_t i = 0; i < size(); ++i)
            if (runners_[i].ready) of[runners_[i].entry.runner] = table[i].fraction;
        return of;
    }

    int count_ready() const {
        return static_cast<int>(
            std::count_if(runners_.begin(), runners_.end(), [](const Runner& r) { return r.ready; }));
    }

  private:
    void count_near() {
        near_ = static_cast<std::size_t>(
            std::count_if(runners_.begin(), runners_.end(), [](const Runner& r) { return r.near; }));
    }

    std::vector<Runner> runners_;
    std::size_t near_ = 0;
};

}  // namespace gannethold
