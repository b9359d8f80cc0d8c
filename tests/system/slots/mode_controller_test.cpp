#include "cluster/slots/mode_controller.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

constexpr Micros kStart = 10'000'000;

// A function with one runner and one request per second, for long enough that its load counts as observed.
struct LightLoadFixture {
    explicit LightLoadFixture(int slots, const SlotTable::Options& options = {}) : table(options, slots) {
        table.slot_table.on_runner_listed(kStart, runner_info("i-1"), false, table.outbox);
        run(kStart, kStart + 4'000'000);
    }
    void run(Micros from, Micros until) {
        for (Micros now = from; now <= until; now += SlotTable::kSampleInterval) {
            if (now % 1'000'000 == 0) {
                table.slot_table.on_acquire_request(now, kFirstProxy, acquire(++last_id), table.outbox);
                if (const AcquireGranted* const granted = last_of<AcquireGranted>(table.outbox, kFirstProxy);
                    granted && granted->id == last_id)
                    table.slot_table.on_release(now, kFirstProxy,
                                                {last_id, granted->runner, ReleaseReason::answered, 5},
                                                table.outbox);
            }
            table.slot_table.tick(now, table.outbox);
        }
    }
    std::uint32_t last_id = 0;
    SlotTableFixture table;
};

}  // namespace

BOOST_AUTO_TEST_CASE(proxies_are_notified_of_spare_slots_once_the_load_is_known) {
    SlotTable::Options options;
    options.allow_unrestricted = false;
    LightLoadFixture fixture(8, options);
    const FunctionMode* const mode = last_of<FunctionMode>(fixture.table.outbox, kFirstProxy);
    BOOST_REQUIRE(mode != nullptr);
    BOOST_TEST(mode->has_spare_slots);
    BOOST_TEST(count_of<FunctionMode>(fixture.table.outbox, kFirstProxy) == 1);
}

BOOST_AUTO_TEST_CASE(a_function_whose_runners_are_nearly_full_has_no_spare_slots) {
    SlotTableFixture table({}, 4);
    table.slot_table.on_runner_listed(kStart, runner_info("i-1"), false, table.outbox);
    // 40 requests per second with 90 ms of work each, for four slots.
    std::uint32_t id = 0;
    for (Micros now = kStart; now < kStart + 6'000'000; now += SlotTable::kSampleInterval) {
        for (int request = 0; request < 4; ++request) {
            table.slot_table.on_acquire_request(now, kFirstProxy, acquire(++id), table.outbox);
            table.slot_table.on_release(now + 90'000, kFirstProxy,
                                        {id, table.only_runner().number, ReleaseReason::answered, 90},
                                        table.outbox);
        }
        table.slot_table.tick(now, table.outbox);
    }
    BOOST_REQUIRE(table.function().has_spare_slots.has_value());
    BOOST_TEST(!*table.function().has_spare_slots);
}

BOOST_AUTO_TEST_CASE(a_function_with_many_free_slots_becomes_unrestricted_once_it_is_observed) {
    LightLoadFixture fixture(8);
    BOOST_TEST(fixture.table.function().unrestricted);
    const FunctionMode* const mode = last_of<FunctionMode>(fixture.table.outbox, kFirstProxy);
    BOOST_REQUIRE(mode != nullptr);
    BOOST_TEST(mode->unrestricted);
    // The second proxy does not use the function.
    BOOST_TEST(count_of<FunctionMode>(fixture.table.outbox, kSecondProxy) == 0);
}

BOOST_AUTO_TEST_CASE(a_function_with_few_slots_per_runner_remains_coordinated) {
    BOOST_TEST(!LightLoadFixture(3).table.function().unrestricted);
}

BOOST_AUTO_TEST_CASE(unrestricted_mode_can_be_disallowed) {
    SlotTable::Options options;
    options.allow_unrestricted = false;
    BOOST_TEST(!LightLoadFixture(8, options).table.function().unrestricted);
}

BOOST_AUTO_TEST_CASE(one_rejection_makes_a_function_coordinated_for_some_seconds) {
    LightLoadFixture fixture(8);
    BOOST_REQUIRE(fixture.table.function().unrestricted);
    const Micros now = kStart + 4'100'000;
    const std::uint32_t runner = fixture.table.only_runner().number;
    fixture.table.outbox.clear();
    fixture.table.slot_table.on_release(now, kFirstProxy, {0, runner, ReleaseReason::rejected, 0},
                                        fixture.table.outbox);
    BOOST_TEST(!fixture.table.function().unrestricted);
    const FunctionMode* const mode = last_of<FunctionMode>(fixture.table.outbox, kFirstProxy);
    BOOST_REQUIRE(mode != nullptr);
    BOOST_TEST(!mode->unrestricted);
    fixture.run(now, now + 3'900'000);
    BOOST_TEST(!fixture.table.function().unrestricted);
    fixture.run(now + 4'000'000, now + 5'500'000);
    BOOST_TEST(fixture.table.function().unrestricted);
}

BOOST_AUTO_TEST_CASE(rejections_increase_with_load_and_decrease_with_runners) {
    Function function("f", RetryBudget::Options{});
    const auto configuration = one_function(4);
    function.service = configuration->find_service("f");
    double last = 0;
    for (int round = 0; round < 5; ++round) {
        for (int sample = 0; sample < 100; ++sample) {
            function.zones.add_request("z");
            function.load.add_work(0.02 * (round + 1));
            function.load.sample(0, 0, 0, 0.1);
            function.zones.sample({}, 0.1);
        }
        const double expected = expected_rejections_per_s(function, {{"z", 1.0}}, 1);
        BOOST_TEST(expected > last);
        BOOST_TEST(expected_rejections_per_s(function, {{"z", 4.0}}, 1) < expected);
        last = expected;
    }
}

}  // namespace gannethold::cluster
