#define BOOST_TEST_MODULE placement
#include "cluster/placement/planner.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {
namespace {

// A slot table and a planner for a platform with two workers of 4 GB; a runner takes 1 GB.
struct PlannerFixture {
    explicit PlannerFixture(int latency_target_ms = 5000)
        : slot_table({}), planner(options(latency_target_ms), kStart) {
        slot_table.configure(one_function(1, 1000, latency_target_ms));
        slot_table.on_proxy_registered(kStart, kFirstProxy, registration("first", "z-b"), outbox);
        planner.update_workers(workers());
        planner.on_list_complete(kStart);
    }
    // Requests are expected before any has arrived only if the latency target is short.
    static Planner::Options options(int latency_target_ms) {
        Planner::Options options;
        if (latency_target_ms > 1000) options.rates.expected_requests_per_s = 0;
        options.nonce_prefix = "node-1-";
        options.requests_per_s = 100;
        options.takeover_delay = 300'000;
        return options;
    }
    static std::vector<Worker> workers() {
        return {{"w-a", "z-a", 4096, 4096, true}, {"w-b", "z-b", 4096, 4096, true}};
    }
    // Runs one sample and returns the requests that are due after it.
    PlatformRequests sample() {
        now += SlotTable::kSampleInterval;
        slot_table.tick(now, outbox);
        planner.plan_all(now, slot_table, outbox);
        return planner.take_due_requests(now);
    }
    // The first start that becomes due within this many samples; without a nonce if there is none.
    StartRunner first_start(int samples) {
        for (int n = 0; n < samples; ++n)
            if (const PlatformRequests due = sample(); !due.starts.empty()) return due.starts.front();
        return {};
    }
    // The runner of the first stop that becomes due within this many samples; empty if there is none.
    std::string first_stop(int samples) {
        for (int n = 0; n < samples; ++n)
            if (const PlatformRequests due = sample(); !due.stops.empty()) return due.stops.front().runner;
        return {};
    }
    // A request of the proxy, which waits unless a slot is free.
    void request(std::uint32_t id) {
        AcquireRequest request = acquire(id);
        request.deadline_ms = 60'000;
        Function* const function = slot_table.on_acquire_request(now, kFirstProxy, request, outbox);
        planner.plan_for_waiting(now, slot_table, *function, outbox);
    }
    // The platform answers that the start has succeeded.
    void start(const StartRunner& start, const std::string& id) {
        RunnerInfo info = runner_info(id, planner.zone_of(start.worker).c_str(), start.worker.c_str());
        slot_table.on_runner_started(now, info, outbox);
        planner.on_start_result(now, start.nonce, StartResult::started);
    }

    static constexpr Micros kStart = 10'000'000;
    Micros now = kStart;
    ProxyOutbox outbox;
    SlotTable slot_table;
    Planner planner;
};

}  // namespace

