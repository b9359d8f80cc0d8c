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
      service_(loop, address,
               {[this](HttpService::Exchange exchange, HttpMessage&&) { on_probe(exchange); },
                [](HttpService::Exchange) {}},
               kMaxConnections) {}

void ReadinessServer::on_probe(HttpService::Exchange exchange) {
    switch (readiness_()) {
        case Readiness::shutting_down:
            return service_.answer(exchange, ErrorCode::leaving, {}, kRetryShutdownMs);
        case Readiness::no_configuration:
            return service_.answer(exchange, ErrorCode::no_majority, "no configuration yet",
                                   kRetryConfigurationMs);
        case Readiness::ready:
            break;
    }
    HttpMessage response;
    response.status = 200;
    service_.answer(exchange, response);
}

}  // namespace gannethold::cluster
