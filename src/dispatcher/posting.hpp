// Where a dispatcher is posted: all that it is told at its start.
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

    // Throws std::runtime_error with one clear line.
    static Posting read(const std::string& text);
    static Posting read_file(const std::string& path);
};

}  // namespace gannethold::dispatcher
