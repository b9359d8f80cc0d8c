#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string>

#include "cluster/configuration/delta.hpp"
#include "cluster/proxy_server/configuration_receiver.hpp"

namespace gannethold::cluster {
namespace {

std::string body(Number version) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r","host":"h","path_prefix":"/","route_kind":"idempotent","timeout_ms":1500,)"
           R"("target_latency_ms":300,"priority":1,"service":"f","max_attempts":2}],)"
           R"("services":[{"name":"f","connection_limit":20,"memory_mb":128,"boot_duration_ms":600,"max_concurrency":8}]})";
}

// The version of the received configuration; 0: an error.
Number receive(ConfigurationReceiver& receiver, const ConfigurationUpdate& update, Number version) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<Number> {
            BOOST_LEAF_AUTO(configuration, receiver.receive(update, version));
            return configuration->version();
        },
        [] { return Number{0}; });
}

BOOST_AUTO_TEST_CASE(a_difference_applies_to_the_current_version_only) {
    ConfigurationReceiver receiver;
    BOOST_TEST(receive(receiver, {1, {0, make_delta({}, body(1))}}, 0) == 1U);
    const std::string difference = make_delta(body(1), body(2));
    BOOST_TEST(receive(receiver, {2, {7, difference}}, 1) == 0U);
    BOOST_TEST(receive(receiver, {2, {1, "noise"}}, 1) == 0U);
    BOOST_TEST(receive(receiver, {2, {1, difference}}, 1) == 2U);
}

BOOST_AUTO_TEST_CASE(after_an_invalid_configuration_the_next_difference_still_applies) {
    ConfigurationReceiver receiver;
    BOOST_TEST(receive(receiver, {1, {0, make_delta({}, body(1))}}, 0) == 1U);
    BOOST_TEST(receive(receiver, {2, {0, make_delta({}, "{")}}, 1) == 0U);
    BOOST_TEST(receive(receiver, {3, {1, make_delta(body(1), body(3))}}, 1) == 3U);
}

}  // namespace
}  // namespace gannethold::cluster
