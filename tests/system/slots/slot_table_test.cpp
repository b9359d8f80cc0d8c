// The slot table by itself: what is left of a proxy once it has disconnected, and what it grants.
#define BOOST_TEST_MODULE slots
#include <boost/test/unit_test.hpp>

#include <string>

#include "slots/fixture.hpp"

namespace gannethold::cluster {

BOOST_AUTO_TEST_CASE(slots_of_a_disconnected_proxy_come_free) {
    SlotTableFixture table;
    table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
    table.slot_table.on_acquire_request(0, kFirst, acquire(1), table.outbox);
    BOOST_TEST(count_of<AcquireGranted>(table.outbox, kFirst) > 0);
    table.outbox.clear();
    table.slot_table.on_acquire_request(0, kSecond, acquire(1), table.outbox);
    BOOST_TEST(count_of<AcquireGranted>(table.outbox, kSecond) == 0);
    table.slot_table.on_proxy_disconnected(0, kFirst, table.outbox);
    BOOST_TEST(table.only_runner().outstanding() == 0U);
    table.slot_table.tick(400'000, table.outbox);
    BOOST_TEST(count_of<AcquireGranted>(table.outbox, kSecond) > 0);
}

BOOST_AUTO_TEST_CASE(
    outstanding_requests_of_a_disconnected_proxy_are_forgotten_also_where_it_was_never_notified) {
    SlotTableFixture table;
    table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
    const std::uint32_t number = table.slot_table.runners().begin()->first;
    table.slot_table.on_outstanding_report(0, kFirst, OutstandingReport{{{number, 1}}});
    BOOST_TEST(table.slot_table.runner(number).outstanding() == 1U);
    table.slot_table.on_proxy_disconnected(0, kFirst, table.outbox);
    BOOST_TEST(table.slot_table.runner(number).outstanding() == 0U);
}

BOOST_AUTO_TEST_CASE(a_disconnected_proxy_waits_no_more_and_is_sent_nothing) {
    SlotTableFixture table;
    table.slot_table.on_acquire_request(0, kFirst, acquire(1), table.outbox);
    BOOST_TEST(table.function().waiting.size() == 1U);
    table.slot_table.on_proxy_disconnected(0, kFirst, table.outbox);
    BOOST_TEST(table.function().waiting.empty());
    BOOST_TEST(table.function().subscribers.empty());
    table.outbox.clear();
    table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
    for (const ProxyMessage& message : table.outbox) BOOST_TEST(message.to != kFirst);
}

BOOST_AUTO_TEST_CASE(loads_of_a_disconnected_proxy_count_no_more) {
    SlotTableFixture table;
    table.slot_table.on_load_report(0, kFirst, LoadReport{1000, {{"f", 3, 200}}});
    table.slot_table.on_load_report(0, kSecond, LoadReport{1000, {{"f", 3, 200}}});
    BOOST_TEST(table.function().proxy_loads.size() == 2U);
    table.slot_table.on_proxy_disconnected(0, kFirst, table.outbox);
    BOOST_TEST(table.function().proxy_loads.size() == 1U);
    BOOST_TEST(table.function().proxy_loads.count(kSecond) == 1U);
}

BOOST_AUTO_TEST_CASE(another_proxy_probes_what_a_disconnected_one_was_probing) {
    SlotTableFixture table;
    table.slot_table.on_runner_started(0, runner_info("i-1"), table.outbox);
    const Session prober = table.only_runner().prober;
    BOOST_TEST((prober == kFirst || prober == kSecond));
    table.outbox.clear();
    table.slot_table.on_proxy_disconnected(0, prober, table.outbox);
    const Session other = prober == kFirst ? kSecond : kFirst;
    BOOST_TEST(table.only_runner().prober == other);
    BOOST_REQUIRE(table.outbox.size() == 1U);
    BOOST_TEST(table.outbox.front().to == other);
}

BOOST_AUTO_TEST_CASE(many_runners_come_and_go_before_a_proxy_disconnects) {
    SlotTableFixture table;
    constexpr int kMany = 500;
    table.slot_table.on_acquire_request(0, kFirst, acquire(1), table.outbox);
    for (int n = 0; n < kMany; ++n) {
        const std::string name = "i-" + std::to_string(n);
        table.slot_table.on_runner_listed(0, runner_info(name), false, table.outbox);
        if (n % 2 == 0) table.slot_table.on_runner_gone(0, name, table.outbox);
    }
    table.slot_table.on_proxy_disconnected(0, kFirst, table.outbox);
    BOOST_TEST(table.slot_table.runners().size() == static_cast<std::size_t>(kMany / 2));
    for (const auto& [number, runner] : table.slot_table.runners()) {
        BOOST_TEST(runner.notified.empty());
        BOOST_TEST(runner.grants.empty());
    }
}

}  // namespace gannethold::cluster
