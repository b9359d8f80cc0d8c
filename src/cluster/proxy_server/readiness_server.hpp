// The endpoint for the platform's readiness probes.
#pragma once

#include <functional>

#include "cluster/transport/http_server.hpp"

namespace gannethold::cluster {

/// Whether this process accepts requests, or the reason why it does not.
enum class Readiness {
    ready,
    no_configuration,  ///< no configuration has been received
    shutting_down,
};

/// Answers each request with status 200 if the process is ready, and with an error otherwise.
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
