// An HTTP/1.1 server on one address. It reads complete requests, one at a time on each connection, and writes
// complete responses; a pipelined request waits until the preceding response has been written. The owner
// decides on the response, except for requests that violate the limits: the server itself rejects those.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.hpp"
#include "net/listener.hpp"
#include "cluster/base/error.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

/// Identifies one request and its response. Each server counts from 1 and never reuses an id.
enum class ExchangeId : std::uint64_t {};

/// Not thread-safe: all use is on the loop's thread. Callbacks are invoked by the loop, never from within a
/// method of this class and never nested, and may call any method except close_expired().
class HttpServer {
  public:
    struct Events {
        /// A complete request was received. Call respond() once, now or later, unless on_client_disconnected
        /// is called first.
        std::function<void(ExchangeId, HttpMessage&&)> on_request;
        /// The client disconnected before its response; the exchange has ended.
        std::function<void(ExchangeId)> on_client_disconnected = [](ExchangeId) {};
    };

    /// Starts to listen; throws std::runtime_error if that fails. Connections beyond max_connections are
    /// closed as soon as they are accepted.
    HttpServer(net::Loop& loop, const net::Address& address, Events events, std::size_t max_connections);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    /// Does nothing if the exchange has ended by a response or by a disconnect of the client.
    void respond(ExchangeId exchange, const HttpMessage& response);
    /// Responds with the error's status and a JSON body. retry_after_ms is sent with status 503 only.
    void respond(ExchangeId exchange, ErrorCode error, const std::string& detail = {},
                 std::uint32_t retry_after_ms = 0);

    /// Sets size limits and timeouts; they apply to open connections too.
    void set_limits(const Limits& limits) { limits_ = limits; }
    /// From now on the connection is closed after each response.
    void disable_keep_alive() { is_keep_alive_disabled_ = true; }
    /// Stops listening and closes idle connections; busy connections continue. Bytes that a client sends on
    /// an idle connection meanwhile are not read and are answered by a reset, so the client may safely send
    /// the request elsewhere.
    void drain();
    /// Closes connections that exceed the idle timeout or the timeout for receiving a request, and frees
    /// those closed since the previous call. Call it regularly. REQUIRES: not within a callback of this
    /// server.
    void close_expired(Micros now);

    std::uint16_t port() const { return listener_.port(); }
    /// The number of requests that wait for their response.
    std::size_t pending_exchanges() const { return exchanges_.size(); }
    /// The number of connections on which a request is being read or waits for its response, or on which a
    /// response is being written.
    std::size_t busy_connections() const;
    std::size_t connections() const { return connections_.size(); }

  private:
    class DownstreamConnection;
    friend class DownstreamConnection;

    void accept(evutil_socket_t socket);

    net::Loop& loop_;
    Events events_;
    Limits limits_;
    std::size_t max_connections_;
    bool is_keep_alive_disabled_ = false;
    std::uint64_t last_exchange_ = 0;
    std::unordered_map<DownstreamConnection*, std::unique_ptr<DownstreamConnection>> connections_;
    // Freed by close_expired(): a connection may be closed within its own callback.
    std::vector<std::unique_ptr<DownstreamConnection>> closed_;
    std::unordered_map<ExchangeId, DownstreamConnection*> exchanges_;  // waiting for their response
    net::Listener listener_;
};

}  // namespace gannethold::cluster
