// Reuse and expiry of an HttpClient's pooled connections.
#include <boost/test/unit_test.hpp>

#include <string>

#include "http_client_fixture.hpp"

namespace gannethold::cluster {
namespace {

std::string response_with_field(const std::string& id, const std::string& field) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n" + field + "\r\nContent-Length: 0\r\n\r\n";
}

bool is_reused_after(const std::string& field) {
    HttpClientFixture fixture;
    BOOST_REQUIRE(
        (fixture.complete_after(response_with_field("id1", field)).result == CallResult::completed));
    fixture.call(make_work_request("next"));
    ScriptedConnection& next = fixture.connection_with("next");
    return &next == &fixture.listener.connections()[0];
}

BOOST_AUTO_TEST_CASE(a_connection_is_reused_unless_its_response_forbids_it) {
    BOOST_TEST(is_reused_after("X-Other: 1"));
    BOOST_TEST(is_reused_after("Keep-Alive: timeout=5, max=100"));
    BOOST_TEST(is_reused_after("Keep-Alive: max=100"));
    BOOST_TEST(!is_reused_after("Connection: close"));
    BOOST_TEST(!is_reused_after("Keep-Alive: timeout=0"));
    BOOST_TEST(!is_reused_after("Keep-Alive: timeout=none"));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_after_half_of_what_the_server_states) {
    HttpClientFixture fixture;
    fixture.complete_after(response_with_field("id1", "Keep-Alive: timeout=2"));
    const Micros completed_at = net::Loop::now();
    ScriptedConnection& connection = fixture.listener.connections()[0];
    fixture.client.close_expired(completed_at + 900'000);
    fixture.run_for(20'000);
    BOOST_TEST(!connection.receive().closed);
    fixture.client.close_expired(completed_at + 1'000'000);
    BOOST_TEST(fixture.run_until([&] { return connection.receive().closed; }));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_after_the_idle_timeout) {
    HttpClientFixture fixture;
    ScriptedConnection& connection = fixture.complete_first_call();
    fixture.client.close_expired(net::Loop::now() + HttpClientFixture::kIdleTimeout - 1'000'000);
    fixture.run_for(20'000);
    BOOST_TEST(!connection.receive().closed);
    fixture.client.close_expired(net::Loop::now() + HttpClientFixture::kIdleTimeout);
    BOOST_TEST(fixture.run_until([&] { return connection.receive().closed; }));
}

BOOST_AUTO_TEST_CASE(no_more_than_the_maximum_of_connections_stay_idle) {
    HttpClientFixture fixture;
    constexpr std::size_t kCalls = HttpClientFixture::kMaxIdleConnections + 1;
    for (std::size_t call = 1; call <= kCalls; ++call) fixture.call(make_work_request(std::to_string(call)));
    for (std::size_t call = 1; call <= kCalls; ++call) {
        const std::string id = std::to_string(call);
        fixture.connection_with(id).send(response_bytes(id, {}));
        BOOST_REQUIRE((fixture.completion_of(call).result == CallResult::completed));
    }
    // The one that became idle first is closed.
    BOOST_TEST(fixture.run_until([&] { return fixture.connection_with("1").receive().closed; }));
    for (std::size_t call = 2; call <= kCalls; ++call)
        BOOST_TEST(!fixture.connection_with(std::to_string(call)).receive().closed);
}

BOOST_AUTO_TEST_CASE(idle_connections_to_an_address_can_be_closed_while_its_calls_go_on) {
    HttpClientFixture fixture;
    ScriptedConnection& idle = fixture.complete_first_call();
    fixture.call(make_work_request("slow"), true);
    ScriptedConnection& busy = fixture.connection_with("slow");
    fixture.client.close_idle(fixture.listener.address());
    BOOST_TEST(fixture.run_until([&] { return idle.receive().closed; }));
    busy.send(response_bytes("slow", "expected"));
    BOOST_TEST(fixture.completion_of(2).response.body == "expected");
}

BOOST_AUTO_TEST_CASE(a_preconnected_connection_serves_the_next_call) {
    HttpClientFixture fixture;
    fixture.client.preconnect(fixture.listener.address());
    BOOST_REQUIRE(fixture.run_until([&] { return fixture.preconnected.size() == 1; }));
    BOOST_TEST(fixture.preconnected[0] == fixture.listener.address());
    fixture.call(make_work_request("a"));
    fixture.connection_with("a").send(response_bytes("a", {}));
    BOOST_TEST((fixture.completion_of(1).result == CallResult::completed));
    BOOST_TEST(fixture.listener.connections().size() == 1U);
    BOOST_TEST(fixture.preconnected.size() == 1U);
    BOOST_TEST(fixture.preconnect_failed.empty());
}

BOOST_AUTO_TEST_CASE(a_preconnect_that_is_refused_is_reported) {
    HttpClientFixture fixture;
    fixture.listener.close();
    fixture.client.preconnect(fixture.listener.address());
    BOOST_REQUIRE(fixture.run_until([&] { return fixture.preconnect_failed.size() == 1; }));
    BOOST_TEST(fixture.preconnect_failed[0] == fixture.listener.address());
    BOOST_TEST(fixture.preconnected.empty());
    BOOST_TEST(fixture.completions.empty());
}

}  // namespace
}  // namespace gannethold::cluster
