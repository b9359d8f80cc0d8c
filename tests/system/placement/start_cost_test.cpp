#include "cluster/placement/start_cost.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {
namespace {

// A function of one gigabyte.
Service service(Micros boot, Micros latency_target) {
    Service service;
    service.memory_mb = 1024;
    service.boot_duration = boot;
    service.min_latency_target = latency_target;
    return service;
}

ExchangeRates rates() {
    ExchangeRates rates;
    rates.instance_gb_second = 0.5;
    rates.instance_start = 1;
    rates.late_request = 1;
    return rates;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_cost_of_a_start_includes_the_memory_that_it_holds) {
    const StartCost cost(rates(), BootTimes(), service(2'000'000, 0));
    BOOST_TEST(cost.runner_second() == 0.5);
    BOOST_TEST(cost.start() == 2.0);
    BOOST_TEST(cost.break_even() == 4'000'000);
    BOOST_TEST(cost.late_requests(100) == 0.0);  // no latency target, because no route leads to the function
}

BOOST_AUTO_TEST_CASE(requests_are_late_while_a_start_exceeds_their_latency_target) {
    const StartCost slow(rates(), BootTimes(), service(2'000'000, 200'000));
    BOOST_TEST(slow.late_requests(0) == 1.0, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(slow.late_requests(10) == 1 + 10 * 1.96, boost::test_tools::tolerance(1e-2));
    const StartCost fast(rates(), BootTimes(), service(100'000, 2'000'000));
    BOOST_TEST(fast.late_requests(10) < 1e-6);
}

BOOST_AUTO_TEST_CASE(the_cost_of_late_requests_rises_continuously_with_the_boot_duration) {
    double last = 0;
    for (Micros boot = 100'000; boot <= 3'000'000; boot += 20'000) {
        const double late = StartCost(rates(), BootTimes(), service(boot, 1'500'000)).late_requests(1);
        BOOST_TEST(late >= last);
        BOOST_TEST(late - last < 0.05);
        last = late;
    }
    BOOST_TEST(last > 2);
}

BOOST_AUTO_TEST_CASE(an_idle_runner_is_kept_if_the_next_request_arrives_soon_enough) {
    const StartCost cost(rates(), BootTimes(), service(2'000'000, 10'000'000));
    BOOST_TEST(!cost.is_cheaper_to_keep(0.24));  // a start costs as much as four seconds of an idle runner
    BOOST_TEST(cost.is_cheaper_to_keep(0.26));
    BOOST_TEST(!cost.is_cheaper_to_start_ahead(10));  // no request would be late
    const StartCost urgent(rates(), BootTimes(), service(2'000'000, 200'000));
    BOOST_TEST(!urgent.is_cheaper_to_start_ahead(0.1));
    BOOST_TEST(urgent.is_cheaper_to_start_ahead(0.5));
}

BOOST_AUTO_TEST_CASE(measured_boot_durations_replace_the_configured_duration) {
    BootTimes boot_times;
    for (int n = 0; n < 500; ++n) boot_times.add(3'000'000, 1'000'000);
    BOOST_TEST(boot_times.mean() == 3.0, boost::test_tools::tolerance(1e-2));
    BOOST_TEST(boot_times.deviation() < 0.2);
    const Service configured = service(1'000'000, 2'500'000);
    BOOST_TEST(StartCost(rates(), boot_times, configured).late_requests(0) >
               StartCost(rates(), BootTimes(), configured).late_requests(0) + 0.9);
}

}  // namespace gannethold::cluster
