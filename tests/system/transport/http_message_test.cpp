// Serialization of HTTP messages, and the comparison of field names.
#include "cluster/transport/http_message.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(a_get_without_a_body_states_no_length) {
    HttpMessage request;
    request.method = "GET";
    request.target = "/a";
    request.fields = {{"Host", "h"}};
    BOOST_TEST(serialize(request) == "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    request.method = "POST";
    BOOST_TEST(serialize(request) == "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_response_states_its_length_unless_it_can_have_no_body) {
    HttpMessage response;
    response.status = 200;
    response.body = "ab";
    BOOST_TEST(serialize(response) == "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    response.keeps_alive = false;
    BOOST_TEST(serialize(response) == "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab");
    response.keeps_alive = true;
    response.responds_to_head = true;
    BOOST_TEST(serialize(response) == "HTTP/1.1 200 OK\r\n\r\n");
    response.responds_to_head = false;
    response.status = 204;
    BOOST_TEST(serialize(response) == "HTTP/1.1 204 Status\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(field_names_are_compared_case_insensitively) {
    HttpMessage message;
    message.fields = {{"X-Attempt-Id", "first"}, {"x-attempt-id", "second"}};
    BOOST_TEST(message.field("x-ATTEMPT-id") == "first");
    BOOST_TEST(message.field("X-Attempt").empty());
    BOOST_TEST(is_hop_by_hop("transfer-encoding"));
    BOOST_TEST(is_hop_by_hop("Connection"));
    BOOST_TEST(!is_hop_by_hop("X-Attempt-Id"));
}

}  // namespace
}  // namespace gannethold::cluster
