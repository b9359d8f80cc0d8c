// An HttpServer on loopback, for tests whose clients are scripted.
#pragma once

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/transport/http_server.hpp"
#include "../scripted_peers.hpp"

namespace gannethold::cluster {

/// A server that records its requests and disconnected exchanges.
struct HttpServerFixture {
    static constexpr std::size_t kDefaultBlocks = 8192;
    static constexpr std::size_t kMaxConnections = 64;
    struct Request {
        ExchangeId exchange{};
        HttpMessage message;
    };
    /// Called for each request once it is at the back of `requests`.
    using OnRequest = std::function<void(HttpServerFixture&)>;

    explicit HttpServerFixture(
        OnRequest on_request = [](HttpServerFixture&) {}, std::size_t blocks = kDefaultBlocks)
        : loop(blocks),
          server(
              loop, *net::Address::parse("127.0.0.1:" + std::to_string(free_port())),
              {.on_request =
                   [this, on_request = std::move(on_request)](ExchangeId exchange, HttpMessage&& message) {
                       requests.push_back({exchange, std::move(message)});
                       on_request(*this);
                   },
               .on_client_disconnected = [this](ExchangeId exchange) { disconnected.push_back(exchange); }},
              kMaxConnections) {}

    ScriptedConnection connect(int receive_buffer = 0) const {
        return ScriptedConnection::connect_to(server.port(), receive_buffer);
    }
    void respond(ExchangeId exchange, const std::string& body) {
        HttpMessage response;
        response.status = 200;
        response.body = body;
        server.respond(exchange, response);
    }
    /// Runs the loop until the condition is true; frees closed connections between the loop's turns.
    bool run_until(const std::function<bool()>& condition) {
        return run_loop_until(loop, [&] {
            server.close_expired(net::Loop::now());
            return condition();
        });
    }
    bool run_until_requests(std::size_t count) {
        return run_until([&] { return requests.size() == count; });
    }
    void run_for(Micros span) {
        run_until([end = net::Loop::now() + span] { return net::Loop::now() > end; });
    }
    static std::string request_bytes(const std::string& path, const std::string& method = "GET") {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    net::Loop loop;
    std::deque<Request> requests;
    std::vector<ExchangeId> disconnected;
    HttpServer server;
};

}  // namespace gannethold::cluster
