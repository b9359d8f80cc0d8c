// Tests the proxy as a process, with a scripted coordinator, a scripted runner and scripted clients. For each
// failure of a runner's connection, every request must be answered exactly once, to its own client, and a
// non-idempotent request must be sent only once.
#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE proxy_calls
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <vector>

#include "cluster/configuration/delta.hpp"
#include "cluster/transport/message_connection.hpp"
#include "net/listener.hpp"
#include "../scripted_peers.hpp"
#include "../program.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::uint32_t kRunnerNumber = 1;
constexpr char kRunnerName[] = "i-1";
constexpr char kConfiguration[] =
    R"({"version":1,"routes":[)"
    R"({"name":"once","host":"h","path_prefix":"/once/","route_kind":"non_idempotent","timeout_ms":1500,)"
    R"("target_latency_ms":300,"priority":1,"service":"f","max_attempts":3},)"
    R"({"name":"again","host":"h","path_prefix":"/again/","route_kind":"idempotent","timeout_ms":1500,)"
    R"("target_latency_ms":300,"priority":1,"service":"f","max_attempts":2}],)"
    R"("services":[{"name":"f","connection_limit":20,"memory_mb":128,"boot_duration_ms":600,"max_concurrency":8}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// A proxy process whose coordinator, runner and clients are scripted.
class ProxyFixture {
  public:
    ProxyFixture()
        : frontend_(free_port()),
          listener_(
              loop, net::ListenAddress(*net::Address::parse("127.0.0.1:" + std::to_string(free_port()))),
              [this](evutil_socket_t socket) { on_accept(socket); }, [] {}) {
        proxy_.emplace(PROXY, settings());
        BOOST_REQUIRE(until([this] { return is_configured_; }));
    }

