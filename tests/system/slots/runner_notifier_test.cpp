#include "cluster/slots/runner_notifier.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

// Two proxies, in zones "a" and "b", and a function without runners.
struct NotifierFixture {
    NotifierFixture() {
        proxies.open(kFirstProxy, "first", "a");
        proxies.open(kSecondProxy, "second", "b");
    }
    RunnerSlots& add(const std::string& id, const char* zone) {
        return runners.add(0, runner_info(id, zone), function);
    }
    Function function{"f", RetryBudget::Options{}};
    RunnerTable runners{1};
    ProxySessions proxies;
    RunnerNotifier notifier{runners, proxies};
    ProxyOutbox outbox;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_proxy_in_the_zone_of_the_runner_probes_it) {
    NotifierFixture fixture;
    fixture.function.subscribers.insert(kFirstProxy);
    RunnerSlots& runner = fixture.add("i-1", "b");
    fixture.notifier.assign_prober(runner, fixture.outbox);
    BOOST_TEST(runner.prober == kSecondProxy);
    const RunnerUpdate* const update = last_of<RunnerUpdate>(fixture.outbox, kSecondProxy);
    BOOST_REQUIRE(update != nullptr);
    BOOST_TEST(update->watch);
    BOOST_TEST(update->number == runner.number);
    fixture.outbox.clear();
    fixture.notifier.assign_prober(runner, fixture.outbox);  // the runner already has a prober
    BOOST_TEST(fixture.outbox.empty());
}

BOOST_AUTO_TEST_CASE(of_equally_near_proxies_one_that_uses_the_function_probes) {
    NotifierFixture fixture;
    fixture.function.subscribers.insert(kFirstProxy);
    RunnerSlots& runner = fixture.add("i-1", "c");
    fixture.notifier.assign_prober(runner, fixture.outbox);
    BOOST_TEST(runner.prober == kFirstProxy);
}

BOOST_AUTO_TEST_CASE(a_proxy_that_was_notified_of_a_runner_receives_only_its_number_when_it_is_gone) {
    NotifierFixture fixture;
    fixture.function.subscribers.insert(kFirstProxy);
    RunnerSlots& runner = fixture.add("i-1", "a");
    fixture.notifier.notify_all(runner, fixture.outbox);
    BOOST_TEST(count_of<RunnerUpdate>(fixture.outbox, kSecondProxy) == 0);
    BOOST_REQUIRE(last_of<RunnerUpdate>(fixture.outbox, kFirstProxy) != nullptr);
    BOOST_TEST(last_of<RunnerUpdate>(fixture.outbox, kFirstProxy)->runner.runner_id == "i-1");
    runner.draining = true;
    fixture.notifier.notify_all(runner, fixture.outbox);
    const RunnerUpdate* const gone = last_of<RunnerUpdate>(fixture.outbox, kFirstProxy);
    BOOST_TEST((gone->state == RunnerState::gone));
    BOOST_TEST(gone->runner.runner_id.empty());
    // A proxy that was never notified of the runner can identify it only by its id.
    fixture.notifier.notify(runner, kSecondProxy, fixture.outbox);
    BOOST_REQUIRE(last_of<RunnerUpdate>(fixture.outbox, kSecondProxy) != nullptr);
    BOOST_TEST(last_of<RunnerUpdate>(fixture.outbox, kSecondProxy)->runner.runner_id == "i-1");
}

BOOST_AUTO_TEST_CASE(runner_records_of_a_session_are_compacted_and_keep_existing_runners) {
    NotifierFixture fixture;
    for (int added = 0; added < 1000; ++added) {
        RunnerSlots& runner = fixture.add("i-" + std::to_string(added), "a");
        fixture.notifier.notify(runner, kFirstProxy, fixture.outbox);
        if (added != 500) fixture.runners.remove(0, runner);
    }
    BOOST_TEST(fixture.proxies.find(kFirstProxy)->runners.size() < 20U);
    const auto closed = fixture.proxies.close(kFirstProxy);
    BOOST_REQUIRE(closed.has_value());
    const RunnerSlots* const existing = fixture.runners.find("i-500");
    BOOST_TEST((std::count(closed->runners.begin(), closed->runners.end(), existing->number) == 1));
    BOOST_TEST(!fixture.proxies.close(kFirstProxy).has_value());
    BOOST_TEST(!fixture.proxies.contains(kFirstProxy));
}

}  // namespace gannethold::cluster
