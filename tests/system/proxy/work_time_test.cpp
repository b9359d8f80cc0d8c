#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "cluster/proxy/work_time.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(the_usual_longest_time_of_work_follows_what_is_seen) {
    WorkTime work;
    BOOST_TEST(!work.upper_estimate().has_value());
    std::mt19937 random(11);
    std::lognormal_distribution<> spread(std::log(1.4e6), 0.4);
    int longer = 0;
    constexpr int kAll = 5000;
    for (int n = 0; n < kAll; ++n) {
        const auto took = static_cast<Micros>(spread(random));
        if (n > 20 && took > *work.upper_estimate()) ++longer;
        work.add(took);
    }
    BOOST_TEST(longer > kAll / 100);
    BOOST_TEST(longer < kAll / 10);
    for (int n = 0; n < 100; ++n) work.add(50'000);
    BOOST_TEST(*work.upper_estimate() < 100'000);
}

}  // namespace
}  // namespace gannethold::cluster
