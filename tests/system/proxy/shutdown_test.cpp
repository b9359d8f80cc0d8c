#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/shutdown.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(a_shutdown_closes_answers_and_stops_in_this_order) {
    using Step = Shutdown::Step;
    constexpr Micros kBegin = 10'000'000;
    constexpr Micros kGrace = 6'000'000;
    Shutdown shutdown;
    BOOST_TEST((shutdown.step(kBegin, 0) == Step::none));
    shutdown.begin(kBegin, kGrace);
    // Nothing is open, and new connections still come.
    BOOST_TEST((shutdown.step(kBegin + 2'000'000, 0) == Step::none));
    BOOST_TEST((shutdown.step(kBegin + 2'600'000, 3) == Step::close_idle));
    BOOST_TEST((shutdown.step(kBegin + 2'600'000, 3) == Step::none));
    BOOST_TEST((shutdown.step(shutdown.answer_by() - 1, 3) == Step::none));
    BOOST_TEST((shutdown.step(shutdown.answer_by(), 3) == Step::answer_open));
    // The answers are made and not all written.
    BOOST_TEST((shutdown.step(shutdown.answer_by(), 1) == Step::none));
    BOOST_TEST((shutdown.step(shutdown.answer_by() + 10'000, 0) == Step::stop));
    // A client that does not read holds the end up to shortly before the kill, and no longer.
    BOOST_TEST((shutdown.step(kBegin + kGrace - 150'000, 1) == Step::none));
    BOOST_TEST((shutdown.step(kBegin + kGrace - 100'000, 1) == Step::stop));
}

BOOST_AUTO_TEST_CASE(a_shutdown_ends_early_once_nothing_is_open) {
    Shutdown shutdown;
    shutdown.begin(0, 6'000'000);
    BOOST_TEST((shutdown.step(2'600'000, 0) == Shutdown::Step::close_idle));
    BOOST_TEST((shutdown.step(2'600'000, 0) == Shutdown::Step::stop));
}

BOOST_AUTO_TEST_CASE(a_short_grace_period_still_has_time_for_the_last_answers) {
    constexpr Micros kGrace = 800'000;
    Shutdown shutdown;
    shutdown.begin(0, kGrace);
    BOOST_TEST(shutdown.answer_by() > kGrace / 2);
    BOOST_TEST(shutdown.answer_by() < kGrace);
    BOOST_TEST((shutdown.step(kGrace / 2, 1) == Shutdown::Step::close_idle));
    BOOST_TEST((shutdown.step(shutdown.answer_by(), 1) == Shutdown::Step::answer_open));
    BOOST_TEST((shutdown.step(kGrace, 1) == Shutdown::Step::stop));
}

BOOST_AUTO_TEST_CASE(a_process_that_was_held_up_past_its_time_still_answers_before_it_stops) {
    Shutdown shutdown;
    shutdown.begin(0, 6'000'000);
    constexpr Micros kTooLate = 7'000'000;
    BOOST_TEST((shutdown.step(kTooLate, 4) == Shutdown::Step::close_idle));
    BOOST_TEST((shutdown.step(kTooLate, 4) == Shutdown::Step::answer_open));
    BOOST_TEST((shutdown.step(kTooLate, 0) == Shutdown::Step::stop));
}

}  // namespace
}  // namespace gannethold::cluster
