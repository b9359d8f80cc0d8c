#include "cluster/slots/request_scheduler.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

// One ready runner with one slot, which is granted to request 1 of the first proxy.
struct OneSlotFixture {
    explicit OneSlotFixture(const SlotTable::Options& options = {}) : table(options) {
        table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
        table.slot_table.on_acquire_request(0, kFirstProxy, acquire(1), table.outbox);
        table.outbox.clear();
    }
    // Adds a request of the second proxy, which waits.
    void wait(Micros now, std::uint32_t id, std::uint32_t latency_target_ms,
              std::uint32_t deadline_ms = 60'000) {
        AcquireRequest request = acquire(id);
        request.latency_target_ms = latency_target_ms;
        request.deadline_ms = deadline_ms;
        table.slot_table.on_acquire_request(now, kSecondProxy, request, table.outbox);
    }
    // Releases the slot and returns the id of the request that it is granted to; 0 if there is none.
    std::uint32_t release(Micros now, Session session, std::uint32_t id) {
        table.slot_table.on_release(now, session, {id, table.only_runner().number, ReleaseReason::unused, 0},
                                    table.outbox);
        const AcquireGranted* const granted = last_of<AcquireGranted>(table.outbox, kSecondProxy);
        return granted ? granted->id : 0;
    }
    SlotTableFixture table;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_freed_slot_is_granted_to_the_most_urgent_request) {
    OneSlotFixture fixture;
    fixture.wait(1000, 2, 5000);
    fixture.wait(2000, 3, 1000);
    BOOST_TEST(fixture.table.function().waiting.size() == 2U);
    BOOST_TEST(fixture.release(3000, kFirstProxy, 1) == 3U);
    const auto& inversions = fixture.table.slot_table.priority_inversions().entries();
    BOOST_REQUIRE(inversions.size() == 1U);
    BOOST_TEST(inversions.front().request_id == 3U);
    BOOST_TEST(inversions.front().passed_request_id == 2U);
    BOOST_TEST(inversions.front().reason == std::string(PriorityInversion::kLessTimeLeft));
    BOOST_TEST(inversions.front().time_left < inversions.front().passed_time_left);
    BOOST_TEST(fixture.table.function().inversions == 1U);
    BOOST_TEST(fixture.release(4000, kSecondProxy, 3) == 2U);
    BOOST_TEST(fixture.table.function().inversions == 1U);
}

BOOST_AUTO_TEST_CASE(every_fourth_slot_is_granted_to_a_late_request) {
    OneSlotFixture fixture;
    fixture.wait(0, 2, 150);  // late after 50 ms
    Micros now = 100'000;
    for (std::uint32_t id = 3; id <= 9; ++id) fixture.wait(now, id, 30'000);
    Session holder = kFirstProxy;
    std::uint32_t holder_id = 1;
    std::vector<std::uint32_t> served;
    for (int grant = 0; grant < 4; ++grant) {
        holder_id = fixture.release(now += 1000, holder, holder_id);
        holder = kSecondProxy;
        served.push_back(holder_id);
    }
    BOOST_TEST((served == std::vector<std::uint32_t>{3, 4, 5, 2}));
    const auto& inversions = fixture.table.slot_table.priority_inversions().entries();
    BOOST_REQUIRE(inversions.size() == 3U);
    BOOST_TEST(inversions.front().reason == std::string(PriorityInversion::kPassedIsLate));
}

BOOST_AUTO_TEST_CASE(a_request_at_the_end_of_a_long_queue_is_denied_immediately) {
    OneSlotFixture fixture;
    for (std::uint32_t id = 2; id < 40; ++id) fixture.wait(0, id, 1000);
    fixture.table.outbox.clear();
    fixture.wait(0, 40, 1000, 4000);  // 3.8 s of work are queued for one slot
    const AcquireDenied* const denied = last_of<AcquireDenied>(fixture.table.outbox, kSecondProxy);
    BOOST_REQUIRE(denied != nullptr);
    BOOST_TEST(denied->id == 40U);
    BOOST_TEST(denied->retry_after_ms >= 100U);
    BOOST_TEST(denied->retry_after_ms <= 3000U);
    BOOST_TEST((denied->wait_reason == WaitReason::slot));
}

BOOST_AUTO_TEST_CASE(a_request_that_cannot_meet_its_deadline_is_denied_by_the_next_sample) {
    OneSlotFixture fixture;
    fixture.wait(0, 2, 1000, 500);  // the work takes 100 ms
    fixture.table.slot_table.tick(400'000, fixture.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(fixture.table.outbox, kSecondProxy) == 0);
    fixture.table.slot_table.tick(400'001, fixture.table.outbox);
    BOOST_REQUIRE(count_of<AcquireDenied>(fixture.table.outbox, kSecondProxy) == 1);
    BOOST_TEST(last_of<AcquireDenied>(fixture.table.outbox, kSecondProxy)->retry_after_ms == 0U);
    BOOST_TEST(fixture.table.function().waiting.empty());
}

BOOST_AUTO_TEST_CASE(a_late_request_whose_turn_would_come_after_its_deadline_is_denied_by_the_next_sample) {
    OneSlotFixture fixture;
    fixture.wait(0, 2, 100, 500);
    fixture.release(1000, kFirstProxy, 99);  // no such grant; makes the queue classify the request as late
    fixture.table.slot_table.tick(200'000, fixture.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(fixture.table.outbox, kSecondProxy) == 0);
    // A turn takes 125 ms, and the work has to start by 400 ms.
    fixture.table.slot_table.tick(275'001, fixture.table.outbox);
    BOOST_REQUIRE(count_of<AcquireDenied>(fixture.table.outbox, kSecondProxy) == 1);
    BOOST_TEST(last_of<AcquireDenied>(fixture.table.outbox, kSecondProxy)->retry_after_ms == 1000U);
}

BOOST_AUTO_TEST_CASE(a_release_of_a_waiting_request_removes_it_from_the_queue) {
    OneSlotFixture fixture;
    fixture.wait(0, 2, 1000);
    fixture.table.slot_table.on_release(0, kSecondProxy, {2, 0, ReleaseReason::unused, 0},
                                        fixture.table.outbox);
    BOOST_TEST(fixture.table.function().waiting.empty());
    BOOST_TEST(fixture.release(1000, kFirstProxy, 1) == 0U);
    BOOST_TEST(fixture.table.only_runner().outstanding() == 0U);
}

BOOST_AUTO_TEST_CASE(retries_beyond_the_budget_are_denied) {
    SlotTable::Options options;
    options.retry_budget = 2;
    OneSlotFixture fixture(options);
    AcquireRequest retry = acquire(2);
    retry.is_retry = true;
    fixture.table.slot_table.on_acquire_request(0, kSecondProxy, retry, fixture.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(fixture.table.outbox, kSecondProxy) == 0);
    retry.id = 3;
    fixture.table.slot_table.on_acquire_request(0, kSecondProxy, retry, fixture.table.outbox);
    BOOST_TEST(count_of<AcquireDenied>(fixture.table.outbox, kSecondProxy) == 1);
}

}  // namespace gannethold::cluster
