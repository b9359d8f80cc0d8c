// Digests of configurations (configuration/digest.hpp). The fixtures of cluster_formats pin the digest
// function.
#include "cluster/configuration/digest.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster::tests {

BOOST_AUTO_TEST_CASE(whitespace_between_values_does_not_change_a_digest) {
    const auto digest = configuration_digest(R"({"version":7,"name":"a b"})");
    BOOST_TEST(configuration_digest("{ \"version\" : 7,\r\n\t\"name\":\"a b\" }\n") == digest);
    BOOST_TEST(configuration_digest(R"({"version":7,"name":"ab"})") != digest);
    BOOST_TEST(configuration_digest(R"({"version":8,"name":"a b"})") != digest);
}

BOOST_AUTO_TEST_CASE(text_that_is_not_json_has_a_digest) {
    BOOST_TEST(configuration_digest("\"open") == configuration_digest("\"open"));
    BOOST_TEST(configuration_digest("\"open") != configuration_digest("\"opem"));
    BOOST_TEST(configuration_digest("") == 0xcbf29ce484222325ULL);
}

}  // namespace gannethold::cluster::tests
