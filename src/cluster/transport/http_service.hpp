// Serves HTTP/1.1 on one address: reads whole requests, one at a time on each connection, and writes whole
// answers. What a client sends ahead waits. Decides nothing but what the limits say.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/connection.hpp"
#include "net/listener.hpp"
#include "cluster/base/error.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

class HttpService {
  public:
    using Exchange = std::uint64_t;
    struct Events {
        // A whole request; it is to be answered once, now or later, unless its client leaves.
        std::function<void(Exchange, HttpMessage&&)> request;
        std::function<void(Exchange)> left = [](Exchange) {};
    };
    HttpService(net::Loop& loop, const net::Address& at, Events events, std::size_t most_connections);
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;
    ~HttpService();

    void answer(Exchange exchange, const HttpMessage& message);
    void answer(Exchange exchange, ErrorCode code, const std::string& detail = {},
                std::uint32_t retry_ms = 0);
    void limit(const Limits& limits) { limits_ = limits; }
    // From now on each answer closes its connection.
    void say_goodbye() { leaving_ = true; }
    /// Accepts no more, and closes connections on which nothing is under way. What a client sends there
    /// meanwhile is not read, so that it may send it elsewhere.
    void close_idle();
    // Reads no more from clients that wait for nothing; also sweeps what was closed and what was idle too
    // long.
    void sweep(Micros now);
    /// Where it listens, until close_idle().
    std::uint16_t port() const { return listener_ ? listener_->port() : 0; }
    std::size_t under_way() const { return exchanges_.size(); }
    /// Connections on which a request is being read, waits for its answer, or has an answer that is not yet
    /// written.
    std::size_t unfinished() const;
    std::size_t connections() const { return inbound_peers_.size(); }

  private:
    class InboundPeer;
    friend class InboundPeer;

    net::Loop& loop_;
    Events events_;
    Limits limits_;
    std::size_t most_;
    bool leaving_ = false;
    Exchange last_ = 0;
    std::unordered_map<InboundPeer*, std::unique_ptr<InboundPeer>> inbound_peers_;
    std::vector<std::unique_ptr<InboundPeer>> closed_;  // until the turn is over
    std::unordered_map<Exchange, InboundPeer*> exchanges_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace gannethold::cluster
