#include "cluster/slots/wait_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace gannethold::cluster {

namespace {

WaitQueue::Waiting waiting(std::uint32_t id, Micros since, Micros target_at, int priority = 0,
                           Micros deadline_at = 10'000'000, Micros work = 100'000) {
    WaitQueue::Waiting waiting;
    waiting.session = 1;
    waiting.request.id = id;
    waiting.request.priority = static_cast<std::uint8_t>(priority);
    waiting.since = since;
    waiting.target_at = target_at;
    waiting.deadline_at = deadline_at;
    waiting.work = work;
    return waiting;
}

std::vector<std::uint32_t> serve_all(WaitQueue& queue, Micros now, bool late_turn) {
    std::vector<std::uint32_t> served;
    while (const auto next = queue.next(now, late_turn)) {
        served.push_back(next->waiting->request.id);
        queue.remove(next->ticket);
    }
    return served;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_request_with_the_earliest_target_is_served_first) {
    WaitQueue queue;
    queue.add(waiting(1, 0, 3'000'000));
    queue.add(waiting(2, 1, 1'000'000));
    queue.add(waiting(3, 2, 2'000'000));
    BOOST_TEST((serve_all(queue, 10, false) == std::vector<std::uint32_t>{2, 3, 1}));
    BOOST_TEST(queue.empty());
    BOOST_TEST(queue.total_work_us() == 0.0);
}

BOOST_AUTO_TEST_CASE(a_step_of_priority_is_equivalent_to_a_later_target) {
    WaitQueue queue;
    queue.add(waiting(1, 0, 1'000'000, 2));
    queue.add(waiting(2, 1, 1'000'000 + 2 * kPriorityStep - 1, 0));
    BOOST_TEST((serve_all(queue, 10, false) == std::vector<std::uint32_t>{2, 1}));
    queue.add(waiting(1, 0, 1'000'000, 2));
    queue.add(waiting(2, 1, 1'000'000 + 2 * kPriorityStep + 1, 0));
    BOOST_TEST((serve_all(queue, 10, false) == std::vector<std::uint32_t>{1, 2}));
}

BOOST_AUTO_TEST_CASE(late_requests_are_served_last_in_order_of_arrival_except_in_a_late_turn) {
    WaitQueue queue;
    const WaitQueue::Ticket first = queue.add(waiting(1, 0, 500'000));
    queue.add(waiting(2, 1, 200'000));
    const WaitQueue::Ticket on_target = queue.add(waiting(3, 2, 5'000'000));
    const auto next = queue.next(600'000, false);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->ticket == on_target);
    BOOST_TEST(!queue.is_late(on_target));
    BOOST_TEST(queue.is_late(first));
    BOOST_TEST(queue.has_on_target());
    BOOST_TEST(queue.next(600'000, true)->ticket == first);
    BOOST_TEST((serve_all(queue, 600'000, false) == std::vector<std::uint32_t>{3, 1, 2}));
}

BOOST_AUTO_TEST_CASE(a_request_is_late_when_the_time_until_its_target_is_shorter_than_its_work) {
    WaitQueue queue;
    const WaitQueue::Ticket ticket = queue.add(waiting(1, 0, 1'000'000));
    queue.next(900'000, false);
    BOOST_TEST(!queue.is_late(ticket));
    queue.next(900'001, false);
    BOOST_TEST(queue.is_late(ticket));
    BOOST_TEST(!queue.has_on_target());
}

BOOST_AUTO_TEST_CASE(a_request_expires_when_the_time_until_its_deadline_is_shorter_than_its_work) {
    WaitQueue queue;
    queue.add(waiting(1, 0, 1'000'000, 0, 4'000'000));
    queue.add(waiting(2, 1, 1'000'000, 0, 2'000'000));
    BOOST_TEST(!queue.expired(1'900'000).has_value());
    const auto expired = queue.expired(1'900'001);
    BOOST_REQUIRE(expired.has_value());
    BOOST_TEST(expired->waiting->request.id == 2U);
}

BOOST_AUTO_TEST_CASE(the_last_late_request_is_unservable_if_its_turn_comes_after_its_deadline) {
    WaitQueue queue;
    for (std::uint32_t id = 1; id <= 3; ++id) queue.add(waiting(id, id, 100'000, 0, 1'100'000));
    BOOST_TEST(!queue.last_unservable(0, 1e9).has_value());  // no request is late
    BOOST_TEST(!queue.last_unservable(100'000, 300'000).has_value());
    const auto last = queue.last_unservable(100'000, 300'001);
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST(last->waiting->request.id == 3U);
}

BOOST_AUTO_TEST_CASE(requests_of_a_disconnected_proxy_are_removed) {
    WaitQueue queue;
    queue.add(waiting(1, 0, 1'000'000));
    WaitQueue::Waiting other = waiting(2, 1, 1'000'000);
    other.session = 2;
    queue.add(other);
    queue.on_proxy_disconnected(1);
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.total_work_us() == 100'000.0);
    BOOST_TEST(queue.oldest()->request.id == 2U);
    BOOST_TEST(queue.newest()->request.id == 2U);
    queue.on_proxy_disconnected(2);
    BOOST_TEST((queue.oldest() == nullptr));
    BOOST_TEST((queue.newest() == nullptr));
    BOOST_TEST(!queue.next(0, false).has_value());
}

}  // namespace gannethold::cluster
