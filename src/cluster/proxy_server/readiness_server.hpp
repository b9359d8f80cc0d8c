// Answers the platform's probes of whether this process takes requests.
#pragma once

#include <functional>

#include "cluster/transport/http_server.hpp"

namespace gannethold::cluster {

enum class Readiness {
    ready,
    no_configuration,  ///< none was received yet
    shutting_down,
};

class ReadinessServer {
  public:
    ReadinessServer(net::Loop& loop, const net::Address& address, std::function<Readiness()> readiness);

    void sweep(Micros now) { server_.close_expired(now); }

  private:
    void on_probe(ExchangeId exchange);

    std::function<Readiness()> readiness_;
    HttpServer server_;
};

}  // namespace gannethold::cluster
