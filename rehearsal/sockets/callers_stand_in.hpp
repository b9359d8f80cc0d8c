// Clients on sockets, behind a front that knows which dispatchers are healthy. Open loop: a call is made when
// it is due, whatever became of those before; in a closed loop each connection calls again once it is
// answered.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/reader.hpp"
#include "model/callers.hpp"
#include "net/connection.hpp"
#include "results/tally.hpp"
#include "sockets/backstage.hpp"

namespace gannethold::rehearsal {

class CallersStandIn {
  public:
    CallersStandIn(Backstage& backstage, Tally& tally, std::uint64_t seed,
                   std::vector<net::Address> dispatchers);
    ~CallersStandIn();

    void begin();
    void surge(double factor) { callers_.surge = factor; }
    // The dispatcher's process is gone without having answered: what it had is ours to repeat, where
    // harmless.
    void died(std::size_t dispatcher);
    void back(std::size_t dispatcher);  // it is being started; the front finds out by itself when it is ready
    bool healthy(std::size_t dispatcher) const { return places_[dispatcher].healthy; }
    std::size_t open_at(std::size_t dispatcher) const;  // tasks that it took and has not answered
    bool done() const;                                  // no call is to come, and none is open
    void give_up_all();                                 // at the end: what is still open counts as lost
    void sweep();
    Latencies lateness;  // of calls, behind when they were meant
    std::uint64_t connections() const { return connections_; }

  private:
    class Line;
    struct Origin {
        Call call;
        Micros deadline = 0;
        int tries = 0;
        bool over = false, sent_again = false;
        std::uint64_t request = 0;
        std::size_t dispatcher = 0;
    };
    struct Place {
        net::Address address;
        bool healthy = false, dead = false;
        std::size_t lines = 0;
        std::vector<Line*> idle;
        std::deque<std::size_t> waiting;  // origins for which no connection is free
    };

    void next_call();
    void call(std::size_t origin);
    void send(std::size_t origin, std::size_t dispatcher, std::uint64_t request);
    std::string text_of(std::size_t origin, std::uint64_t request) const;
    void answered(Line& line, int status, const std::string& body, std::optional<double> retry_after);
    void ended(Line& line, net::CloseReason ending, bool any_byte);
    void done_with(std::size_t origin, Fate fate);
    void free_line(Line& line);
    void check_health();
    bool harmless(const Origin& o) const;
    std::size_t pick();

    Backstage& backstage_;
    Tally& tally_;
    Callers callers_;
    Chance chance_;
    std::vector<Place> places_;
    std::deque<Origin> origins_;
    std::list<std::unique_ptr<Line>> lines_;
    std::uint64_t requests_ = 0, connections_ = 0, open_ = 0;
    std::size_t turn_ = 0;
    bool more_ = true, ending_ = false;
    net::Timer health_;
};

}  // namespace gannethold::rehearsal
