// Exchanges of an HttpServer: pipelining, disconnects, and draining at shutdown.
#include "cluster/transport/http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <string_view>

#include "http_server_fixture.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kManyRequests = 4'000;
constexpr std::size_t kFewBlocks = 256;  // each unsent response uses one
constexpr char kStatusOk[] = "HTTP/1.1 200";

std::string many_pipelined_requests() {
    std::string bytes;
    for (std::size_t count = 0; count < kManyRequests; ++count) bytes += "GET /p HTTP/1.1\r\n\r\n";
    return bytes;
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_handled_one_by_one_in_their_order) {
    HttpServerFixture fixture;
    ScriptedConnection client = fixture.connect();
    client.send(HttpServerFixture::request_bytes("/1") + HttpServerFixture::request_bytes("/2") +
                HttpServerFixture::request_bytes("/3"));
    for (std::size_t count = 1; count <= 3; ++count) {
        BOOST_REQUIRE(fixture.run_until_requests(count));
        BOOST_TEST(fixture.server.pending_exchanges() == 1U);
        const HttpServerFixture::Request& request = fixture.requests.back();
        fixture.respond(request.exchange, "response to " + request.message.target);
    }
    BOOST_REQUIRE(fixture.run_until([&] { return client.has_received("response to /3"); }));
    BOOST_TEST(client.received.find("response to /1") < client.received.find("response to /2"));
    BOOST_TEST(client.received.find("response to /2") < client.received.find("response to /3"));
    BOOST_TEST(count_occurrences(client.received, kStatusOk) == 3U);
}

BOOST_AUTO_TEST_CASE(many_pipelined_requests_that_are_responded_to_at_once_do_not_nest) {
    HttpServerFixture fixture([](HttpServerFixture& self) {
        self.respond(self.requests.back().exchange, self.requests.back().message.target);
    });
    ScriptedConnection client = fixture.connect();
    const std::string bytes = many_pipelined_requests();
    std::size_t sent = 0;
    BOOST_TEST(fixture.run_until([&] {
        sent += client.send(std::string_view(bytes).substr(sent));
        client.receive();
        return fixture.requests.size() == kManyRequests;
    }));
    BOOST_TEST(fixture.run_until(
        [&] { return count_occurrences(client.receive().received, kStatusOk) == kManyRequests; }));
}

BOOST_AUTO_TEST_CASE(requests_that_are_pipelined_behind_a_slow_one_do_not_nest_either) {
    std::size_t depth = 0;
    std::size_t max_depth = 0;
    HttpServerFixture fixture(
        [&](HttpServerFixture& self) {
            max_depth = std::max(max_depth, ++depth);
            if (self.requests.size() > 1) self.respond(self.requests.back().exchange, {});
            --depth;
        },
        kFewBlocks);
    ScriptedConnection client = fixture.connect();
    const std::string bytes = many_pipelined_requests();
    std::size_t sent = 0;
    BOOST_REQUIRE(fixture.run_until([&] {
        sent += client.send(std::string_view(bytes).substr(sent));
        return !fixture.requests.empty() && sent == bytes.size();
    }));
    fixture.respond(fixture.requests.front().exchange, {});
    BOOST_TEST(fixture.run_until([&] {
        client.receive();
        return fixture.requests.size() == kManyRequests || client.closed;
    }));
    BOOST_TEST(fixture.run_until(
        [&] { return count_occurrences(client.receive().received, kStatusOk) == kManyRequests; }));
    BOOST_TEST(max_depth == 1U);
}

