// The network between the places of a rehearsal: what delays, loses, narrows or cuts what goes from one to
// another. No I/O; a lane asks for each message what becomes of it.
#pragma once

#include <string>
#include <vector>

#include "model/chance.hpp"

namespace gannethold::rehearsal {

// A trouble on all ways between two places, in both directions. "" stands for any place.
struct PathTrouble {
    std::string from, to;
    Micros delay = 0;                  // one way, added
    double loses_connects = 0;         // the share of connects that never come up
    bool cut = false, resets = false;  // nothing passes: silently, or with a reset
    double bytes_a_second = 0;         // 0: as fast as it likes
};

struct Passage {
    bool cut = false, resets = false;
    Micros takes = 0;  // one way
    double loses_connects = 0;
};

class Paths {
  public:
    explicit Paths(Micros usual) : usual_(usual) {}

    std::size_t add(const PathTrouble& trouble) {
        troubles_.push_back({++number_, trouble});
        return number_;
    }
    void remove(std::size_t number) {
        std::erase_if(troubles_, [&](const auto& t) { return t.first == number; });
    }
    bool calm() const { return troubles_.empty(); }

    Passage between(const std::string& a, const std::string& b, std::size_t bytes) const {
        Passage p;
        p.takes = usual_;
        for (const auto& [number, t] : troubles_) {
            if (!(is(t.from, a) && is(t.to, b)) && !(is(t.from, b) && is(t.to, a))) continue;
            p.cut = p.cut || t.cut;
            p.resets = p.resets || (t.cut && t.resets);
            p.takes += t.delay;
            if (t.bytes_a_second > 0)
                p.takes += static_cast<Micros>(static_cast<double>(bytes) * 1e6 / t.bytes_a_second);
            p.loses_connects = 1 - (1 - p.loses_connects) * (1 - t.loses_connects);
        }
        return p;
    }

  private:
    static bool is(const std::string& wanted, const std::string& place) {
        // A place is "hall/name": either names it, and so does the whole.
        if (wanted.empty() || wanted == place) return true;
        const auto slash = place.find('/');
        return slash != std::string::npos && (place.compare(0, slash, wanted) == 0 ||
                                              place.compare(slash + 1, std::string::npos, wanted) == 0);
    }
    const Micros usual_;
    std::vector<std::pair<std::size_t, PathTrouble>> troubles_;
    std::size_t number_ = 0;
};

}  // namespace gannethold::rehearsal
