// The place where operators ask a running process what it did and why (`gannethold explain`). Off unless
// --admin names an address. One handler object for the one resource: GET /explain?what=WORD answers JSON.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "json/json.hpp"
#include "cluster/transport/http_server.hpp"

namespace gannethold::cluster {

class ExplainResource {
  public:
    using Tell = std::function<json::Value(const std::string& what)>;
    // Does nothing where the flag is empty.
    ExplainResource(net::Loop& loop, Tell tell);
    void sweep(Micros now) {
        if (service_) service_->close_expired(now);
    }

  private:
    void asked(ExchangeId exchange, const HttpMessage& request);

    Tell tell_;
    std::unique_ptr<HttpServer> service_;
};

// Short hands for what processes tell.
json::Value told(double number);
json::Value told(std::string text);
json::Value told_ms(Micros span);

}  // namespace gannethold::cluster
