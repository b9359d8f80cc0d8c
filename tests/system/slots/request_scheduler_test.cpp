#include "cluster/slots/request_scheduler.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

// One ready runner with one slot, which the first proxy's request 1 holds.
struct OneSlotTaken {
    explicit OneSlotTaken(const SlotTable::Options& options = {}) : table(options) {
        table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
        table.slot_table.on_acquire_request(0, kFirst, acquire(1), table.outbox);
        table.outbox.clear();
    }
    void wait(Micros now, std::uint32_t id, std::uint32_t latency_target_ms,
              std::uint32_t deadline_ms = 60'000) {
        AcquireRequest request = acquire(id);
        request.latency_target_ms = latency_target_ms;
        request.deadline_ms = deadline_ms;
        table.slot_table.on_acquire_request(now, kSecond, request, table.outbox);
    }
    // The request, now served, that the slot goes to as it comes free.
    std::uint32_t release(Micros now, Session session, std::uint32_t id) {
        table.slot_table.on_release(now, session, {id, table.only_runner().number, ReleaseReason::unused, 0},
                                    table.outbox);
        const AcquireGranted* const granted = last_of<AcquireGranted>(table.outbox, kSecond);
        return granted ? granted->id : 0;
    }
    SlotTableFixture table;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_slot_that_comes_free_goes_to_the_most_urgent_request) {
    OneSlotTaken taken;
    taken.wait(1000, 2, 5000);
    taken.wait(2000, 3, 1000);
    BOOST_TEST(taken.table.function().waiting.size() == 2U);
    BOOST_TEST(taken.release(3000, kFirst, 1) == 3U);
    const auto& inversions = taken.table.slot_table.priority_inversions().entries();
    BOOST_REQUIRE(inversions.size() == 1U);
    BOOST_TEST(inversions.front().request_id == 3U);
    BOOST_TEST(inversions.front().passed_request_id == 2U);
    BOOST_TEST(inversions.front().reason == std::string(PriorityInversion::kLessTimeLeft));
    BOOST_TEST(inversions.front().time_left < inversions.front().passed_time_left);
    BOOST_TEST(taken.table.function().inversions == 1U);
    BOOST_TEST(taken.release(4000, kSecond, 3) == 2U);
    BOOST_TEST(taken.table.function().inversions == 1U);
}

BOOST_AUTO_TEST_CASE(each_fourth_slot_goes_to_a_late_request) {
    OneSlotTaken taken;
    taken.wait(0, 2, 150);  // late from 50 ms on
    Micros now = 100'000;
    for (std::uint32_t id = 3; id <= 9; ++id) taken.wait(now, id, 30'000);
    Session holder = kFirst;
    std::uint32_t holder_id = 1;
    std::vector<std::uint32_t> served;
    for (int n = 0; n < 4; ++n) {
        holder_id = taken.release(now += 1000, holder, holder_id);
        holder = kSecond;
        served.push_back(holder_id);
    }
    BOOST_TEST((served == std::vector<std::uint32_t>{3, 4, 5, 2}));
    const auto& inversions = taken.table.slot_table.priority_inversions().entries();
    BOOST_REQUIRE(inversions.size() == 3U);
    BOOST_TEST(inversions.front().reason == std::string(PriorityInversion::kPassedIsLate));
}

BOOST_AUTO_TEST_CASE(a_request_at_the_end_of_a_long_queue_is_denied_at_once) {
    OneSlotTaken taken;
    for (std::uint32_t id = 2; id < 40; ++id) taken.wait(0, id, 1000);
    taken.table.outbox.clear();
    taken.wait(0, 40, 1000, 4000);  // 3.8 s of work wait for one slot
    const AcquireDenied* const denied = last_of<AcquireDenied>(taken.table.outbox, kSecond);
    BOOST_REQUIRE(denied != nullptr);
    BOOST_TEST(denied->id == 40U);
    BOOST_TEST(denied->retry_after_ms >= 100U);
    BOOST_TEST(denied->retry_after_ms <= 3000U);
    BOOST_TEST((denied->wait_reason == WaitReason::slot));
}

BOOST_AUTO_TEST_CASE(a_request_that_can_not_be_in_time_is_denied_with_the_next_sample) {
    OneSlotTaken taken;
    taken.wait(0, 2, 1000, 500);  // its work takes 100 ms
    taken.table.slot_table.tick(400'000, taken.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(taken.table.outbox, kSecond) == 0);
    taken.table.slot_table.tick(400'001, taken.table.outbox);
    BOOST_REQUIRE(count_of<AcquireDenied>(taken.table.outbox, kSecond) == 1);
    BOOST_TEST(last_of<AcquireDenied>(taken.table.outbox, kSecond)->retry_after_ms == 0U);
    BOOST_TEST(taken.table.function().waiting.empty());
}

BOOST_AUTO_TEST_CASE(a_late_request_whose_turn_would_come_too_late_is_denied_with_the_next_sample) {
    OneSlotTaken taken;
    taken.wait(0, 2, 100, 500);
    taken.release(1000, kFirst, 99);  // no such grant; the queue sees that the request has become late
    taken.table.slot_table.tick(200'000, taken.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(taken.table.outbox, kSecond) == 0);
    // A turn takes 125 ms, and the work has to begin by 400 ms.
    taken.table.slot_table.tick(275'001, taken.table.outbox);
    BOOST_REQUIRE(count_of<AcquireDenied>(taken.table.outbox, kSecond) == 1);
    BOOST_TEST(last_of<AcquireDenied>(taken.table.outbox, kSecond)->retry_after_ms == 1000U);
}

BOOST_AUTO_TEST_CASE(a_release_of_a_waiting_request_takes_it_from_the_queue) {
    OneSlotTaken taken;
    taken.wait(0, 2, 1000);
    taken.table.slot_table.on_release(0, kSecond, {2, 0, ReleaseReason::unused, 0}, taken.table.outbox);
    BOOST_TEST(taken.table.function().waiting.empty());
    BOOST_TEST(taken.release(1000, kFirst, 1) == 0U);
    BOOST_TEST(taken.table.only_runner().outstanding() == 0U);
}

BOOST_AUTO_TEST_CASE(retries_beyond_the_budget_are_denied) {
    SlotTable::Options options;
    options.retry_budget = 2;
    OneSlotTaken taken(options);
    AcquireRequest retry = acquire(2);
    retry.is_retry = true;
    taken.table.slot_table.on_acquire_request(0, kSecond, retry, taken.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(taken.table.outbox, kSecond) == 0);
    retry.id = 3;
    taken.table.slot_table.on_acquire_request(0, kSecond, retry, taken.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(taken.table.outbox, kSecond) == 1);
}

}  // namespace gannethold::cluster
