// An HttpClient and a scripted server on loopback.
#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/transport/http_client.hpp"
#include "../scripted_peers.hpp"

namespace gannethold::cluster {

inline HttpMessage make_work_request(const std::string& id, const std::string& method = "GET",
                                     std::string body = {}) {
    HttpMessage request;
    request.method = method;
    request.target = "/work/" + id;
    if (!id.empty()) request.fields.emplace_back("X-Attempt-Id", id);
    request.body = std::move(body);
    return request;
}

/// The bytes of a response with status 200. If the id is empty, the response has no id field.
inline std::string response_bytes(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\n" + (id.empty() ? std::string() : "X-Attempt-Id: " + id + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A client and the listener of its scripted server. Calls are numbered from 1.
struct HttpClientFixture {
    static constexpr std::size_t kDefaultBlocks = 8192;
    static constexpr std::size_t kMaxIdleConnections = 6;
    static constexpr Micros kIdleTimeout = 8'000'000;
    using Script = std::function<void(ScriptedConnection&)>;
    struct Completion {
        std::uint64_t call = 0;
        CallResult result = CallResult::connection_lost;
        HttpMessage response;
        bool is_within_call = false;  // reported before HttpClient::call() returned
    };

    explicit HttpClientFixture(int receive_buffer = 0, std::size_t blocks = kDefaultBlocks)
        : loop(blocks),
          listener(receive_buffer),
          client(loop,
                 {.connect_timeout = 500'000,
                  .idle_timeout = kIdleTimeout,
                  .max_idle_connections = kMaxIdleConnections,
                  .max_response_bytes = 16U << 20,
                  .id_field = "X-Attempt-Id"},
                 {.on_call_completed =
                      [this](CompletedCall&& completed) {
                          completions.push_back({static_cast<std::uint64_t>(completed.id), completed.result,
                                                 std::move(completed.response), is_in_call});
                      },
                  .on_preconnected = [this](const std::string& address) { preconnected.push_back(address); },
                  .on_preconnect_failed =
                      [this](const std::string& address) { preconnect_failed.push_back(address); }}) {}

    void call(const HttpMessage& request, bool on_new_connection = false) {
        call_to(listener.address(), request, on_new_connection);
    }
    void call_to(const std::string& address, const HttpMessage& request, bool on_new_connection = false) {
        is_in_call = true;
        client.call(CallId{++last_call}, address, request, on_new_connection);
        is_in_call = false;
    }
    bool run_until(const std::function<bool()>& condition) { return run_loop_until(loop, condition); }
    void run_for(Micros span) {
        run_until([end = net::Loop::now() + span] { return net::Loop::now() > end; });
    }
    /// Waits until the request with that id has been received completely, and returns its connection.
    ScriptedConnection& connection_with(const std::string& id) {
        ScriptedConnection* found = nullptr;
        BOOST_REQUIRE(run_until([&] {
            for (ScriptedConnection& connection : listener.connections())
                if (connection.has_received("/work/" + id + " HTTP/1.1\r\n") &&
                    connection.received.ends_with("\r\n\r\n"))
                    found = &connection;
            return found != nullptr;
        }));
        return *found;
    }
    const Completion& completion_of(std::uint64_t call) {
        const Completion* found = nullptr;
        BOOST_REQUIRE(run_until([&] {
            for (const Completion& completion : completions)
                if (completion.call == call) found = &completion;
            return found != nullptr;
        }));
        return *found;
    }
    /// Starts a call whose id is "id" and its number, sends the bytes from the server and runs the script.
    /// Returns how the call completes.
    Completion complete_after(
        const std::string& bytes, const Script& then = [](ScriptedConnection&) {}) {
        const std::string id = "id" + std::to_string(last_call + 1);
        call(make_work_request(id));
        ScriptedConnection& connection = connection_with(id);
        connection.send(bytes);
        then(connection);
        return completion_of(last_call);
    }
    /// Completes a call with id "before". Returns its connection, which is then in the pool.
    ScriptedConnection& complete_first_call() {
        call(make_work_request("before"));
        ScriptedConnection& connection = connection_with("before");
        connection.send(response_bytes("before", "first"));
        BOOST_REQUIRE((completion_of(last_call).result == CallResult::completed));
        connection.received.clear();
        return connection;
    }
    /// Runs until the head of the first request has been received, and reads no further.
    bool receive_first_head() {
        return run_until([&] {
            return !listener.connections().empty() &&
                   listener.connections()[0].receive(1024).received.find("\r\n\r\n") != std::string::npos;
        });
    }

    net::Loop loop;
    ScriptedListener listener;
    bool is_in_call = false;
    std::uint64_t last_call = 0;
    std::deque<Completion> completions;
    std::vector<std::string> preconnected;
    std::vector<std::string> preconnect_failed;
    HttpClient client;
};

}  // namespace gannethold::cluster
