#include "cluster/slots/arrivals.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {

namespace {
constexpr Micros kStart = 10'000'000;
constexpr Micros kSecond = 1'000'000;
}  // namespace

BOOST_AUTO_TEST_CASE(an_arrival_count_decays_exponentially) {
    ArrivalCount count;
    count.add(kStart, 10);
    BOOST_TEST(count.recent(kStart) == 10.0);
    BOOST_TEST(count.recent(kStart + 30 * kSecond) == 10 / 2.718281828, boost::test_tools::tolerance(1e-6));
    count.add(kStart + 30 * kSecond, 1);
    BOOST_TEST(count.recent(kStart + 30 * kSecond) == 1 + 10 / 2.718281828,
               boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(observed_time_starts_with_the_first_request_and_is_bounded_by_the_decay_time) {
    ObservedTime time;
    BOOST_TEST(time.seconds(kStart) == 0.0);
    time.on_request(kStart);
    time.on_request(kStart + kSecond);
    BOOST_TEST(time.seconds(kStart) == 0.0);
    BOOST_TEST(time.seconds(kStart + kSecond) == 1.0, boost::test_tools::tolerance(0.02));
    BOOST_TEST(time.seconds(kStart + 1000 * kSecond) == 30.0, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(the_estimated_rate_moves_from_the_group_mean_to_the_observed_rate) {
    FunctionGroup group{10, {}};
    ArrivalCount used;
    const ArrivalCount unused;
    // Before any request: the prior divided by the number of members.
    BOOST_TEST(ExpectedRate(0, 20).requests_per_s(kStart, unused, group) == 2.0);
    // Twenty seconds later one function of ten has received all 400 requests, 20 per second.
    const Micros now = kStart + 20 * kSecond;
    used.add(now, 400);
    group.arrivals.add(now, 400);
    const ExpectedRate rate(20, 20);
    BOOST_TEST(rate.requests_per_s(now, used, group) == (400 + 3 * 2.0) / 23,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(rate.requests_per_s(now, unused, group) == 3 * 2.0 / 23, boost::test_tools::tolerance(1e-6));
}

}  // namespace gannethold::cluster
