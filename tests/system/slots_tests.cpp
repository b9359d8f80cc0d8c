// The slot table by itself: what is left of a proxy once it has gone.
#define BOOST_TEST_MODULE slots
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cluster/slots/slot_table.hpp"

using namespace gannethold;
using namespace gannethold::cluster;

namespace {

constexpr Session kFirst = 1, kSecond = 2;

std::shared_ptr<const Configuration> one_function() {
    return leaf::try_handle_all(
        []() -> leaf::result<std::shared_ptr<const Configuration>> {
            return Configuration::read(
                R"({"version":1,"services":[{"name":"f","boot_duration_ms":1000,"max_concurrency":1}],)"
                R"("routes":[{"name":"r","host":"h","path_prefix":"/","route_kind":"idempotent","service":"f"}]})");
        },
        [] { return std::shared_ptr<const Configuration>(); });
}

Register proxy(const char* name) {
    Register registration;
    registration.name = name;
    registration.zone = "z";
    return registration;
}

RunnerInfo instance(const std::string& name) { return {name, "f", "127.0.0.1:1", "z", "w", 1, 0, true}; }

AcquireRequest request(std::uint32_t id) { return {id, 0, "f", 1000, 4000, 1, 1, false}; }

bool granted(const ProxyOutbox& mail, Session to) {
    return std::any_of(mail.begin(), mail.end(), [&](const ProxyMessage& one) {
        return one.to == to && std::holds_alternative<AcquireGranted>(one.message);
    });
}

struct Table {
    Table() : slots({}) {
        slots.configure(one_function());
        slots.on_proxy_registered(0, kFirst, proxy("first"), mail);
        slots.on_proxy_registered(0, kSecond, proxy("second"), mail);
    }
    const Function& function() const { return *slots.functions().at("f"); }

    ProxyOutbox mail;
    SlotTable slots;
};

}  // namespace

BOOST_AUTO_TEST_CASE(slots_of_a_proxy_that_left_come_free) {
    Table table;
    table.slots.on_runner_listed(0, instance("i-1"), false, table.mail);
    table.slots.on_acquire_request(0, kFirst, request(1), table.mail);
    BOOST_TEST(granted(table.mail, kFirst));
    table.mail.clear();
    table.slots.on_acquire_request(0, kSecond, request(1), table.mail);
    BOOST_TEST(!granted(table.mail, kSecond));
    table.slots.on_proxy_disconnected(0, kFirst, table.mail);
    BOOST_TEST(table.slots.runners().begin()->second.outstanding() == 0U);
    table.slots.tick(400'000, table.mail);
    BOOST_TEST(granted(table.mail, kSecond));
}

BOOST_AUTO_TEST_CASE(what_a_proxy_that_left_was_out_with_is_forgotten_also_where_it_was_never_told) {
    Table table;
    table.slots.on_runner_listed(0, instance("i-1"), false, table.mail);
    const std::uint32_t number = table.slots.runners().begin()->first;
    table.slots.on_outstanding_report(0, kFirst, OutstandingReport{{{number, 1}}});
    BOOST_TEST(table.slots.runner(number).outstanding() == 1U);
    table.slots.on_proxy_disconnected(0, kFirst, table.mail);
    BOOST_TEST(table.slots.runner(number).outstanding() == 0U);
}

BOOST_AUTO_TEST_CASE(a_proxy_that_left_waits_no_more_and_is_told_nothing) {
    Table table;
    table.slots.on_acquire_request(0, kFirst, request(1), table.mail);
    BOOST_TEST(table.function().waiting.size() == 1U);
    table.slots.on_proxy_disconnected(0, kFirst, table.mail);
    BOOST_TEST(table.function().waiting.empty());
    BOOST_TEST(table.function().subscribers.empty());
    table.mail.clear();
    table.slots.on_runner_listed(0, instance("i-1"), false, table.mail);
    for (const ProxyMessage& one : table.mail) BOOST_TEST(one.to != kFirst);
}

BOOST_AUTO_TEST_CASE(loads_of_a_proxy_that_left_count_no_more) {
    Table table;
    table.slots.on_load_report(0, kFirst, LoadReport{1000, {{"f", 3, 200}}});
    table.slots.on_load_report(0, kSecond, LoadReport{1000, {{"f", 3, 200}}});
    BOOST_TEST(table.function().proxy_loads.size() == 2U);
    table.slots.on_proxy_disconnected(0, kFirst, table.mail);
    BOOST_TEST(table.function().proxy_loads.size() == 1U);
    BOOST_TEST(table.function().proxy_loads.count(kSecond) == 1U);
}

BOOST_AUTO_TEST_CASE(another_proxy_watches_what_one_that_left_was_watching) {
    Table table;
    table.slots.on_runner_started(0, instance("i-1"), table.mail);
    const Session watcher = table.slots.runners().begin()->second.prober;
    BOOST_TEST((watcher == kFirst || watcher == kSecond));
    table.mail.clear();
    table.slots.on_proxy_disconnected(0, watcher, table.mail);
    const Session other = watcher == kFirst ? kSecond : kFirst;
    BOOST_TEST(table.slots.runners().begin()->second.prober == other);
    BOOST_REQUIRE(table.mail.size() == 1U);
    BOOST_TEST(table.mail.front().to == other);
}

BOOST_AUTO_TEST_CASE(many_instances_come_and_go_before_a_proxy_leaves) {
    Table table;
    constexpr int kMany = 500;
    table.slots.on_acquire_request(0, kFirst, request(1), table.mail);
    for (int n = 0; n < kMany; ++n) {
        const std::string name = "i-" + std::to_string(n);
        table.slots.on_runner_listed(0, instance(name), false, table.mail);
        if (n % 2 == 0) table.slots.on_runner_gone(0, name, table.mail);
    }
    table.slots.on_proxy_disconnected(0, kFirst, table.mail);
    BOOST_TEST(table.slots.runners().size() == static_cast<std::size_t>(kMany / 2));
    for (const auto& [number, runner] : table.slots.runners()) {
        BOOST_TEST(runner.notified.empty());
        BOOST_TEST(runner.grants.empty());
    }
}
