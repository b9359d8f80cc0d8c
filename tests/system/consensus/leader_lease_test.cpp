// When a lease begins and ends (consensus/leader_lease.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/leader_lease.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kDuration = 330'000;

BOOST_AUTO_TEST_CASE(a_lease_counts_from_when_the_round_of_a_majority_was_sent) {
    LeaderLease lease(kDuration);
    const Round first = lease.begin_round(1'000'000);
    const Round second = lease.begin_round(1'090'000);
    // Of three the leader itself and one other make a majority.
    BOOST_TEST(lease.granted_at({second, first, 0}) == 1'000'000);
    BOOST_TEST(lease.granted_at({second, 0, second}) == 1'090'000);
    BOOST_TEST(lease.granted_at({second, 0, 0}) == 0);
    // Of four three do.
    BOOST_TEST(lease.granted_at({second, second, first, 0}) == 1'000'000);
    BOOST_TEST(lease.granted_at({}) == 0);
}

BOOST_AUTO_TEST_CASE(a_lease_ends_after_its_duration) {
    const LeaderLease lease(kDuration);
    BOOST_TEST(lease.is_valid(1'000'000, 1'000'000 + kDuration - 1));
    BOOST_TEST(!lease.is_valid(1'000'000, 1'000'000 + kDuration));
    BOOST_TEST(!lease.is_valid(0, 1));  // never granted
}

BOOST_AUTO_TEST_CASE(no_round_of_an_earlier_term_grants_a_lease) {
    LeaderLease lease(kDuration);
    const Round before = lease.begin_round(1'000'000);
    lease.reset();
    BOOST_TEST(lease.granted_at({before}) == 0);
    BOOST_TEST(lease.begin_round(2'000'000) > before);
}

BOOST_AUTO_TEST_CASE(rounds_of_long_ago_are_forgotten) {
    LeaderLease lease(kDuration);
    const Round first = lease.begin_round(1'000'000);
    Micros now = 1'000'000;
    for (int n = 0; n < 64; ++n) {
        now += 90'000;
        lease.begin_round(now);
    }
    BOOST_TEST(lease.granted_at({first}) == 0);
    BOOST_TEST(lease.granted_at({first + 1}) == 1'090'000);
}

}  // namespace
}  // namespace gannethold::cluster
