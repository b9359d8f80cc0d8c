// Discovery as the rehearsal plays it: the list of runners, its versions and its troubles. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::rehearsal {

struct Listed {
    std::size_t runner = 0;
    RunnerState state = RunnerState::ready;
    Micros started_at = 0;  // 0: long ago
};

// What one call or one line of a watch says.
struct Bulletin {
    std::uint32_t version = 0;
    bool full = false;
    std::vector<Listed> entries;
};

class Registry {
  public:
    explicit Registry(std::size_t runners) : now_held_(runners), changed_in_(runners, 1) {
        for (std::size_t i = 0; i < runners; ++i) now_held_[i].runner = i;
    }

    // A change is told from at + lag on.
    void change(Micros at, std::size_t runner, RunnerState state, Micros started_at) {
        pending_.push_back({at + lag, {runner, state, started_at}});
    }
    // Puts in what is due. True if there is something new to tell.
    bool pass(Micros now) {
        bool any = false;
        std::vector<Pending> later;
        for (const Pending& p : pending_) {
            if (p.at > now) {
                later.push_back(p);
                continue;
            }
            if (!any) ++version_;
            any = true;
            now_held_[p.entry.runner] = p.entry;
            changed_in_[p.entry.runner] = version_;
        }
        pending_ = std::move(later);
        return any;
    }
    std::optional<Micros> next() const {
        std::optional<Micros> soonest;
        for (const Pending& p : pending_)
            if (!soonest || p.at < *soonest) soonest = p.at;
        return soonest;
    }

    // What a watch that holds that version is told; none: the whole list.
    Bulletin since(std::optional<std::uint32_t> held) const {
        Bulletin b{version_, !held || *held > version_ || *held < first_, {}};
        for (std::size_t i = 0; i < now_held_.size(); ++i)
            if (b.full ? now_held_[i].state != RunnerState::gone : changed_in_[i] > *held)
                b.entries.push_back(now_held_[i]);
        return b;
    }
    // A discovery that restarted from nothing counts from the beginning, and knows all as of now.
    void count_anew() {
        version_ = first_ = 1;
        for (std::uint32_t& v : changed_in_) v = 1;
    }
    std::uint32_t version() const { return version_; }
    const Listed& held(std::size_t runner) const { return now_held_[runner]; }

    Micros lag = 0;
    bool down = false;

  private:
    struct Pending {
        Micros at;
        Listed entry;
    };
    std::vector<Listed> now_held_;
    std::vector<std::uint32_t> changed_in_;
    std::vector<Pending> pending_;
    std::uint32_t version_ = 1, first_ = 1;
};

}  // namespace gannethold::rehearsal
