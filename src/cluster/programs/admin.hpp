// The admin endpoint, at which operators ask a running process what it did and why (`gannethold-explain`). It
// is off unless the flag --admin names an address.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "json/json.hpp"
#include "cluster/status/json_values.hpp"
#include "cluster/transport/http_server.hpp"

namespace gannethold::cluster {

/// Serves GET /explain?what=PART with JSON.
class ExplainResource {
  public:
    /// What the process tells of one part of its state; an empty `part` means all of it.
    using Explain = std::function<json::Value(const std::string& part)>;

    /// Listens nowhere where --admin is empty.
    ExplainResource(net::Loop& loop, Explain explain);
    /// Closes idle connections. Call it about twice a second.
    void sweep(Micros now) {
        if (service_) service_->close_expired(now);
    }

  private:
    void on_request(ExchangeId exchange, const HttpMessage& request);

    Explain explain_;
    std::unique_ptr<HttpServer> service_;
};

}  // namespace gannethold::cluster
