// Tests which version of the configuration a proxy is sent, and which version the difference is based on.
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "cluster/configuration/delta.hpp"
#include "cluster/coordinator/configuration_publisher.hpp"

namespace gannethold::cluster {
namespace {

std::string body(Number version) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

BOOST_AUTO_TEST_SUITE(configuration_publisher)

BOOST_AUTO_TEST_CASE(sends_nothing_before_a_version_is_published) {
    ConfigurationPublisher publisher;
    ProxyConfiguration proxy;
    BOOST_TEST(publisher.newest() == 0U);
    BOOST_TEST(!publisher.next_update(proxy).has_value());
    BOOST_TEST(proxy.in_flight == 0U);
}

BOOST_AUTO_TEST_CASE(sends_the_complete_configuration_to_a_proxy_that_has_none) {
    ConfigurationPublisher publisher;
    publisher.publish(3, body(3));
    ProxyConfiguration proxy;
    const std::optional<ConfigurationUpdate> update = publisher.next_update(proxy);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->version == 3U);
    BOOST_TEST(update->delta.base == 0U);
    BOOST_TEST(update->delta.bytes == make_delta({}, body(3)));
    BOOST_TEST(proxy.in_flight == 3U);
}

BOOST_AUTO_TEST_CASE(sends_one_version_at_a_time_and_then_the_newest) {
    ConfigurationPublisher publisher;
    publisher.publish(1, body(1));
    ProxyConfiguration proxy;
    BOOST_REQUIRE(publisher.next_update(proxy).has_value());
    publisher.publish(2, body(2));
    publisher.publish(3, body(3));
    BOOST_TEST(!publisher.next_update(proxy).has_value());
    proxy = {1, 0};  // version 1 is acknowledged
    const std::optional<ConfigurationUpdate> update = publisher.next_update(proxy);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->version == 3U);
    BOOST_TEST(update->delta.base == 1U);
    BOOST_TEST(update->delta.bytes == make_delta(body(1), body(3)));
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_proxy_that_is_up_to_date) {
    ConfigurationPublisher publisher;
    publisher.publish(5, body(5));
    ProxyConfiguration current{5, 0};
    ProxyConfiguration newer{6, 0};
    BOOST_TEST(!publisher.next_update(current).has_value());
    BOOST_TEST(!publisher.next_update(newer).has_value());
}

BOOST_AUTO_TEST_CASE(sends_the_complete_configuration_if_the_acknowledged_version_is_too_old_for_a_base) {
    ConfigurationPublisher publisher;
    for (Number version = 1; version <= 9; ++version) publisher.publish(version, body(version));
    ProxyConfiguration too_old{1, 0};
    ProxyConfiguration recent{2, 0};
    BOOST_TEST(publisher.next_update(too_old)->delta.base == 0U);
    BOOST_TEST(publisher.next_update(recent)->delta.base == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
