// An HTTP/1.1 server on one address. It reads complete requests, one at a time on each connection, and writes
// complete responses; pipelined requests wait for the response before them. What a request is answered is its
// owner's business, except where the limits reject it.
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

/// One request and its response. Counted by each server from 1 and never used twice.
enum class ExchangeId : std::uint64_t {};

/// Not thread-safe: all use is on the loop's thread. Callbacks come from the loop, never from within a method
/// of this class and never nested, and may call any method except close_expired().
class HttpServer {
  public:
    struct Events {
        /// A complete request. Call respond() once, now or later, unless on_client_disconnected comes first.
        std::function<void(ExchangeId, HttpMessage&&)> on_request;
        /// The client has gone before its response: nothing is owed any more.
        std::function<void(ExchangeId)> on_client_disconnected = [](ExchangeId) {};
    };

    /// Listens at once; throws std::runtime_error where it can not. Connections beyond max_connections are
    /// closed as they are accepted.
    HttpServer(net::Loop& loop, const net::Address& address, Events events, std::size_t max_connections);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    /// Does nothing if the exchange has ended: responded to already, or its client has gone.
    void respond(ExchangeId exchange, const HttpMessage& response);
    /// Responds with the error's status and a JSON body. retry_after_ms goes with status 503 only.
    void respond(ExchangeId exchange, ErrorCode error, const std::string& detail = {},
                 std::uint32_t retry_after_ms = 0);

    /// Sizes and time-outs, also for connections that are open.
    void set_limits(const Limits& limits) { limits_ = limits; }
    /// From now on each response closes its connection.
    void disable_keep_alive() { is_keep_alive_disabled_ = true; }
    /// Stops listening and closes idle connections. What a client sends on these meanwhile is not read, and
    /// meets a reset, so that it may safely send it elsewhere. Busy connections go on.
    void drain();
    /// Closes connections that have been idle, or have been sending a request, for too long, and frees those
    /// that were closed since the last time. Call it regularly. REQUIRES: not within a callback of this
    /// server.
    void close_expired(Micros now);

    std::uint16_t port() const { return listener_.port(); }
    /// Requests that wait for their response.
    std::size_t pending_exchanges() const { return exchanges_.size(); }
    /// Connections on which a request is being read, waits for its response, or has a response that is not
    /// yet written completely.
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
    std::unordered_map<ExchangeId, DownstreamConnection*> exchanges_;  // that wait for their response
    net::Listener listener_;
};

}  // namespace gannethold::cluster
