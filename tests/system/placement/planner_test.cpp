#define BOOST_TEST_MODULE placement
#include "cluster/placement/planner.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {
namespace {

// A slot table and its planner, before a platform with two workers of 4 GB; a runner takes 1 GB.
struct Planned {
    explicit Planned(int latency_target_ms = 5000)
        : slot_table({}), planner(options(latency_target_ms), kStart) {
        slot_table.configure(one_function(1, 1000, latency_target_ms));
        slot_table.on_proxy_registered(kStart, kFirst, registration("first", "z-b"), outbox);
        planner.update_workers(workers());
        planner.on_list_complete(kStart);
    }
    // Requests are expected of the function that is urgent.
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
    // One sample, and what is due after it.
    PlatformRequests sample() {
        now += SlotTable::kSampleInterval;
        slot_table.tick(now, outbox);
        planner.plan_all(now, slot_table, outbox);
        return planner.take_due_requests(now);
    }
    // The first start that is due within so many samples.
    StartRunner first_start(int samples) {
        for (int n = 0; n < samples; ++n)
            if (const PlatformRequests due = sample(); !due.starts.empty()) return due.starts.front();
        return {};
    }
    // The first stop that is due within so many samples; empty: none.
    std::string first_stop(int samples) {
        for (int n = 0; n < samples; ++n)
            if (const PlatformRequests due = sample(); !due.stops.empty()) return due.stops.front().runner;
        return {};
    }
    void request(std::uint32_t id) {
        AcquireRequest request = acquire(id);
        request.deadline_ms = 60'000;
        Function* const function = slot_table.on_acquire_request(now, kFirst, request, outbox);
        planner.plan_for_waiting(now, slot_table, *function, outbox);
    }
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

BOOST_AUTO_TEST_CASE(nothing_is_planned_before_enough_is_known) {
    Planned planned(100);  // to be kept warm
    BOOST_TEST(!planned.planner.is_ready(Planned::kStart + 299'999));
    BOOST_TEST(planned.planner.is_ready(Planned::kStart + 300'000));
    BOOST_TEST(planned.sample().starts.empty());
    planned.planner.update_workers({});
    BOOST_TEST(!planned.planner.is_ready(Planned::kStart + 300'000));
    Planner without_list(Planned::options(100), 0);
    without_list.update_workers(Planned::workers());
    BOOST_TEST(!without_list.is_ready(Planned::kStart));
}

BOOST_AUTO_TEST_CASE(a_warm_function_has_a_runner_before_anyone_asks) {
    Planned planned(100);
    const StartRunner start = planned.first_start(5);
    BOOST_TEST(start.service == "f");
    BOOST_TEST(start.reason == std::string("warm"));
    BOOST_TEST(start.nonce == "node-1-1");
    planned.start(start, "i-1");
    BOOST_TEST(planned.first_start(50).nonce.empty());
}

BOOST_AUTO_TEST_CASE(an_unused_function_has_no_runner) {
    Planned planned;
    BOOST_TEST(planned.first_start(50).nonce.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_has_a_runner_started_near_its_proxy) {
    Planned planned;
    for (int n = 0; n < 5; ++n) planned.sample();
    planned.request(1);
    const PlatformRequests due = planned.planner.take_due_requests(planned.now);
    BOOST_REQUIRE(due.starts.size() == 1U);
    BOOST_TEST(due.starts.front().worker == "w-b");
    BOOST_TEST(due.starts.front().reason == std::string("waiting"));
    // The start is pending: it has one slot, and only another request that waits needs one more.
    BOOST_TEST(planned.sample().starts.empty());
    planned.request(2);
    BOOST_TEST(planned.planner.take_due_requests(planned.now).starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_start_that_timed_out_is_repeated_under_its_nonce_four_times_at_most) {
    Planned planned(100);
    const StartRunner first = planned.first_start(5);
    BOOST_REQUIRE(!first.nonce.empty());
    for (int attempt = 2; attempt <= 4; ++attempt) {
        planned.planner.on_start_result(planned.now, first.nonce, StartResult::timed_out);
        const StartRunner again = planned.first_start(5);
        BOOST_TEST(again.nonce == first.nonce);
        BOOST_TEST(again.worker == first.worker);
    }
    planned.planner.on_start_result(planned.now, first.nonce, StartResult::timed_out);
    const StartRunner other = planned.first_start(5);
    BOOST_TEST(!other.nonce.empty());
    BOOST_TEST(other.nonce != first.nonce);
}

BOOST_AUTO_TEST_CASE(a_start_without_room_is_tried_on_another_worker) {
    Planned planned(100);
    const StartRunner first = planned.first_start(5);
    BOOST_REQUIRE(!first.nonce.empty());
    planned.planner.on_start_result(planned.now, first.nonce, StartResult::no_capacity);
    const StartRunner other = planned.first_start(5);
    BOOST_TEST(!other.nonce.empty());
    BOOST_TEST(other.worker != first.worker);
    planned.planner.on_start_result(planned.now, other.nonce, StartResult::no_capacity);
    BOOST_TEST(planned.first_start(5).nonce.empty());  // both are full for a second
    BOOST_TEST(planned.slot_table.functions().at("f")->no_worker_has_room);
    BOOST_TEST(!planned.first_start(10).nonce.empty());
}

BOOST_AUTO_TEST_CASE(a_start_at_a_busy_platform_is_repeated_later) {
    Planned planned(100);
    const StartRunner first = planned.first_start(5);
    planned.planner.on_start_result(planned.now, first.nonce, StartResult::busy);
    BOOST_TEST(planned.planner.take_due_requests(planned.now + 99'999).starts.empty());
    const PlatformRequests due = planned.planner.take_due_requests(planned.now + 100'000);
    BOOST_REQUIRE(due.starts.size() == 1U);
    BOOST_TEST(due.starts.front().nonce == first.nonce);
}

BOOST_AUTO_TEST_CASE(a_runner_that_is_not_needed_is_drained_and_stopped_until_it_is_done) {
    Planned planned;
    planned.slot_table.on_runner_listed(planned.now, runner_info("i-1", "z-a", "w-a"), false, planned.outbox);
    BOOST_TEST(planned.first_stop(12).empty());  // kept for as long as a start is worth
    BOOST_TEST(planned.first_stop(3) == "i-1");
    BOOST_TEST(planned.slot_table.runners().begin()->second.draining);
    BOOST_TEST(planned.first_stop(9).empty());
    BOOST_TEST(planned.first_stop(1) == "i-1");  // no answer
    planned.planner.on_stop_result("i-1", false);
    BOOST_TEST(planned.first_stop(10) == "i-1");
    planned.planner.on_stop_result("i-1", true);
    planned.slot_table.on_runner_gone(planned.now, "i-1", planned.outbox);
    BOOST_TEST(planned.first_stop(50).empty());
}

BOOST_AUTO_TEST_CASE(what_starts_on_a_lost_worker_is_given_up) {
    Planned planned(100);
    const StartRunner start = planned.first_start(5);
    planned.start(start, "i-1");
    planned.planner.cancel_lost_starts(planned.now, planned.slot_table, planned.outbox);
    BOOST_TEST(planned.slot_table.runners().size() == 1U);
    std::vector<Worker> workers = Planned::workers();
    std::erase_if(workers, [&](const Worker& worker) { return worker.name == start.worker; });
    planned.planner.update_workers(workers);
    planned.planner.cancel_lost_starts(planned.now, planned.slot_table, planned.outbox);
    BOOST_TEST(planned.slot_table.runners().empty());
    const StartRunner other = planned.first_start(5);
    BOOST_TEST(!other.nonce.empty());
    BOOST_TEST(other.worker != start.worker);
}

}  // namespace gannethold::cluster
