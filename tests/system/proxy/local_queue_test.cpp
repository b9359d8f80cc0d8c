#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <vector>

#include "cluster/proxy/local_queue.hpp"

namespace gannethold::cluster {
namespace {

constexpr int kLateTurn = 3;

QueuedRequest waiting(RequestId id, Micros since, Micros target_at, bool late) {
    return {id, {since, target_at, 0, late}};
}

BOOST_AUTO_TEST_CASE(the_most_urgent_goes_first_and_a_late_one_at_its_turn) {
    const std::vector<QueuedRequest> queue = {waiting(1, 10, 900, false), waiting(2, 20, 800, false),
                                              waiting(3, 5, 50, true)};
    LateTurns turns;
    BOOST_TEST(turns.next(queue, kLateTurn) == 1U);
    turns.on_served(queue[1]);
    turns.on_served(queue[0]);
    BOOST_TEST(turns.next(queue, kLateTurn) == 2U);
    turns.on_served(queue[2]);
    BOOST_TEST(turns.next(queue, kLateTurn) == 1U);
}

BOOST_AUTO_TEST_CASE(among_late_ones_the_one_that_waits_longest_goes_first) {
    const std::vector<QueuedRequest> queue = {waiting(1, 10, 20, true), waiting(2, 5, 30, true)};
    BOOST_TEST(LateTurns().next(queue, kLateTurn) == 1U);
}

}  // namespace
}  // namespace gannethold::cluster
