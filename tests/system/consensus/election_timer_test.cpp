// When elections are due (consensus/election_timer.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/election_timer.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kNow = 5'000'000;
constexpr Micros kTimeout = 450'000;

BOOST_AUTO_TEST_CASE(an_election_is_due_between_one_timeout_and_the_longest_candidacy) {
    ElectionTimer timer(kTimeout, 7);
    BOOST_TEST(timer.max_candidacy() == 750'000);
    for (int n = 0; n < 1000; ++n) {
        timer.restart(kNow);
        BOOST_REQUIRE(timer.due_at() >= kNow + kTimeout);
        BOOST_REQUIRE(timer.due_at() < kNow + timer.max_candidacy());
    }
}

BOOST_AUTO_TEST_CASE(an_eager_election_is_due_within_80_ms) {
    ElectionTimer timer(kTimeout, 7);
    for (int n = 0; n < 1000; ++n) {
        timer.restart_eagerly(kNow);
        BOOST_REQUIRE(timer.due_at() >= kNow + 40'000);
        BOOST_REQUIRE(timer.due_at() < kNow + 80'000);
    }
}

BOOST_AUTO_TEST_CASE(members_with_other_seeds_stand_at_other_times) {
    ElectionTimer first(kTimeout, 1);
    ElectionTimer second(kTimeout, 2);
    first.restart(kNow);
    second.restart(kNow);
    BOOST_TEST(first.due_at() != second.due_at());
}

}  // namespace
}  // namespace gannethold::cluster
