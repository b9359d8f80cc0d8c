// The network between core machines: delays, losses, partitions, resets and limited uplinks.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cluster/wire/messages.hpp"
#include "environment.hpp"
#include "uplinks.hpp"

namespace gannethold::cluster::simulation {

/// The address of the core machine of that number, from 0.
std::string core_address(std::size_t core);

class Network {
  public:
    explicit Network(Environment& environment);

    /// A new machine, which all others reach.
    void add_machine();
    void cut(std::size_t from, std::size_t to, bool one_way = false);
    /// Ends every cut.
    void heal();
    /// What is in flight between the two is lost.
    void reset_connection(std::size_t one, std::size_t other);
    /// Its process was killed.
    void reset_machine(std::size_t machine);
    /// Calls on_arrived after the delay, unless the message is lost.
    void send(std::size_t from, std::size_t to, const Message& message, EventQueue::Action on_arrived);
    /// Since when no other machine both reaches this one and is reached by it; nothing if one does.
    std::optional<Micros> cut_off_since(std::size_t machine) const;
    /// The most that ever waited for one member.
    std::size_t max_queued_bytes() const { return max_queued_bytes_; }

  private:
    bool is_open(std::size_t from, std::size_t to) const { return !cuts_.contains({from, to}); }
    void update_cut_off();

    Environment& environment_;
    Uplinks uplinks_;
    std::size_t machines_ = 0;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<std::size_t, Micros> cut_off_since_;
    std::size_t max_queued_bytes_ = 0;
};

}  // namespace gannethold::cluster::simulation
