#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string>

#include "cluster/proxy_server/forwarding.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(an_invalid_deadline_is_ten_minutes) {
    BOOST_TEST(parse_deadline_ms("1500") == 1500U);
    for (const char* const unreadable : {"", "soon", "-1", "99999999999"})
        BOOST_TEST(parse_deadline_ms(unreadable) == 600'000U);
}

BOOST_AUTO_TEST_CASE(an_upstream_request_has_only_the_runner_and_deadline_set_by_the_proxy) {
    HttpMessage client;
    client.method = "POST";
    client.target = "/f/x";
    client.body = "body";
    client.fields = {{"Host", "h"},
                     {"Connection", "close"},
                     {"x-deadline-remaining", "9000"},
                     {"X-Expected-Runner", "forged"},
                     {"X-Attempt-Id", "a"}};
    const HttpMessage request = make_upstream_request(client, {1, "i-1", "10.0.0.1:80", 700});
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/f/x");
    BOOST_TEST(request.body == "body");
    BOOST_TEST(request.fields.size() == 4U);
    BOOST_TEST(request.field("Host") == "h");
    BOOST_TEST(request.field("X-Attempt-Id") == "a");
    BOOST_TEST(request.field(kDeadlineHeader) == "700");
    BOOST_TEST(request.field(kExpectedRunnerHeader) == "i-1");
}

BOOST_AUTO_TEST_CASE(a_downstream_response_has_no_hop_by_hop_fields) {
    HttpMessage upstream;
    upstream.status = 404;
    upstream.body = "body";
    upstream.fields = {{"Keep-Alive", "timeout=5"}, {"X-Runner-Seal", "s"}, {"Content-Length", "4"}};
    const HttpMessage response = make_downstream_response(std::move(upstream));
    BOOST_TEST(response.status == 404);
    BOOST_TEST(response.body == "body");
    BOOST_TEST(response.fields.size() == 1U);
    BOOST_TEST(response.field("X-Runner-Seal") == "s");
}

}  // namespace
}  // namespace gannethold::cluster
