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
#include "cluster/transport/http_service.hpp"

namespace gannethold::cluster {

/// A request whose client waits for its response.
struct DownstreamRequest {
    HttpMessage message;
    std::vector<std::string> attempted_addresses;  ///< of the runners that it was sent to
};

class DownstreamServer {
  public:
    /// Called from the loop, and also within reply() and relay(), where a client has sent its next request
    /// ahead.
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

    void set_limits(const Limits& limits) { service_.limit(limits); }
    void sweep(Micros now) { service_.sweep(now); }

    /// From now on each response closes its connection.
    void begin_shutdown() { service_.say_goodbye(); }
    /// Accepts no more, and closes connections on which nothing is under way.
    void close_idle() { service_.close_idle(); }
    /// Connections on which something is under way.
    std::size_t unfinished() const { return service_.unfinished(); }

  private:
    void on_request(RequestId id, HttpMessage&& message);

    Events events_;
    std::unordered_map<RequestId, DownstreamRequest> requests_;
    HttpService service_;
};

}  // namespace gannethold::cluster
