#include "cluster/slots/work_durations.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {

BOOST_AUTO_TEST_CASE(the_mean_duration_of_a_request_class_follows_the_samples) {
    WorkDurations durations;
    BOOST_TEST(durations.expected_us(1) == 100'000.0);
    durations.add(1, 20'000);
    BOOST_TEST(durations.expected_us(1) == 20'000.0);
    durations.add(1, 40'000);
    BOOST_TEST(durations.expected_us(1) == 30'000.0);
    BOOST_TEST(durations.expected_us(2) == 100'000.0);
    for (int n = 0; n < 1000; ++n) durations.add(1, 500'000);
    BOOST_TEST(durations.expected_us(1) == 500'000.0, boost::test_tools::tolerance(1e-6));
}

}  // namespace gannethold::cluster
