// A runner on sockets: one place to connect to for each dispatcher, and the model's runner behind them all.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/reader.hpp"
#include "net/connection.hpp"
#include "sockets/backstage.hpp"
#include "sockets/gate.hpp"

namespace gannethold::rehearsal {

class RunnerStandIn {
  public:
    RunnerStandIn(Backstage& backstage, std::size_t runner, const std::vector<net::Address>& places);
    ~RunnerStandIn();

    void said(const std::vector<Word>& words);
    void down();  // connections end, new ones are refused
    void up();
    void look_at_paths();  // opens, shuts or silences the gates as the network now is
    void wake();           // sets the timer for what the model does next
    void sweep();
    std::uint64_t connections() const { return connections_; }

  private:
    class Session;
    struct Place {
        std::unique_ptr<Gate> gate;
        bool loses = false;  // it has a share of lost connects, played in slices of time
    };
    void accept(std::size_t dispatcher, evutil_socket_t socket);
    void set_gate(std::size_t dispatcher);
    void lose_now_and_then(std::size_t dispatcher);
    void pass();
    Runner& model() { return backstage_.theatre->runners[runner_]; }

    Backstage& backstage_;
    const std::size_t runner_;
    std::vector<Place> places_;
    std::list<std::unique_ptr<Session>> sessions_;
    std::map<std::uint64_t, Session*> by_token_;
    std::map<std::uint64_t, Session*> by_id_;
    std::uint64_t ids_ = 0, connections_ = 0;
    Chance chance_;
    net::Timer wake_;
};

}  // namespace gannethold::rehearsal
