// Election timeouts (consensus/election_timer.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/election_timer.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kNow = 5'000'000;
constexpr Micros kTimeout = 450'000;

BOOST_AUTO_TEST_CASE(an_election_is_due_after_the_timeout_and_within_the_maximum_candidacy_duration) {
    ElectionTimer timer(kTimeout, 7);
    BOOST_TEST(timer.max_candidacy_duration() == 750'000);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        timer.restart(kNow);
        BOOST_REQUIRE(timer.due_at() >= kNow + kTimeout);
        BOOST_REQUIRE(timer.due_at() < kNow + timer.max_candidacy_duration());
    }
}

BOOST_AUTO_TEST_CASE(an_eager_election_is_due_within_80_ms) {
    ElectionTimer timer(kTimeout, 7);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        timer.restart_eagerly(kNow);
        BOOST_REQUIRE(timer.due_at() >= kNow + 40'000);
        BOOST_REQUIRE(timer.due_at() < kNow + 80'000);
    }
}

BOOST_AUTO_TEST_CASE(members_with_different_seeds_have_different_timeouts) {
    ElectionTimer first(kTimeout, 1);
    ElectionTimer second(kTimeout, 2);
    first.restart(kNow);
    second.restart(kNow);
    BOOST_TEST(first.due_at() != second.due_at());
}

}  // namespace
}  // namespace gannethold::cluster
