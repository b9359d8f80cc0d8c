#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "cluster/proxy_server/probe_schedule.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kAddress[] = "10.0.0.1:80";
constexpr Micros kNow = 10'000'000;
const std::vector<std::string> kOnlyAddress{kAddress};

BOOST_AUTO_TEST_CASE(an_address_is_probed_again_after_an_interval_when_a_probe_fails) {
    ProbeSchedule probes;
    BOOST_TEST(!probes.next().has_value());
    probes.add(kNow, kAddress);
    BOOST_TEST(probes.next().value() == kNow);
    BOOST_TEST(probes.take_due(kNow).probed == kOnlyAddress);
    BOOST_TEST(!probes.next().has_value());
    BOOST_TEST(probes.take_due(kNow + 60'000).probed.empty());
    BOOST_TEST(probes.on_connect_failed(kNow + 10'000, kAddress));
    BOOST_TEST(probes.take_due(kNow + 49'999).probed.empty());
    BOOST_TEST(probes.take_due(kNow + 50'000).probed == kOnlyAddress);
}

BOOST_AUTO_TEST_CASE(an_address_that_accepted_a_connection_is_not_probed_again) {
    ProbeSchedule probes;
    probes.add(kNow, kAddress);
    probes.take_due(kNow);
    BOOST_TEST(probes.on_connected(kAddress));
    BOOST_TEST(!probes.on_connected(kAddress));
    BOOST_TEST(!probes.on_connect_failed(kNow, kAddress));
    BOOST_TEST(probes.take_due(kNow + 1'000'000).probed.empty());
}

BOOST_AUTO_TEST_CASE(a_probe_expires_once) {
    ProbeSchedule probes;
    probes.add(kNow, kAddress);
    const ProbeSchedule::Due due = probes.take_due(kNow + 12'000'001);
    BOOST_TEST(due.expired == kOnlyAddress);
    BOOST_TEST(due.probed.empty());
    BOOST_TEST(probes.take_due(kNow + 13'000'000).expired.empty());
}

}  // namespace
}  // namespace gannethold::cluster
