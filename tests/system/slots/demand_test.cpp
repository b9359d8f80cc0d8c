#include "cluster/slots/demand.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {

namespace {
constexpr double kSpan = 0.1;
}

BOOST_AUTO_TEST_CASE(demand_approaches_the_work_that_arrives_per_second) {
    Demand demand(0.7);
    BOOST_TEST(demand.slots() == 0.0);
    for (int n = 0; n < 100; ++n) demand.sample(0.3, 3, kSpan);
    BOOST_TEST(demand.slots() == 3.0, boost::test_tools::tolerance(1e-9));
    for (int n = 0; n < 100; ++n) demand.sample(0, 0, kSpan);
    BOOST_TEST(demand.slots() < 1e-4);
}

BOOST_AUTO_TEST_CASE(the_first_requests_have_their_full_effect_immediately) {
    Demand demand(6);
    for (int n = 0; n < 5; ++n) demand.sample(0.3, 3, kSpan);
    BOOST_TEST(demand.slots() == 3.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(the_first_sample_has_more_weight_with_more_requests) {
    Demand few(0.7);
    few.sample(0.1, 1, kSpan);  // a single request: its work divided by the minimal observed time
    BOOST_TEST(few.slots() == 0.1 / 0.3, boost::test_tools::tolerance(1e-9));
    Demand many(0.7);
    many.sample(1.6, 16, kSpan);  // 16 slots less one standard deviation of 16 random arrivals
    BOOST_TEST(many.slots() == 12.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(the_load_is_the_larger_of_demand_and_occupied_slots) {
    SlotLoad by_demand;
    SlotLoad by_occupation;
    for (int sample = 0; sample < 600; ++sample) {
        by_demand.add_work(0.4);
        by_demand.sample(0, 0, 1, kSpan);
        by_occupation.add_work(0.1);
        by_occupation.sample(0, 0, 5, kSpan);
    }
    BOOST_TEST(by_demand.slow() == 4.0, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(by_demand.fast() == 4.0, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(by_occupation.slow() == 5.0, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(by_occupation.peak() >= by_occupation.slow());
}

BOOST_AUTO_TEST_CASE(reported_slots_count_as_demand) {
    SlotLoad load;
    for (int n = 0; n < 600; ++n) load.sample(2.5, 20, 0, kSpan);
    BOOST_TEST(load.slow() == 2.5, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(request_rates_of_zones_are_smoothed_and_summed) {
    ZoneDemands zones;
    BOOST_TEST(zones.requests_per_s() == 0.0);
    for (int n = 0; n < 1000; ++n) {
        zones.add_request("a");
        zones.add_request("a");
        zones.sample({{"b", 5.0}}, kSpan);
    }
    BOOST_TEST(zones.requests_per_s("a") == 20.0, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(zones.requests_per_s("b") == 5.0, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(zones.requests_per_s("c") == 0.0);
    BOOST_TEST(zones.requests_per_s() == 25.0, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(zones.by_zone().size() == 2U);
}

}  // namespace gannethold::cluster
