// Where a dispatcher is posted: all that it is told at its start, and again at a reload.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/address.hpp"
#include "peers/post.hpp"
#include "roster/listing.hpp"
#include "types.hpp"

namespace gannethold::dispatcher {

struct Posting {
    std::string name;
    net::Address listen, discovery;
    peers::Neighbours neighbours;
    std::uint64_t seed = 0;
    std::size_t memory_mb = 256, sockets = 1024;
    roster::Listing known;
    StatedOrders orders;
    std::vector<std::string> report_names;  // as runners spell them

    // What another posting has otherwise that cannot change in service, in the operators' names. Runners are
    // heard of from discovery, and a seed is new with each start, so neither counts.
    std::vector<std::string> differences_for_restart(const Posting& other) const;

    // Throws std::runtime_error with one clear line, also where the module could not go by its orders.
    static Posting read(const std::string& text);
    static Posting read_file(const std::string& path);
};

}  // namespace gannethold::dispatcher