BOOST_AUTO_TEST_CASE(the_response_to_a_disconnected_client_reaches_no_other_client) {
    HttpServerFixture fixture;
    {
        ScriptedConnection gone = fixture.connect();
        gone.send(HttpServerFixture::request_bytes("/gone"));
        BOOST_REQUIRE(fixture.run_until_requests(1));
        gone.reset();
    }
    BOOST_REQUIRE(fixture.run_until([&] { return fixture.disconnected.size() == 1; }));
    ScriptedConnection next = fixture.connect();
    next.send(HttpServerFixture::request_bytes("/next"));
    BOOST_REQUIRE(fixture.run_until_requests(2));
    BOOST_TEST((fixture.requests[0].exchange != fixture.requests[1].exchange));
    fixture.respond(fixture.requests[0].exchange, "of another");
    fixture.respond(fixture.requests[1].exchange, "expected");
    fixture.respond(fixture.requests[1].exchange, "duplicate");
    BOOST_REQUIRE(fixture.run_until([&] { return next.has_received("expected"); }));
    fixture.run_for(20'000);
    BOOST_TEST(count_occurrences(next.receive().received, "HTTP/1.1") == 1U);
    BOOST_TEST(fixture.disconnected.size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_response_to_a_head_request_has_no_body) {
    HttpServerFixture fixture;
    ScriptedConnection client = fixture.connect();
    client.send(HttpServerFixture::request_bytes("/1", "HEAD") + HttpServerFixture::request_bytes("/2"));
    BOOST_REQUIRE(fixture.run_until_requests(1));
    fixture.server.respond(fixture.requests[0].exchange, ErrorCode::no_slot, {}, 100);
    BOOST_REQUIRE(fixture.run_until_requests(2));
    fixture.respond(fixture.requests[1].exchange, "expected");
    BOOST_REQUIRE(fixture.run_until([&] { return client.has_received("expected"); }));
    const std::size_t head_end = client.received.find("\r\n\r\n") + 4;
    BOOST_TEST(client.received.substr(head_end, 12) == kStatusOk);
}

// Draining: requests that were received are answered while the process shuts down.

constexpr int kSmallBuffer = 4096;
const std::string kRequest = "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\nhi";

void begin_shutdown(HttpServer& server) {
    server.disable_keep_alive();
    server.drain();
}

BOOST_AUTO_TEST_CASE(a_request_that_arrives_on_an_idle_connection_while_draining_is_not_read) {
    HttpServerFixture fixture;
    ScriptedConnection client = fixture.connect(kSmallBuffer);
    BOOST_REQUIRE(fixture.run_until([&] { return fixture.server.connections() == 1; }));
    BOOST_TEST(fixture.server.busy_connections() == 0U);
    BOOST_REQUIRE(client.send(kRequest) == kRequest.size());
    begin_shutdown(fixture.server);
    // The reset shows the client that the request was not read, so that it may send it elsewhere.
    BOOST_TEST(fixture.run_until([&] { return client.receive().was_reset; }));
    BOOST_TEST(fixture.requests.empty());
    BOOST_TEST(client.received.empty());
    BOOST_TEST(fixture.server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_is_partly_read_when_draining_begins_is_responded_to) {
    HttpServerFixture fixture;
    ScriptedConnection client = fixture.connect(kSmallBuffer);
    const std::size_t half = kRequest.size() / 2;
    BOOST_REQUIRE(client.send(kRequest.substr(0, half)) == half);
    BOOST_REQUIRE(fixture.run_until([&] { return fixture.server.busy_connections() == 1; }));
    begin_shutdown(fixture.server);
    BOOST_TEST(fixture.server.busy_connections() == 1U);
    BOOST_REQUIRE(client.send(kRequest.substr(half)) == kRequest.size() - half);
    BOOST_REQUIRE(fixture.run_until_requests(1));
    BOOST_TEST(fixture.server.busy_connections() == 1U);
    fixture.respond(fixture.requests.front().exchange, std::string(5, 'x'));
    BOOST_TEST(fixture.run_until([&] { return client.receive().closed; }));
    BOOST_TEST(!client.was_reset);
    BOOST_TEST(client.received.find("Connection: close") != std::string::npos);
    BOOST_TEST(client.received.ends_with("\r\n\r\nxxxxx"));
    BOOST_TEST(fixture.server.busy_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(a_connection_is_busy_until_the_last_byte_of_its_response_is_written) {
    constexpr std::size_t kBody = 16U << 20;
    HttpServerFixture fixture;
    ScriptedConnection client = fixture.connect(kSmallBuffer);
    BOOST_REQUIRE(client.send(kRequest) == kRequest.size());
    BOOST_REQUIRE(fixture.run_until_requests(1));
    begin_shutdown(fixture.server);
    fixture.respond(fixture.requests.front().exchange, std::string(kBody, 'x'));
    for (int turn = 0; turn < 100; ++turn) fixture.loop.run_once(false);
    BOOST_TEST(fixture.server.pending_exchanges() == 0U);
    BOOST_TEST(fixture.server.busy_connections() == 1U);
    BOOST_TEST(fixture.run_until([&] { return client.receive().closed; }));
    BOOST_TEST(!client.was_reset);
    BOOST_TEST(client.received.size() > kBody);
    BOOST_TEST(fixture.server.busy_connections() == 0U);
}

}  // namespace
}  // namespace gannethold::cluster
