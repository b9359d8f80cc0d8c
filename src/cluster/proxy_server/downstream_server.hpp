// The clients' side of a proxy: takes their requests and writes their responses.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/proxy/actions.hpp"
#include "cluster/transport/http_server.hpp"

namespace gannethold::cluster {

/// A request whose client waits for its response.
struct DownstreamRequest {
    HttpMessage message;
    std::vector<std::string> attempted_addresses;  ///< of the runners that it was sent to
};

class DownstreamServer {
  public:
    /// Called from the loop, never within reply() or relay().
    struct Events {
        std::function<void(RequestId, std::string_view host, std::string_view target,
                           std::uint32_t deadline_ms)>
            request_received;
        /// The client does not wait any more.
        std::function<void(RequestId)> client_disconnected;
    };
    DownstreamServer(net::Loop& loop, const net::Address& address, std::size_t max_connections,
                     Events events);

    /// nullptr: its client does not wait any more. Valid until the next call that changes the requests.
    DownstreamRequest* find(RequestId id);
    /// Answers with a response of the proxy's own.
    void reply(const Actions::LocalReply& local_reply);
    /// Answers with the runner's response.
    void relay(RequestId id, HttpMessage&& upstream_response);

    void set_limits(const Limits& limits) { server_.set_limits(limits); }
    void sweep(Micros now) { server_.close_expired(now); }

    /// From now on each response closes its connection.
    void begin_shutdown() { server_.disable_keep_alive(); }
    /// Accepts no more, and closes connections on which nothing is under way.
    void close_idle() { server_.drain(); }
    /// Connections on which something is under way.
    std::size_t unfinished() const { return server_.busy_connections(); }

  private:
    void on_request(RequestId id, HttpMessage&& message);

    Events events_;
    std::unordered_map<RequestId, DownstreamRequest> requests_;
    HttpServer server_;
};

}  // namespace gannethold::cluster
