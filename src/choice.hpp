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

#include "types.hpp"

namespace gannethold {

class Choice {
  public:
    Choice(const StatedOrders& orders, std::uint64_t seed);
    ~Choice();

    void note(Micros now, const Event& event);
    void settle(Micros now, std::vector<Action>& out);

    std::map<RunnerId, double> fractions() const;  // for an operator's view and the tests

  private:
    class Desk;
    std::unique_ptr<Desk> desk_;
};

}  // namespace gannethold
