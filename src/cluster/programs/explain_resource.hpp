// The admin endpoint of a running process, which `gannethold-explain` queries for recent decisions and their
// reasons. It is disabled unless the flag --admin gives an address.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "json/json.hpp"
#include "cluster/status/json_values.hpp"
#include "cluster/transport/http_server.hpp"

namespace gannethold::cluster {

/// Serves GET /explain?what=PART; the response is JSON.
class ExplainResource {
  public:
    /// Returns one part of the process's state as JSON; an empty `part` selects all of it.
    using Explain = std::function<json::Value(const std::string& part)>;

    /// Listens at the address of --admin, if there is one.
    ExplainResource(net::Loop& loop, Explain explain);
    /// Closes expired connections. Call it about twice a second.
    void sweep(Micros now) {
        if (server_) server_->close_expired(now);
    }

  private:
    void on_request(ExchangeId exchange, const HttpMessage& request);

    Explain explain_;
    std::unique_ptr<HttpServer> server_;
};

}  // namespace gannethold::cluster
