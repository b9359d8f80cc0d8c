#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE split
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "cluster/split/split.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(fractions_move_to_the_faster_runner_by_clamped_steps) {
    Split split;
    split.add_runner("slow", 8);
    split.add_runner("fast", 8);
    BOOST_TEST(split.shares()[0].fraction == 0.5);
    Micros now = 1'000'000;
    double last_fraction = 0.5;
    for (int period = 0; period < 120; ++period) {
        for (int request = 0; request < 10; ++request) {
            split.on_request();
            split.on_sent("slow");
            split.on_completed("slow", request % 2 ? 0.4 : 0.2);
            split.on_sent("fast");
            split.on_completed("fast", request % 2 ? 0.06 : 0.05);
        }
        split.advance(now += Split::kPeriod, static_cast<std::uint64_t>(period));
        const double fraction = split.shares()[0].fraction;
        BOOST_TEST(fraction <= last_fraction + 1e-12);
        BOOST_TEST(fraction >= last_fraction / 2 - 1e-12);  // a step takes at most half of a fraction
        BOOST_TEST(std::abs(split.shares()[0].fraction + split.shares()[1].fraction - 1) < 1e-9);
        last_fraction = fraction;
    }
    BOOST_TEST(last_fraction < 0.4);
    split.add_runner("new", 8);
    BOOST_TEST(std::abs(split.shares()[2].fraction - 1.0 / 3) < 0.1);
    split.remove_runner("slow");
    BOOST_TEST(std::abs(split.shares()[0].fraction + split.shares()[1].fraction - 1) < 1e-9);
}

}  // namespace
}  // namespace gannethold::cluster
