#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/shutdown.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(a_shutdown_closes_idle_connections_then_answers_pending_requests_then_stops) {
    using Step = Shutdown::Step;
    constexpr Micros kBegin = 10'000'000;
    constexpr Micros kGrace = 6'000'000;
    Shutdown shutdown;
    BOOST_TEST((shutdown.next_step(kBegin, 0) == Step::none));
    shutdown.begin(kBegin, kGrace);
    // No connection is busy, but clients still open new connections.
    BOOST_TEST((shutdown.next_step(kBegin + 2'000'000, 0) == Step::none));
    BOOST_TEST((shutdown.next_step(kBegin + 2'600'000, 3) == Step::close_idle));
    BOOST_TEST((shutdown.next_step(kBegin + 2'600'000, 3) == Step::none));
    BOOST_TEST((shutdown.next_step(shutdown.response_deadline() - 1, 3) == Step::none));
    BOOST_TEST((shutdown.next_step(shutdown.response_deadline(), 3) == Step::answer_pending));
    // All responses are generated, but one is not written completely.
    BOOST_TEST((shutdown.next_step(shutdown.response_deadline(), 1) == Step::none));
    BOOST_TEST((shutdown.next_step(shutdown.response_deadline() + 10'000, 0) == Step::stop));
    // A client that does not read its response delays the stop until shortly before the end of the grace
    // period.
    BOOST_TEST((shutdown.next_step(kBegin + kGrace - 150'000, 1) == Step::none));
    BOOST_TEST((shutdown.next_step(kBegin + kGrace - 100'000, 1) == Step::stop));
}

BOOST_AUTO_TEST_CASE(a_shutdown_ends_early_if_no_connection_is_busy) {
    Shutdown shutdown;
    shutdown.begin(0, 6'000'000);
    BOOST_TEST((shutdown.next_step(2'600'000, 0) == Shutdown::Step::close_idle));
    BOOST_TEST((shutdown.next_step(2'600'000, 0) == Shutdown::Step::stop));
}

BOOST_AUTO_TEST_CASE(a_short_grace_period_reserves_time_for_the_last_responses) {
    constexpr Micros kGrace = 800'000;
    Shutdown shutdown;
    shutdown.begin(0, kGrace);
    BOOST_TEST(shutdown.response_deadline() > kGrace / 2);
    BOOST_TEST(shutdown.response_deadline() < kGrace);
    BOOST_TEST((shutdown.next_step(kGrace / 2, 1) == Shutdown::Step::close_idle));
    BOOST_TEST((shutdown.next_step(shutdown.response_deadline(), 1) == Shutdown::Step::answer_pending));
    BOOST_TEST((shutdown.next_step(kGrace, 1) == Shutdown::Step::stop));
}

BOOST_AUTO_TEST_CASE(a_process_that_stalled_past_its_grace_period_still_answers_before_it_stops) {
    Shutdown shutdown;
    shutdown.begin(0, 6'000'000);
    constexpr Micros kTooLate = 7'000'000;
    BOOST_TEST((shutdown.next_step(kTooLate, 4) == Shutdown::Step::close_idle));
    BOOST_TEST((shutdown.next_step(kTooLate, 4) == Shutdown::Step::answer_pending));
    BOOST_TEST((shutdown.next_step(kTooLate, 0) == Shutdown::Step::stop));
}

}  // namespace
}  // namespace gannethold::cluster
