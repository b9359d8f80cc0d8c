#include "cluster/proxy_server/downstream_server.hpp"

#include "cluster/proxy_server/forwarding.hpp"

namespace gannethold::cluster {
namespace {

// The proxy identifies a request by the number of its HTTP exchange.
RequestId request_id(ExchangeId exchange) { return static_cast<RequestId>(exchange); }

}  // namespace

DownstreamServer::DownstreamServer(net::Loop& loop, const net::Address& address, std::size_t max_connections,
                                   Events events)
    : events_(std::move(events)),
      server_(loop, address,
              {.on_request =
                   [this](ExchangeId exchange, HttpMessage&& message) {
                       on_request(request_id(exchange), std::move(message));
                   },
               .on_client_disconnected =
                   [this](ExchangeId exchange) {
                       const RequestId id = request_id(exchange);
                       requests_.erase(id);  // prevents further attempts
                       events_.on_client_disconnected(id);
                   }},
              max_connections) {}

void DownstreamServer::on_request(RequestId id, HttpMessage&& message) {
    const std::uint32_t deadline_ms = parse_deadline_ms(message.field(kDeadlineHeader));
    const std::string host(message.field("Host"));
    const std::string target = message.target;
    requests_[id].message = std::move(message);
    events_.on_request(id, host, target, deadline_ms);
}

DownstreamRequest* DownstreamServer::find(RequestId id) {
    const auto request = requests_.find(id);
    return request == requests_.end() ? nullptr : &request->second;
}

void DownstreamServer::reply(const Actions::LocalReply& local_reply) {
    server_.respond(ExchangeId{local_reply.request}, local_reply.error, {}, local_reply.retry_after_ms);
    requests_.erase(local_reply.request);
}

void DownstreamServer::relay(RequestId id, HttpMessage&& upstream_response) {
    server_.respond(ExchangeId{id}, make_downstream_response(std::move(upstream_response)));
    requests_.erase(id);
}

}  // namespace gannethold::cluster
