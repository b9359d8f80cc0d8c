#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <vector>

#include "cluster/proxy/local_queue_scheduler.hpp"

namespace gannethold::cluster {
namespace {

constexpr int kLateTurnInterval = 3;

QueuedRequest make_queued(RequestId id, Micros since, Micros target_at, bool late) {
    return {id, {since, target_at, 0, late}};
}

BOOST_AUTO_TEST_CASE(the_most_urgent_request_goes_first_and_a_late_one_once_per_interval) {
    const std::vector<QueuedRequest> queue = {make_queued(1, 10, 900, false), make_queued(2, 20, 800, false),
                                              make_queued(3, 5, 50, true)};
    LocalQueueScheduler scheduler;
    BOOST_TEST(scheduler.next(queue, kLateTurnInterval) == 1U);
    scheduler.on_served(queue[1]);
    scheduler.on_served(queue[0]);
    BOOST_TEST(scheduler.next(queue, kLateTurnInterval) == 2U);
    scheduler.on_served(queue[2]);
    BOOST_TEST(scheduler.next(queue, kLateTurnInterval) == 1U);
}

BOOST_AUTO_TEST_CASE(of_the_late_requests_the_one_that_has_waited_longest_goes_first) {
    const std::vector<QueuedRequest> queue = {make_queued(1, 10, 20, true), make_queued(2, 5, 30, true)};
    BOOST_TEST(LocalQueueScheduler().next(queue, kLateTurnInterval) == 1U);
}

}  // namespace
}  // namespace gannethold::cluster
