// The slot table: grants, and the removal of all state of a proxy that has disconnected.
#define BOOST_TEST_MODULE slots
#include <boost/test/unit_test.hpp>

#include <string>

#include "slots/fixture.hpp"

namespace gannethold::cluster {

BOOST_AUTO_TEST_CASE(slots_of_a_disconnected_proxy_are_freed) {
    SlotTableFixture table;
    table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
    table.slot_table.on_acquire_request(0, kFirstProxy, acquire(1), table.outbox);
    BOOST_TEST(count_of<AcquireGranted>(table.outbox, kFirstProxy) > 0);
    table.outbox.clear();
    table.slot_table.on_acquire_request(0, kSecondProxy, acquire(1), table.outbox);
    BOOST_TEST(count_of<AcquireGranted>(table.outbox, kSecondProxy) == 0);
    table.slot_table.on_proxy_disconnected(0, kFirstProxy, table.outbox);
    BOOST_TEST(table.only_runner().outstanding() == 0U);
    table.slot_table.tick(400'000, table.outbox);
    BOOST_TEST(count_of<AcquireGranted>(table.outbox, kSecondProxy) > 0);
}

BOOST_AUTO_TEST_CASE(
    outstanding_requests_of_a_disconnected_proxy_are_removed_from_runners_it_was_not_notified_of) {
    SlotTableFixture table;
    table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
    const std::uint32_t number = table.slot_table.runners().begin()->first;
    table.slot_table.on_outstanding_report(0, kFirstProxy, OutstandingReport{{{number, 1}}});
    BOOST_TEST(table.slot_table.runner(number).outstanding() == 1U);
    table.slot_table.on_proxy_disconnected(0, kFirstProxy, table.outbox);
    BOOST_TEST(table.slot_table.runner(number).outstanding() == 0U);
}

BOOST_AUTO_TEST_CASE(a_disconnected_proxy_has_no_waiting_requests_and_is_sent_no_messages) {
    SlotTableFixture table;
    table.slot_table.on_acquire_request(0, kFirstProxy, acquire(1), table.outbox);
    BOOST_TEST(table.function().waiting.size() == 1U);
    table.slot_table.on_proxy_disconnected(0, kFirstProxy, table.outbox);
    BOOST_TEST(table.function().waiting.empty());
    BOOST_TEST(table.function().subscribers.empty());
    table.outbox.clear();
    table.slot_table.on_runner_listed(0, runner_info("i-1"), false, table.outbox);
    for (const ProxyMessage& message : table.outbox) BOOST_TEST(message.to != kFirstProxy);
}

BOOST_AUTO_TEST_CASE(loads_of_a_disconnected_proxy_are_removed) {
    SlotTableFixture table;
    table.slot_table.on_load_report(0, kFirstProxy, LoadReport{1000, {{"f", 3, 200}}});
    table.slot_table.on_load_report(0, kSecondProxy, LoadReport{1000, {{"f", 3, 200}}});
    BOOST_TEST(table.function().proxy_loads.size() == 2U);
    table.slot_table.on_proxy_disconnected(0, kFirstProxy, table.outbox);
    BOOST_TEST(table.function().proxy_loads.size() == 1U);
    BOOST_TEST(table.function().proxy_loads.count(kSecondProxy) == 1U);
}

BOOST_AUTO_TEST_CASE(another_proxy_probes_the_runner_of_a_disconnected_prober) {
    SlotTableFixture table;
    table.slot_table.on_runner_started(0, runner_info("i-1"), table.outbox);
    const Session prober = table.only_runner().prober;
    BOOST_TEST((prober == kFirstProxy || prober == kSecondProxy));
    table.outbox.clear();
    table.slot_table.on_proxy_disconnected(0, prober, table.outbox);
    const Session other = prober == kFirstProxy ? kSecondProxy : kFirstProxy;
    BOOST_TEST(table.only_runner().prober == other);
    BOOST_REQUIRE(table.outbox.size() == 1U);
    BOOST_TEST(table.outbox.front().to == other);
}

BOOST_AUTO_TEST_CASE(a_proxy_disconnects_after_many_runners_were_added_and_removed) {
    SlotTableFixture table;
    constexpr int kRunners = 500;
    table.slot_table.on_acquire_request(0, kFirstProxy, acquire(1), table.outbox);
    for (int added = 0; added < kRunners; ++added) {
        const std::string id = "i-" + std::to_string(added);
        table.slot_table.on_runner_listed(0, runner_info(id), false, table.outbox);
        if (added % 2 == 0) table.slot_table.on_runner_gone(0, id, table.outbox);
    }
    table.slot_table.on_proxy_disconnected(0, kFirstProxy, table.outbox);
    BOOST_TEST(table.slot_table.runners().size() == static_cast<std::size_t>(kRunners / 2));
    for (const auto& [number, runner] : table.slot_table.runners()) {
        BOOST_TEST(runner.notified.empty());
        BOOST_TEST(runner.grants.empty());
    }
}

}  // namespace gannethold::cluster
