// Tests the classification of calls, with responses on real connections and with single responses.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

#include "../scripted_peers.hpp"
#include "cluster/proxy_server/classify_attempt.hpp"
#include "cluster/proxy_server/forwarding.hpp"
#include "cluster/transport/http_client.hpp"

namespace gannethold::cluster {
namespace {

HttpMessage make_request(const std::string& id) {
    HttpMessage message;
    message.method = "GET";
    message.target = "/work/" + id;
    message.fields.emplace_back(kAttemptIdHeader, id);
    return message;
}

std::string make_response(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// A client of a scripted runner, with the classification of each call.
struct ScriptedRunner {
    ScriptedRunner()
        : client(
              loop, {.connect_timeout = 500'000, .max_idle_connections = 6, .id_field = kAttemptIdHeader},
              {.on_call_completed = [this](CompletedCall&& call) {
                  results.push_back(classify_attempt(call.result, call.response, call.first_on_connection));
              }}) {}

    // Makes a call that the runner answers with the given bytes, and returns its classification.
    AttemptResult result_of(const std::string& response) {
        const std::string id = "id" + std::to_string(results.size() + 1);
        const std::size_t expected = results.size() + 1;
        client.call(CallId{expected}, listener.address(), make_request(id));
        ScriptedConnection* connection = nullptr;
        BOOST_REQUIRE(run_loop_until(loop, [&] {
            for (ScriptedConnection& candidate : listener.connections())
                if (candidate.has_received("/work/" + id + " HTTP/1.1\r\n") &&
                    candidate.received.ends_with("\r\n\r\n"))
                    connection = &candidate;
            return connection != nullptr;
        }));
        connection->send(response);
        BOOST_REQUIRE(run_loop_until(loop, [&] { return results.size() == expected; }));
        return results.back();
    }

    net::Loop loop{8192};
    ScriptedListener listener;
    std::vector<AttemptResult> results;
    HttpClient client;
};

BOOST_AUTO_TEST_CASE(a_response_without_an_id_guarantees_nothing_on_a_connection_that_served_other_requests) {
    const std::string not_run = "HTTP/1.1 503 x\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedRunner fresh;
    BOOST_TEST((fresh.result_of(not_run) == AttemptResult::rejected));
    ScriptedRunner kept;
    BOOST_REQUIRE((kept.result_of(make_response("id1", "first")) == AttemptResult::succeeded));
    BOOST_TEST((kept.result_of(not_run) == AttemptResult::outcome_unknown));
    BOOST_TEST(kept.listener.connections().size() == 1U);
    // The same applies after a response to another request.
    ScriptedRunner mismatched;
    BOOST_TEST(
        (mismatched.result_of(make_response("another", "x") + not_run) == AttemptResult::outcome_unknown));
}

BOOST_AUTO_TEST_CASE(only_a_statement_of_the_runner_guarantees_that_a_request_has_not_run) {
    const auto judged = [](int status, std::vector<std::pair<std::string, std::string>> fields) {
        HttpMessage message;
        message.status = status;
        message.fields = std::move(fields);
        return classify_attempt(CallResult::completed, message, false);
    };
    const std::pair<std::string, std::string> id{"X-Attempt-Id", "a"};
    const std::pair<std::string, std::string> not_run{"X-Request-Not-Run", "full"};
    BOOST_TEST((judged(200, {id}) == AttemptResult::succeeded));
    BOOST_TEST((judged(404, {id}) == AttemptResult::succeeded));
    BOOST_TEST((judged(200, {}) == AttemptResult::outcome_unknown));
    BOOST_TEST((judged(200, {id, {"Content-Encoding", "gzip"}}) == AttemptResult::outcome_unknown));
    BOOST_TEST((judged(500, {id}) == AttemptResult::runner_error));
    for (const int status : {408, 429, 503})
        BOOST_TEST((judged(status, {id}) == AttemptResult::outcome_unknown));
    for (const int status : {400, 429, 503})
        BOOST_TEST((judged(status, {id, not_run}) == AttemptResult::rejected));
    BOOST_TEST((judged(421, {id}) == AttemptResult::misdirected));
    BOOST_TEST((classify_attempt(CallResult::connection_lost, {}, true) == AttemptResult::outcome_unknown));
    BOOST_TEST(
        (classify_attempt(CallResult::malformed_response, {}, true) == AttemptResult::outcome_unknown));
    BOOST_TEST((classify_attempt(CallResult::not_sent, {}, true) == AttemptResult::not_sent));
    BOOST_TEST((classify_attempt(CallResult::connect_failed, {}, true) == AttemptResult::connect_failed));
}

}  // namespace
}  // namespace gannethold::cluster
