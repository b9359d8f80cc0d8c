#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "cluster/proxy/work_time.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(the_upper_estimate_follows_the_samples) {
    WorkTime work;
    BOOST_TEST(!work.upper_estimate().has_value());
    std::mt19937 random(11);
    std::lognormal_distribution<> distribution(std::log(1.4e6), 0.4);
    int above_estimate = 0;
    constexpr int kSamples = 5000;
    for (int sample = 0; sample < kSamples; ++sample) {
        const auto duration = static_cast<Micros>(distribution(random));
        if (sample > 20 && duration > *work.upper_estimate()) ++above_estimate;
        work.add(duration);
    }
    BOOST_TEST(above_estimate > kSamples / 100);
    BOOST_TEST(above_estimate < kSamples / 10);
    for (int sample = 0; sample < 100; ++sample) work.add(50'000);
    BOOST_TEST(*work.upper_estimate() < 100'000);
}

}  // namespace
}  // namespace gannethold::cluster
