// Duration of a graceful shutdown (controller/graceful_shutdown.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/controller/graceful_shutdown.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kBegin = 5'000'000;
constexpr Micros kGracePeriod = 6'000'000;

BOOST_AUTO_TEST_SUITE(graceful_shutdown)

BOOST_AUTO_TEST_CASE(is_not_complete_before_it_has_begun) {
    const GracefulShutdown shutdown;
    BOOST_TEST(!shutdown.has_begun());
    BOOST_TEST(!shutdown.is_complete(kBegin, true));
}

BOOST_AUTO_TEST_CASE(lasts_long_enough_for_responses_in_flight) {
    GracefulShutdown shutdown;
    shutdown.begin(kBegin, kGracePeriod);
    BOOST_TEST(shutdown.has_begun());
    BOOST_TEST(!shutdown.is_complete(kBegin + 299'999, true));
    BOOST_TEST(shutdown.is_complete(kBegin + 300'000, true));
}

BOOST_AUTO_TEST_CASE(waits_for_other_members_for_at_most_half_of_the_grace_period) {
    GracefulShutdown shutdown;
    shutdown.begin(kBegin, kGracePeriod);
    BOOST_TEST(!shutdown.is_complete(kBegin + kGracePeriod / 2 - 1, false));
    BOOST_TEST(shutdown.is_complete(kBegin + kGracePeriod / 2, false));
}

BOOST_AUTO_TEST_CASE(has_a_minimum_duration_if_the_grace_period_is_short) {
    GracefulShutdown shutdown;
    shutdown.begin(kBegin, 100'000);
    BOOST_TEST(!shutdown.is_complete(kBegin + 60'000, false));
    BOOST_TEST(shutdown.is_complete(kBegin + 300'000, false));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
