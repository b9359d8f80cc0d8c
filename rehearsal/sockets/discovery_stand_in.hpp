// Discovery on sockets: one place for each dispatcher, so that it is known who was told what, and when.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "sockets/backstage.hpp"
#include "sockets/gate.hpp"

namespace gannethold::rehearsal {

class DiscoveryStandIn {
  public:
    // address_of: how a runner is reached by a dispatcher.
    using AddressOf = std::function<std::string(std::size_t dispatcher, std::size_t runner)>;

    DiscoveryStandIn(Backstage& backstage, AddressOf address_of);
    ~DiscoveryStandIn();

    void move(const std::vector<net::Address>& places);  // listens there from now on, and nowhere else
    void down(bool down);                                // watches end, calls are refused
    void end_watches();
    void tell();        // what is due goes to all who watch
    void day_begins();  // the day's clock stands at 0 now
    void sweep();
    std::string listing(std::size_t dispatcher, const Bulletin& bulletin) const;
    std::uint64_t calls() const { return calls_; }

  private:
    class Session;
    void accept(std::size_t dispatcher, evutil_socket_t socket);
    void note_told(std::size_t dispatcher, const Bulletin& bulletin);

    Backstage& backstage_;
    AddressOf address_of_;
    std::vector<net::Address> at_;
    std::vector<std::unique_ptr<Gate>> gates_;
    std::list<std::unique_ptr<Session>> sessions_;
    std::uint64_t calls_ = 0;
    std::int64_t unix_began_us_ = 0;  // the day's beginning on the wall clock, which all machines read
    net::Timer beat_;
};

}  // namespace gannethold::rehearsal
