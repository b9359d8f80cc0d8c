// Words between dispatchers, one datagram each. They may be late or lost, and nothing is answered.
#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "net/address.hpp"
#include "net/loop.hpp"
#include "types.hpp"

namespace gannethold::peers {

// Where this dispatcher hears, and where it reaches the others, each in the place of its number.
struct Neighbours {
    std::optional<net::Address> listen;
    std::vector<net::Address> all;
    std::size_t me = 0;
};

class Post {
  public:
    using Heard = std::function<void(PeerId, std::string_view)>;

    Post(net::Loop& loop, const Neighbours& neighbours, Heard heard);
    ~Post();
    Post(const Post&) = delete;
    Post& operator=(const Post&) = delete;

    void tell(PeerId to, std::string_view words);
    void tell_all(std::string_view words);

  private:
    void read();

    const Neighbours neighbours_;
    Heard heard_;
    int socket_ = -1;
    net::EventHandle readable_{nullptr, &event_free};
};

}  // namespace gannethold::peers
