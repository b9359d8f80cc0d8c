// How calls of an HttpClient end, and which responses it attributes to a request.
#include "cluster/transport/http_client.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

#include "http_client_fixture.hpp"

namespace gannethold::cluster {
namespace {

constexpr int kSmallBuffer = 4096;
constexpr std::size_t kMoreThanBuffersHold = 24U << 20;  // of both sockets of a loopback connection

const auto kClose = [](ScriptedConnection& connection) { connection.close(); };
const auto kReset = [](ScriptedConnection& connection) { connection.reset(); };

BOOST_AUTO_TEST_CASE(a_call_whose_head_was_sent_is_never_reported_as_not_sent) {
    // The server may execute a request once it has the head, even if the body is truncated.
    HttpClientFixture fixture(kSmallBuffer);
    fixture.call(make_work_request("long", "POST", std::string(kMoreThanBuffersHold, 'x')));
    BOOST_REQUIRE(fixture.receive_first_head());
    fixture.listener.connections()[0].reset();
    BOOST_TEST((fixture.completion_of(1).result == CallResult::connection_lost));
}

BOOST_AUTO_TEST_CASE(a_call_whose_head_was_truncated_is_reported_as_not_sent) {
    HttpClientFixture fixture(kSmallBuffer);
    HttpMessage request = make_work_request("long");
    request.fields.emplace_back("X-Long", std::string(kMoreThanBuffersHold, 'x'));
    fixture.call(request);
    BOOST_REQUIRE(fixture.run_until([&] {
        return !fixture.listener.connections().empty() &&
               !fixture.listener.connections()[0].receive(1024).received.empty();
    }));
    fixture.listener.connections()[0].reset();
    BOOST_TEST((fixture.completion_of(1).result == CallResult::not_sent));
}

BOOST_AUTO_TEST_CASE(a_call_to_a_closed_port_fails_to_connect) {
    HttpClientFixture fixture;
    fixture.listener.close();
    fixture.call(make_work_request("a"));
    BOOST_TEST((fixture.completion_of(1).result == CallResult::connect_failed));
}

BOOST_AUTO_TEST_CASE(a_call_without_a_response_is_not_sent_again) {
    for (const bool is_reused : {false, true})
        for (const bool reset : {false, true}) {
            HttpClientFixture fixture;
            if (is_reused) fixture.complete_first_call();
            fixture.call(make_work_request("once", "POST", {}));
            ScriptedConnection& connection = fixture.connection_with("once");
            if (reset)
                connection.reset();
            else
                connection.close();
            BOOST_TEST((fixture.completion_of(fixture.last_call).result == CallResult::connection_lost));
            fixture.run_for(50'000);
            std::size_t times = 0;
            for (ScriptedConnection& each : fixture.listener.connections())
                times += count_occurrences(each.receive().received, "/work/once");
            BOOST_TEST(times == 1U);
            BOOST_TEST(fixture.listener.connections().size() == 1U);
        }
}

BOOST_AUTO_TEST_CASE(an_idle_connection_that_the_server_closed_is_not_reused) {
    for (const bool reset : {false, true}) {
        HttpClientFixture fixture;
        ScriptedConnection& connection = fixture.complete_first_call();
        if (reset)
            connection.reset();
        else
            connection.close();
        fixture.call(make_work_request("next"));  // the loop has not seen the end of the connection yet
        fixture.connection_with("next").send(response_bytes("next", "second"));
        BOOST_TEST((fixture.completion_of(fixture.last_call).result == CallResult::completed));
    }
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_never_complete) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\n";
    for (const HttpClientFixture::Script& then :
         {HttpClientFixture::Script(kClose), HttpClientFixture::Script(kReset)}) {
        BOOST_TEST(
            (HttpClientFixture().complete_after("HTTP/1.1 200", then).result == CallResult::connection_lost));
        BOOST_TEST((HttpClientFixture().complete_after(head, then).result == CallResult::connection_lost));
        BOOST_TEST((HttpClientFixture().complete_after(head + "Content-Length: 5\r\n\r\nbyte", then).result ==
                    CallResult::connection_lost));
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (const char* const part : {"", "5\r\nbyt", "5\r\nbytes", "5\r\nbytes\r\n", "5\r\nbytes\r\n0\r\n"})
            BOOST_TEST((HttpClientFixture().complete_after(chunked + part, then).result ==
                        CallResult::connection_lost),
                       part);
    }
    // Without a length, a truncation cannot be distinguished from the end of the body.
    BOOST_TEST((HttpClientFixture().complete_after(head + "\r\nbytes", kClose).result ==
                CallResult::malformed_response));
    BOOST_TEST(
        (HttpClientFixture().complete_after("SSH-2.0\r\n\r\n").result == CallResult::malformed_response));
    BOOST_TEST((HttpClientFixture()
                    .complete_after(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nbytes")
                    .result == CallResult::malformed_response));
}

BOOST_AUTO_TEST_CASE(the_response_to_a_cancelled_call_is_discarded) {
    HttpClientFixture fixture;
    fixture.call(make_work_request("silent"));
    ScriptedConnection& silent = fixture.connection_with("silent");
    fixture.client.cancel(CallId{1});
    fixture.call(make_work_request("next"));
    ScriptedConnection& next = fixture.connection_with("next");
    BOOST_TEST(&silent != &next);
    silent.send(response_bytes("silent", "late"));
    next.send(response_bytes("next", "expected"));
    BOOST_TEST(fixture.completion_of(2).response.body == "expected");
    BOOST_TEST(fixture.completions.size() == 1U);
    BOOST_TEST(silent.receive().closed);
}

BOOST_AUTO_TEST_CASE(a_connection_with_bytes_behind_its_response_is_not_reused) {
    // The bytes come in one write with the response, or after it and before the next call.
    for (const bool is_one_write : {true, false}) {
        HttpClientFixture fixture;
        const std::string extra = response_bytes("id1", "extra");
        fixture.complete_after(
            response_bytes("id1", "first") + (is_one_write ? extra : std::string()),
            [&](ScriptedConnection&) { fixture.run_until([&] { return !fixture.completions.empty(); }); });
        ScriptedConnection& old = fixture.listener.connections()[0];
        if (!is_one_write) old.send(extra);
        fixture.call(make_work_request("next"));
        ScriptedConnection& next = fixture.connection_with("next");
        BOOST_TEST(&next != &old);
        next.send(response_bytes("next", "expected"));
        BOOST_TEST(fixture.completion_of(2).response.body == "expected");
    }
}

BOOST_AUTO_TEST_CASE(a_duplicate_response_is_discarded_and_its_connection_not_reused) {
    HttpClientFixture fixture;
    ScriptedConnection& connection = fixture.complete_first_call();
    fixture.call(make_work_request("next"));
    BOOST_TEST(&fixture.connection_with("next") == &connection);
    connection.send(response_bytes("before", "extra") + response_bytes("next", "expected"));
    BOOST_TEST(fixture.completion_of(2).response.body == "expected");
    // A server that sent one duplicate may send another.
    fixture.call(make_work_request("third"));
    BOOST_TEST(&fixture.connection_with("third") != &connection);
}

BOOST_AUTO_TEST_CASE(a_request_without_an_id_ignores_responses_with_an_id) {
    HttpClientFixture fixture;
    ScriptedConnection& connection = fixture.complete_first_call();
    HttpMessage request = make_work_request("");
    request.target = "/work/nameless";
    fixture.call(request);
    BOOST_TEST(&fixture.connection_with("nameless") == &connection);
    connection.send(response_bytes("before", "of another"));
    connection.send(response_bytes("", "expected"));
    BOOST_TEST(fixture.completion_of(2).response.body == "expected");
}

BOOST_AUTO_TEST_CASE(a_connection_is_not_reused_after_a_response_that_preceded_the_end_of_its_request) {
    HttpClientFixture fixture(kSmallBuffer);
    fixture.call(make_work_request("long", "POST", std::string(kMoreThanBuffersHold, 'x')));
    BOOST_REQUIRE(fixture.receive_first_head());
    fixture.listener.connections()[0].send(response_bytes("long", "early"));
    BOOST_TEST(fixture.completion_of(1).response.body == "early");
    fixture.call(make_work_request("next"));
    BOOST_REQUIRE(fixture.run_until([&] { return fixture.listener.connections().size() == 2; }));
    // The next request is not sent after the rest of the long one.
    BOOST_TEST(count_occurrences(fixture.listener.connections()[0].receive().received, "/work/next") == 0U);
    fixture.connection_with("next").send(response_bytes("next", "expected"));
    BOOST_TEST(fixture.completion_of(2).response.body == "expected");
}

BOOST_AUTO_TEST_CASE(interim_responses_are_skipped) {
    const HttpClientFixture::Completion completion = HttpClientFixture().complete_after(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: id1\r\n\r\n" +
        response_bytes("id1", "expected"));
    BOOST_TEST(completion.response.body == "expected");
    BOOST_TEST(completion.response.status == 200);
    BOOST_TEST((HttpClientFixture().complete_after("HTTP/1.1 101 x\r\nX-Attempt-Id: id1\r\n\r\n").result ==
                CallResult::malformed_response));
    BOOST_TEST((HttpClientFixture().complete_after("HTTP/1.1 100 Continue\r\n\r\n", kClose).result ==
                CallResult::connection_lost));
}

BOOST_AUTO_TEST_CASE(responses_that_never_have_a_body_end_with_their_head) {
    for (const char* const status : {"204 No Content", "304 Not Modified"}) {
        HttpClientFixture fixture;
        const HttpClientFixture::Completion completion = fixture.complete_after(
            "HTTP/1.1 " + std::string(status) + "\r\nX-Attempt-Id: id1\r\nContent-Length: 5\r\n\r\n");
        BOOST_TEST((completion.result == CallResult::completed));
        BOOST_TEST(completion.response.body.empty());
    }
    HttpClientFixture fixture;
    fixture.call(make_work_request("head", "HEAD"));
    ScriptedConnection& connection = fixture.connection_with("head");
    connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: head\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST((fixture.completion_of(1).result == CallResult::completed));
    // The next response on this connection has a body.
    fixture.call(make_work_request("next"));
    BOOST_TEST(&fixture.connection_with("next") == &connection);
    connection.send(response_bytes("next", "expected"));
    BOOST_TEST(fixture.completion_of(2).response.body == "expected");
}

BOOST_AUTO_TEST_CASE(a_half_closed_connection_has_ended) {
    const auto half_close = [](ScriptedConnection& connection) { connection.half_close(); };
    BOOST_TEST((HttpClientFixture().complete_after("", half_close).result == CallResult::connection_lost));
    HttpClientFixture fixture;
    BOOST_TEST(
        (fixture.complete_after(response_bytes("id1", "bytes"), half_close).result == CallResult::completed));
    fixture.call(make_work_request("next"));
    BOOST_TEST(&fixture.connection_with("next") != &fixture.listener.connections()[0]);
}

BOOST_AUTO_TEST_CASE(a_repeated_request_can_go_on_a_new_connection) {
    // A duplicate of the first response has the same id and would be mistaken for the second response.
    HttpClientFixture fixture;
    const std::string not_run =
        "HTTP/1.1 503 x\r\nX-Attempt-Id: same\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    fixture.call(make_work_request("same"));
    ScriptedConnection& first = fixture.connection_with("same");
    first.send(not_run);
    fixture.completion_of(1);
    fixture.call(make_work_request("same"), true);
    BOOST_REQUIRE(fixture.run_until([&] { return fixture.listener.connections().size() == 2; }));
    first.send(not_run);
    ScriptedConnection& second = fixture.listener.connections()[1];
    BOOST_REQUIRE(fixture.run_until([&] { return second.has_received("/work/same"); }));
    second.send(response_bytes("same", "expected"));
    BOOST_TEST(fixture.completion_of(2).response.body == "expected");
}

BOOST_AUTO_TEST_CASE(no_call_completes_before_call_returns) {
    HttpClientFixture fixture(0, 1);
    HttpMessage request =
        make_work_request("a", "POST", std::string(100'000, 'x'));  // more than the pool of blocks holds
    fixture.client.preconnect(fixture.listener.address());
    BOOST_REQUIRE(fixture.run_until([&] { return !fixture.listener.connections().empty(); }));
    fixture.run_for(20'000);
    fixture.call(request);
    BOOST_TEST((fixture.completion_of(1).result == CallResult::not_sent));
    BOOST_TEST(!fixture.completions[0].is_within_call);
    fixture.call_to("nowhere", request);
    BOOST_TEST((fixture.completion_of(2).result == CallResult::connect_failed));
    BOOST_TEST(!fixture.completions[1].is_within_call);
    // A call that is cancelled before its failure was reported has no event.
    fixture.call_to("nowhere", request);
    fixture.client.cancel(CallId{fixture.last_call});
    fixture.run_for(20'000);
    BOOST_TEST(fixture.completions.size() == 2U);
}

}  // namespace
}  // namespace gannethold::cluster