    bool until(const std::function<bool()>& condition) { return run_loop_until(loop, condition); }
    void run_for(Micros span) {
        until([end = net::Loop::now() + span] { return net::Loop::now() > end; });
    }
    ScriptedConnection client(const std::string& request) const {
        ScriptedConnection connection = ScriptedConnection::connect_to(frontend_);
        connection.send(request);
        return connection;
    }
    static std::string make_request(const std::string& path, const std::string& id,
                                    const std::string& method = "POST", const std::string& body = {}) {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
               "\r\nX-Deadline-Remaining: 1500\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    static std::string make_response(const std::string& id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
               "\r\nX-Runner-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    // Waits until the request has arrived at the runner `count` times, and returns the connection of the
    // last.
    ScriptedConnection& connection_at_runner(const std::string& id, std::size_t count = 1) {
        BOOST_REQUIRE(until([&] { return count_at_runner(id) >= count; }));
        ScriptedConnection* found = nullptr;
        for (ScriptedConnection& connection : runner.connections())
            if (connection.has_received("X-Attempt-Id: " + id + "\r\n")) found = &connection;
        return *found;
    }
    std::size_t count_at_runner(const std::string& id) {
        std::size_t count = 0;
        for (ScriptedConnection& connection : runner.connections())
            count += count_occurrences(connection.receive().received, "X-Attempt-Id: " + id + "\r\n");
        return count;
    }
    // Returns the complete response that the client received, and checks that it is the only one.
    std::string response_to(ScriptedConnection& client, const std::string& status) {
        BOOST_TEST(until([&] { return client.has_received("HTTP/1.1 " + status); }), client.received);
        run_for(20'000);
        BOOST_TEST(count_occurrences(client.receive().received, "HTTP/1.1 ") == 1U, client.received);
        return client.received;
    }
    long resident_kb() const { return proxy_->resident_kb(); }
    Program& program() { return *proxy_; }

    net::Loop loop{8192};
    ScriptedListener runner;
    bool grants_slots = true;
    std::size_t acquires = 0;     // the number of acquire requests received
    std::size_t withdrawals = 0;  // the number of those that were withdrawn before a grant

  private:
    std::string settings() const {
        const std::string port = std::to_string(listener_.port());
        return "node_name=front\nip_address=127.0.0.1\nzone=z0\ninternal_port_range=" + port + "," + port +
               "\nseed_addresses=127.0.0.1:1\nplatform_api.address=127.0.0.1:1\nlimits.memory_mb=256\n"
               "limits.file_descriptors=1024\nlisten_addresses.frontend=127.0.0.1:" +
               std::to_string(frontend_) +
               "\nlisten_addresses.readiness=127.0.0.1:" + std::to_string(free_port()) + "\n";
    }

    void on_accept(evutil_socket_t socket) {
        MessageConnection::Events events;
        events.on_message = [this](const ReceivedMessage& received) { on_message(received.message); };
        events.on_disconnected = [] {};
        core_connections_.push_back(std::make_unique<MessageConnection>(loop, socket, std::move(events)));
    }

    void on_message(const Message& message) {
        MessageConnection& core = *core_connections_.back();
        if (std::holds_alternative<Heartbeat>(message)) core.send(Heartbeat{});
        if (std::holds_alternative<RegisterRequest>(message)) {
            core.send(RegisterResponse{1, 0, 1, {}});
            core.send(ConfigurationUpdate{1, {0, make_delta({}, kConfiguration)}});
            core.send(RunnerUpdate{kRunnerNumber,
                                   RunnerState::ready,
                                   {kRunnerName, "f", runner.address(), "z0", "w", 8, 0, true},
                                   false});
        }
        if (const auto* acknowledgement = std::get_if<ConfigurationAck>(&message))
            is_configured_ = acknowledgement->version == 1;
        if (const auto* acquire = std::get_if<AcquireRequest>(&message)) {
            ++acquires;
            if (grants_slots) core.send(AcquireGranted{acquire->id, kRunnerNumber});
        }
        if (const auto* release = std::get_if<Release>(&message)) withdrawals += release->runner == 0;
    }

    std::uint16_t frontend_;
    net::Listener listener_;
    std::vector<std::unique_ptr<MessageConnection>> core_connections_;
    bool is_configured_ = false;
    std::optional<Program> proxy_;
};

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_sent_once_for_each_failure_of_its_connection) {
    ProxyFixture fixture;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Runner-Seal: s\r\nX-Attempt-Id: ";
    const std::vector<std::function<void(ScriptedConnection&, const std::string&)>> failures = {
        [](ScriptedConnection& connection, const std::string&) { connection.reset(); },
        [](ScriptedConnection& connection, const std::string&) { connection.close(); },
        [](ScriptedConnection& connection, const std::string&) { connection.half_close(); },
        [](ScriptedConnection& connection, const std::string&) { connection.send("SSH-2.0\r\n\r\n"); },
        [&](ScriptedConnection& connection, const std::string& id) {
            connection.send(head + id + "\r\nContent-Length: 9\r\n\r\npart");
            connection.reset();
        },
        [&](ScriptedConnection& connection, const std::string& id) {
            connection.send(head + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
            connection.close();
        },
        [&](ScriptedConnection& connection, const std::string& id) {
            connection.send(head + id + "\r\n\r\npart");
            connection.close();
        },
        [&](ScriptedConnection& connection, const std::string&) {
            connection.send("HTTP/1.1 200 OK\r\nX-Runner-Seal: s\r\nContent-Length: 4\r\n\r\npart");
        },
        [&](ScriptedConnection& connection, const std::string&) {
            connection.send(ProxyFixture::make_response("another", "x"));
            connection.close();
        },
        [&](ScriptedConnection& connection, const std::string& id) {
            connection.send("HTTP/1.1 503 x\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        }};
    for (std::size_t index = 0; index < failures.size(); ++index) BOOST_TEST_CONTEXT("failure " << index) {
            const std::string id = "once-" + std::to_string(index);
            ScriptedConnection client = fixture.client(ProxyFixture::make_request("/once/x", id));
            failures[index](fixture.connection_at_runner(id), id);
            const std::string response = fixture.response_to(client, "502");
            BOOST_TEST(response.find("part") == std::string::npos);
            BOOST_TEST(fixture.count_at_runner(id) == 1U);
        }
}

BOOST_AUTO_TEST_CASE(a_rejected_request_is_retried_and_then_answered_as_not_run) {
    ProxyFixture fixture;
    ScriptedConnection client = fixture.client(ProxyFixture::make_request("/once/x", "full"));
    for (std::size_t attempt = 1; attempt <= 3; ++attempt) {
        // Each attempt at the same address has its own connection, because a surplus response to an earlier
        // attempt has the same id.
        ScriptedConnection& connection = fixture.connection_at_runner("full", attempt);
        BOOST_TEST(count_occurrences(connection.received, "X-Attempt-Id: full") == 1U);
        const std::string not_run =
            "HTTP/1.1 503 x\r\nX-Attempt-Id: full\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        connection.send(not_run);
        fixture.run_for(20'000);
        connection.send(not_run);
    }
    fixture.response_to(client, "503");
    BOOST_TEST(fixture.count_at_runner("full") == 3U);
}

BOOST_AUTO_TEST_CASE(a_late_or_surplus_response_reaches_no_client) {
    ProxyFixture fixture;
    // The response arrives after the deadline of the request, when no client waits for it.
    ScriptedConnection slow = fixture.client(ProxyFixture::make_request("/once/x", "slow"));
    ScriptedConnection& late = fixture.connection_at_runner("slow");
    fixture.response_to(slow, "504");
    late.send(ProxyFixture::make_response("slow", "late"));
    ScriptedConnection first = fixture.client(ProxyFixture::make_request("/again/x", "first"));
    ScriptedConnection& connection = fixture.connection_at_runner("first");
    connection.send(ProxyFixture::make_response("first", "of first"));
    BOOST_TEST(fixture.response_to(first, "200").ends_with("of first"));
    // A surplus response arrives before the response to the next request on the same connection.
    ScriptedConnection second = fixture.client(ProxyFixture::make_request("/again/x", "second"));
    BOOST_TEST(&fixture.connection_at_runner("second") == &connection);
    connection.send(ProxyFixture::make_response("first", "extra") +
                    ProxyFixture::make_response("second", "of second"));
    BOOST_TEST(fixture.response_to(second, "200").ends_with("of second"));
    BOOST_TEST(fixture.count_at_runner("slow") == 1U);
}

// Guards against processes that hang on exit while a library joins its threads.
BOOST_AUTO_TEST_CASE(a_proxy_has_one_thread) {
    ProxyFixture fixture;
    BOOST_TEST(fixture.program().thread_count() == 1);
}

// Guards against processes that still run at the end of their grace period.
BOOST_AUTO_TEST_CASE(a_proxy_that_shuts_down_exits_while_a_client_keeps_using_its_connection) {
    ProxyFixture fixture;
    ScriptedConnection client = fixture.client({});
    std::size_t sent = 0;
    std::size_t answered = 0;
    const auto exchange = [&] {
        const std::string id = "a" + std::to_string(sent++);
        client.send(ProxyFixture::make_request("/again/x", id));
        ScriptedConnection& runner = fixture.connection_at_runner(id);
        runner.send(ProxyFixture::make_response(id, "done"));
        fixture.until([&] { return count_occurrences(client.receive().received, "HTTP/1.1 200") == sent; });
        answered = count_occurrences(client.received, "HTTP/1.1 200");
    };
    exchange();
    fixture.program().send_signal(SIGTERM);
    while (!client.receive().closed && answered == sent) exchange();
    BOOST_TEST(answered == sent);
    BOOST_REQUIRE(fixture.until([&] { return fixture.program().exit_status().has_value(); }));
    BOOST_TEST(fixture.program().exit_status().value() == 0);
}

BOOST_AUTO_TEST_CASE(disconnected_clients_use_no_memory) {
    constexpr std::size_t kClients = 300;
    constexpr std::size_t kBodyBytes = 200'000;
    ProxyFixture fixture;
    fixture.grants_slots = false;
    const auto disconnect_clients = [&](std::size_t count) {
        for (std::size_t client_index = 0; client_index < count; ++client_index) {
            const std::size_t acquires = fixture.acquires;
            const std::size_t withdrawals = fixture.withdrawals;
            const std::string request =
                ProxyFixture::make_request("/once/x", "left", "POST", std::string(kBodyBytes, 'x'));
            ScriptedConnection client = fixture.client({});
            std::size_t written = 0;
            BOOST_REQUIRE(fixture.until([&] {
                written += client.send(std::string_view(request).substr(written));
                return fixture.acquires > acquires;
            }));
            client.reset();
            BOOST_REQUIRE(fixture.until([&] { return fixture.withdrawals > withdrawals; }));
        }
    };
    disconnect_clients(20);
    const long before = fixture.resident_kb();
    disconnect_clients(kClients);
    BOOST_TEST(fixture.resident_kb() - before < static_cast<long>(kClients * kBodyBytes / 1024 / 4));
}

}  // namespace
}  // namespace gannethold::cluster
