// Requests that an HttpServer rejects because of its limits, and connections that it closes on a timeout.
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "http_server_fixture.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxBody = 10;

struct LimitsFixture : HttpServerFixture {
    LimitsFixture() {
        Limits limits;
        limits.max_body_bytes = kMaxBody;
        limits.header_timeout = 3'000'000;
        limits.idle_timeout = 15'000'000;
        server.set_limits(limits);
    }
    std::string status_after(const std::string& bytes) {
        ScriptedConnection client = connect();
        client.send(bytes);
        BOOST_REQUIRE(run_until([&] { return client.receive().closed; }));
        BOOST_TEST(client.received.find("Connection: close\r\n") != std::string::npos);
        return client.received.substr(0, sizeof "HTTP/1.1 000" - 1);
    }
};

BOOST_FIXTURE_TEST_CASE(faulty_requests_are_rejected_and_their_connection_is_closed, LimitsFixture) {
    BOOST_TEST(status_after("no request\r\n\r\n") == "HTTP/1.1 400");
    BOOST_TEST(status_after("GET / HTTP/1.1\r\nX-Long: " + std::string(65536, 'x') + "\r\n\r\n") ==
               "HTTP/1.1 431");
    BOOST_TEST(status_after("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") == "HTTP/1.1 413");
    BOOST_TEST(status_after("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n") ==
               "HTTP/1.1 413");
    BOOST_TEST(requests.empty());
}

BOOST_FIXTURE_TEST_CASE(a_body_of_the_maximum_is_accepted, LimitsFixture) {
    ScriptedConnection client = connect();
    client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n0123456789");
    BOOST_REQUIRE(run_until_requests(1));
    BOOST_TEST(requests[0].message.body == "0123456789");
}

BOOST_FIXTURE_TEST_CASE(an_idle_client_is_disconnected_after_the_idle_timeout, LimitsFixture) {
    ScriptedConnection client = connect();
    BOOST_REQUIRE(run_until([&] { return server.connections() == 1; }));
    server.close_expired(net::Loop::now() + 14'000'000);
    BOOST_TEST(server.connections() == 1U);
    server.close_expired(net::Loop::now() + 15'100'000);
    BOOST_TEST(server.connections() == 0U);
    BOOST_TEST(run_until([&] { return client.receive().closed; }));
    BOOST_TEST(client.received.empty());
}

BOOST_FIXTURE_TEST_CASE(a_request_that_does_not_arrive_in_time_is_rejected, LimitsFixture) {
    ScriptedConnection client = connect();
    client.send("GET / HTTP/1.1\r\n");
    BOOST_REQUIRE(run_until([&] { return server.busy_connections() == 1; }));
    server.close_expired(net::Loop::now() + 17'000'000);
    BOOST_TEST(server.connections() == 1U);
    server.close_expired(net::Loop::now() + 18'100'000);
    BOOST_TEST(run_until([&] { return client.has_received("HTTP/1.1 408"); }));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_waits_for_its_response_has_no_timeout, LimitsFixture) {
    ScriptedConnection client = connect();
    client.send(request_bytes("/slow"));
    BOOST_REQUIRE(run_until_requests(1));
    server.close_expired(net::Loop::now() + 60'000'000);
    respond(requests[0].exchange, "expected");
    BOOST_TEST(run_until([&] { return client.has_received("expected"); }));
}

BOOST_FIXTURE_TEST_CASE(connections_beyond_the_maximum_are_closed, LimitsFixture) {
    std::vector<ScriptedConnection> clients;
    for (std::size_t count = 0; count < kMaxConnections; ++count) clients.push_back(connect());
    BOOST_REQUIRE(run_until([&] { return server.connections() == kMaxConnections; }));
    ScriptedConnection refused = connect();
    BOOST_TEST(run_until([&] { return refused.receive().closed; }));
    BOOST_TEST(server.connections() == kMaxConnections);
    BOOST_TEST(!clients.front().receive().closed);
}

BOOST_FIXTURE_TEST_CASE(an_error_response_states_the_error_and_when_to_retry, LimitsFixture) {
    ScriptedConnection client = connect();
    client.send(request_bytes("/a"));
    BOOST_REQUIRE(run_until_requests(1));
    server.respond(requests[0].exchange, ErrorCode::no_slot, "a \"quoted\"\nword", 1500);
    BOOST_REQUIRE(run_until([&] { return client.has_received("}"); }));
    BOOST_TEST(client.received.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
    BOOST_TEST(client.received.find("Retry-After: 1.500\r\n") != std::string::npos);
    BOOST_TEST(client.received.ends_with(std::string("{\"error_message\":\"") +
                                         error_response(ErrorCode::no_slot).name +
                                         ": a \\\"quoted\\\" word\"}"));
}

}  // namespace
}  // namespace gannethold::cluster
