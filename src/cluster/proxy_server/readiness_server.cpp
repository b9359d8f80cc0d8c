#include "cluster/proxy_server/readiness_server.hpp"

#include <utility>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr std::uint32_t kRetryShutdownMs = 1000;
constexpr std::uint32_t kRetryConfigurationMs = 500;

}  // namespace

ReadinessServer::ReadinessServer(net::Loop& loop, const net::Address& address,
                                 std::function<Readiness()> readiness)
    : readiness_(std::move(readiness)),
      server_(loop, address,
              {.on_request = [this](ExchangeId exchange, HttpMessage&&) { on_probe(exchange); }},
              kMaxConnections) {}

void ReadinessServer::on_probe(ExchangeId exchange) {
    switch (readiness_()) {
        case Readiness::shutting_down:
            return server_.respond(exchange, ErrorCode::leaving, {}, kRetryShutdownMs);
        case Readiness::no_configuration:
            return server_.respond(exchange, ErrorCode::no_majority, "no configuration yet",
                                   kRetryConfigurationMs);
        case Readiness::ready:
            break;
    }
    HttpMessage response;
    response.status = 200;
    server_.respond(exchange, response);
}

}  // namespace gannethold::cluster
