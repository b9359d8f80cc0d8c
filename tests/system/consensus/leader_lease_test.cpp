// Start and expiry of a lease (consensus/leader_lease.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/leader_lease.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kDuration = 330'000;

BOOST_AUTO_TEST_CASE(a_lease_starts_when_the_newest_round_that_a_majority_answered_was_sent) {
    LeaderLease lease(kDuration);
    const Round first = lease.begin_round(1'000'000);
    const Round second = lease.begin_round(1'090'000);
    // Of three voters, the leader and one other are a majority.
    BOOST_TEST(lease.granted_at({second, first, 0}) == 1'000'000);
    BOOST_TEST(lease.granted_at({second, 0, second}) == 1'090'000);
    BOOST_TEST(lease.granted_at({second, 0, 0}) == 0);
    // Of four voters, three are a majority.
    BOOST_TEST(lease.granted_at({second, second, first, 0}) == 1'000'000);
    BOOST_TEST(lease.granted_at({}) == 0);
}

BOOST_AUTO_TEST_CASE(a_lease_expires_after_its_duration) {
    const LeaderLease lease(kDuration);
    BOOST_TEST(lease.is_valid(1'000'000, 1'000'000 + kDuration - 1));
    BOOST_TEST(!lease.is_valid(1'000'000, 1'000'000 + kDuration));
    BOOST_TEST(!lease.is_valid(0, 1));  // never granted
}

BOOST_AUTO_TEST_CASE(a_round_of_an_earlier_term_grants_no_lease) {
    LeaderLease lease(kDuration);
    const Round before = lease.begin_round(1'000'000);
    lease.reset();
    BOOST_TEST(lease.granted_at({before}) == 0);
    BOOST_TEST(lease.begin_round(2'000'000) > before);
}

BOOST_AUTO_TEST_CASE(old_rounds_are_dropped) {
    LeaderLease lease(kDuration);
    const Round first = lease.begin_round(1'000'000);
    Micros now = 1'000'000;
    for (int round = 0; round < 64; ++round) {
        now += 90'000;
        lease.begin_round(now);
    }
    BOOST_TEST(lease.granted_at({first}) == 0);
    BOOST_TEST(lease.granted_at({first + 1}) == 1'090'000);
}

}  // namespace
}  // namespace gannethold::cluster
