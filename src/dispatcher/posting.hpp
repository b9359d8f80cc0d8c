// Where a dispatcher is posted: all that it is told at its start, and again at a reload.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/address.hpp"
#include "peers/post.hpp"
#include "membership/endpoint_list.hpp"
#include "types.hpp"

namespace gannethold::dispatcher {

struct Posting {
    std::string name;
    net::Address listen, discovery;
    std::optional<int> inherited;  // the clients' listening socket, where the platform holds it
    std::string heirloom;  // the folder that it shares with the one before and the one after; empty: none
    std::optional<net::Address> window;  // where operators' programs call; none: nothing listens
    peers::Neighbours neighbours;
    std::uint64_t seed = 0;
    std::size_t memory_mb = 256, sockets = 1024;
    membership::EndpointList known;
    SettingsMap orders;
    std::vector<std::string> report_names;  // as runners spell them
    std::set<std::string>
        stated;  // which names stand in the file, down to those within a part of the settings

    std::size_t workloads() const;  // that the configuration names

    // What another posting has otherwise that cannot change in service, in the operators' names. Runners are
    // heard of from discovery, and a seed is new with each start, so neither counts.
    std::vector<std::string> differences_for_restart(const Posting& other) const;

    // Throws std::runtime_error where a name is missing that the one in force states: with a default in its
    // place, tasks would go by rules that nobody meant.
    void must_state_all_of(const Posting& in_force) const;
    // Takes from the one in force what cannot change in service.
    void keep_until_restart(const Posting& in_force);

    // Throws std::runtime_error with one clear line, also where the module could not go by its orders.
    static Posting read(const std::string& text);
    static Posting read_file(const std::string& path);
};

}  // namespace gannethold::dispatcher