BOOST_AUTO_TEST_CASE(nothing_is_planned_before_the_lists_are_read_and_the_takeover_delay_is_over) {
    PlannerFixture fixture(100);  // short target: a warm runner is planned
    BOOST_TEST(!fixture.planner.is_ready(PlannerFixture::kStart + 299'999));
    BOOST_TEST(fixture.planner.is_ready(PlannerFixture::kStart + 300'000));
    BOOST_TEST(fixture.sample().starts.empty());
    fixture.planner.update_workers({});
    BOOST_TEST(!fixture.planner.is_ready(PlannerFixture::kStart + 300'000));
    Planner without_list(PlannerFixture::options(100), 0);
    without_list.update_workers(PlannerFixture::workers());
    BOOST_TEST(!without_list.is_ready(PlannerFixture::kStart));
}

BOOST_AUTO_TEST_CASE(a_warm_runner_is_started_before_the_first_request) {
    PlannerFixture fixture(100);
    const StartRunner start = fixture.first_start(5);
    BOOST_TEST(start.service == "f");
    BOOST_TEST(start.reason == std::string("warm"));
    BOOST_TEST(start.nonce == "node-1-1");
    fixture.start(start, "i-1");
    BOOST_TEST(fixture.first_start(50).nonce.empty());
}

BOOST_AUTO_TEST_CASE(an_unused_function_has_no_runner) {
    PlannerFixture fixture;
    BOOST_TEST(fixture.first_start(50).nonce.empty());
}

BOOST_AUTO_TEST_CASE(a_runner_for_a_waiting_request_is_started_near_its_proxy) {
    PlannerFixture fixture;
    for (int n = 0; n < 5; ++n) fixture.sample();
    fixture.request(1);
    const PlatformRequests due = fixture.planner.take_due_requests(fixture.now);
    BOOST_REQUIRE(due.starts.size() == 1U);
    BOOST_TEST(due.starts.front().worker == "w-b");
    BOOST_TEST(due.starts.front().reason == std::string("waiting"));
    // The pending start provides one slot, so that only another waiting request requires another start.
    BOOST_TEST(fixture.sample().starts.empty());
    fixture.request(2);
    BOOST_TEST(fixture.planner.take_due_requests(fixture.now).starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_start_that_timed_out_is_attempted_four_times_with_the_same_nonce) {
    PlannerFixture fixture(100);
    const StartRunner first = fixture.first_start(5);
    BOOST_REQUIRE(!first.nonce.empty());
    for (int attempt = 2; attempt <= 4; ++attempt) {
        fixture.planner.on_start_result(fixture.now, first.nonce, StartResult::timed_out);
        const StartRunner retry = fixture.first_start(5);
        BOOST_TEST(retry.nonce == first.nonce);
        BOOST_TEST(retry.worker == first.worker);
    }
    fixture.planner.on_start_result(fixture.now, first.nonce, StartResult::timed_out);
    const StartRunner other = fixture.first_start(5);
    BOOST_TEST(!other.nonce.empty());
    BOOST_TEST(other.nonce != first.nonce);
}

BOOST_AUTO_TEST_CASE(a_start_on_a_full_worker_is_replaced_by_one_on_another_worker) {
    PlannerFixture fixture(100);
    const StartRunner first = fixture.first_start(5);
    BOOST_REQUIRE(!first.nonce.empty());
    fixture.planner.on_start_result(fixture.now, first.nonce, StartResult::no_capacity);
    const StartRunner other = fixture.first_start(5);
    BOOST_TEST(!other.nonce.empty());
    BOOST_TEST(other.worker != first.worker);
    fixture.planner.on_start_result(fixture.now, other.nonce, StartResult::no_capacity);
    BOOST_TEST(fixture.first_start(5).nonce.empty());  // both workers count as full for a second
    BOOST_TEST(fixture.slot_table.functions().at("f")->no_worker_has_room);
    BOOST_TEST(!fixture.first_start(10).nonce.empty());
}

BOOST_AUTO_TEST_CASE(a_start_that_a_busy_platform_rejects_is_retried_later) {
    PlannerFixture fixture(100);
    const StartRunner first = fixture.first_start(5);
    fixture.planner.on_start_result(fixture.now, first.nonce, StartResult::busy);
    BOOST_TEST(fixture.planner.take_due_requests(fixture.now + 99'999).starts.empty());
    const PlatformRequests due = fixture.planner.take_due_requests(fixture.now + 100'000);
    BOOST_REQUIRE(due.starts.size() == 1U);
    BOOST_TEST(due.starts.front().nonce == first.nonce);
}

BOOST_AUTO_TEST_CASE(a_surplus_runner_is_drained_and_its_stop_is_retried_until_it_succeeds) {
    PlannerFixture fixture;
    fixture.slot_table.on_runner_listed(fixture.now, runner_info("i-1", "z-a", "w-a"), false, fixture.outbox);
    BOOST_TEST(fixture.first_stop(12).empty());  // kept for the break-even time of a start
    BOOST_TEST(fixture.first_stop(3) == "i-1");
    BOOST_TEST(fixture.slot_table.runners().begin()->second.draining);
    BOOST_TEST(fixture.first_stop(9).empty());
    BOOST_TEST(fixture.first_stop(1) == "i-1");  // the first stop was not answered
    fixture.planner.on_stop_result("i-1", false);
    BOOST_TEST(fixture.first_stop(10) == "i-1");
    fixture.planner.on_stop_result("i-1", true);
    fixture.slot_table.on_runner_gone(fixture.now, "i-1", fixture.outbox);
    BOOST_TEST(fixture.first_stop(50).empty());
}

BOOST_AUTO_TEST_CASE(a_runner_that_is_starting_on_a_lost_worker_is_replaced) {
    PlannerFixture fixture(100);
    const StartRunner start = fixture.first_start(5);
    fixture.start(start, "i-1");
    fixture.planner.cancel_lost_starts(fixture.now, fixture.slot_table, fixture.outbox);
    BOOST_TEST(fixture.slot_table.runners().size() == 1U);
    std::vector<Worker> workers = PlannerFixture::workers();
    std::erase_if(workers, [&](const Worker& worker) { return worker.name == start.worker; });
    fixture.planner.update_workers(workers);
    fixture.planner.cancel_lost_starts(fixture.now, fixture.slot_table, fixture.outbox);
    BOOST_TEST(fixture.slot_table.runners().empty());
    const StartRunner other = fixture.first_start(5);
    BOOST_TEST(!other.nonce.empty());
    BOOST_TEST(other.worker != start.worker);
}

}  // namespace gannethold::cluster
