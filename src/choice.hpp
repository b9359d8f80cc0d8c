// The decision module's interface: one Choice for each dispatcher.
//
//   Choice choice(orders, seed);          once, at start
//   choice.note(now, event);              for each thing that happened, in order
//   choice.settle(now, actions);          once a batch, after its last event; appends what is to be done
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "lore.hpp"
#include "types.hpp"

namespace gannethold {

// What the module holds of a runner, for an operator's view and the tests. Times are the caller's; slots and
// room count tasks, share and warmth are parts of one.
struct RunnerView {
    RunnerId runner{};
    bool ready = false, trial = false, doubted = false;
    double share = 0, slots = 0, room = 0, warmth = 1;
    int out = 0;
    Micros reported_at = -1, aside_until = 0;  // -1: it has not reported
};

class Choice {
  public:
    Choice(const StatedOrders& orders, std::uint64_t seed);
    Choice(const Choice& other);  // all that it knows, and its chance: from the same events comes the same
    ~Choice();

    void note(Micros now, const Event& event);
    void settle(Micros now, std::vector<Action>& out);

    std::map<RunnerId, double> fractions() const;  // for an operator's view and the tests
    std::vector<RunnerView> runners() const;
    // What was learned, for the one after; and what the one before had learned, aged by whoever kept it.
    // Heard once, after the list that was held; nothing of it makes a runner ready, warm or well. Of the
    // runners in so many places from that one on: all of them at once would hold up a loop.
    Lore lore(std::size_t from = 0, std::size_t most = static_cast<std::size_t>(-1)) const;
    void believe(const Lore& lore);

  private:
    class Desk;
    std::unique_ptr<Desk> desk_;
};

}  // namespace gannethold
