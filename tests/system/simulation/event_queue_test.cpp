#include "event_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

#include "environment.hpp"
#include "violations.hpp"

namespace gannethold::cluster::simulation {
namespace {

BOOST_AUTO_TEST_CASE(events_run_by_time_and_those_of_one_time_in_the_order_they_were_scheduled) {
    EventQueue events;
    const Micros start = events.now();
    std::string order;
    events.at(start + 20, [&] { order += 'c'; });
    events.at(start + 10, [&] { order += 'a'; });
    events.at(start + 10, [&] { order += 'b'; });
    events.run_until(start + 15);
    BOOST_TEST(order == "ab");
    BOOST_TEST(events.now() == start + 15);
    events.run_until(start + 20);
    BOOST_TEST(order == "abc");
}

BOOST_AUTO_TEST_CASE(an_event_in_the_past_runs_now_and_the_clock_never_goes_back) {
    EventQueue events;
    const Micros start = events.now();
    Micros ran_at = 0;
    events.after(10, [&] { events.at(start, [&] { ran_at = events.now(); }); });
    events.run_until(start + 30);
    BOOST_TEST(ran_at == start + 10);
    events.run_until(start);
    BOOST_TEST(events.now() == start + 30);
}

BOOST_AUTO_TEST_CASE(violations_bear_their_time_and_are_bounded) {
    EventQueue events;
    Violations violations(events);
    BOOST_TEST(violations.empty());
    for (int n = 0; n < 30; ++n) violations.report("broken");
    BOOST_TEST(violations.found().size() == 20U);
    BOOST_TEST(violations.found().front() == "1.000000 s: broken");
}

BOOST_AUTO_TEST_CASE(what_is_impossible_draws_nothing_from_the_random_source) {
    RandomSource random(1);
    RandomSource same_seed(1);
    BOOST_TEST(!random.happens(0));
    BOOST_TEST(random.next() == same_seed.next());
}

BOOST_AUTO_TEST_CASE(a_hop_takes_one_to_four_times_the_least_delay) {
    constexpr Micros kMinDelay = 1'000;
    RandomSource random(1);
    for (int n = 0; n < 1'000; ++n) {
        const Micros delay = random.hop(kMinDelay);
        BOOST_TEST((delay >= kMinDelay && delay < 4 * kMinDelay));
    }
}

}  // namespace
}  // namespace gannethold::cluster::simulation
