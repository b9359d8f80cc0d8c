#include "cluster/slots/runner_notifier.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

struct Notified {
    Notified() {
        proxies.open(kFirst, "first", "a");
        proxies.open(kSecond, "second", "b");
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

BOOST_AUTO_TEST_CASE(a_proxy_of_the_runners_zone_probes_it) {
    Notified notified;
    notified.function.subscribers.insert(kFirst);
    RunnerSlots& runner = notified.add("i-1", "b");
    notified.notifier.assign_prober(runner, notified.outbox);
    BOOST_TEST(runner.prober == kSecond);
    const RunnerUpdate* const update = last_of<RunnerUpdate>(notified.outbox, kSecond);
    BOOST_REQUIRE(update != nullptr);
    BOOST_TEST(update->watch);
    BOOST_TEST(update->number == runner.number);
    notified.outbox.clear();
    notified.notifier.assign_prober(runner, notified.outbox);  // it has one
    BOOST_TEST(notified.outbox.empty());
}

BOOST_AUTO_TEST_CASE(of_proxies_equally_near_one_that_uses_the_function_probes) {
    Notified notified;
    notified.function.subscribers.insert(kFirst);
    RunnerSlots& runner = notified.add("i-1", "c");
    notified.notifier.assign_prober(runner, notified.outbox);
    BOOST_TEST(runner.prober == kFirst);
}

BOOST_AUTO_TEST_CASE(a_proxy_that_knows_a_runner_is_sent_its_number_only_when_it_is_gone) {
    Notified notified;
    notified.function.subscribers.insert(kFirst);
    RunnerSlots& runner = notified.add("i-1", "a");
    notified.notifier.notify_all(runner, notified.outbox);
    BOOST_TEST(count_of<RunnerUpdate>(notified.outbox, kSecond) == 0);
    BOOST_REQUIRE(last_of<RunnerUpdate>(notified.outbox, kFirst) != nullptr);
    BOOST_TEST(last_of<RunnerUpdate>(notified.outbox, kFirst)->runner.runner_id == "i-1");
    runner.draining = true;
    notified.notifier.notify_all(runner, notified.outbox);
    const RunnerUpdate* const gone = last_of<RunnerUpdate>(notified.outbox, kFirst);
    BOOST_TEST((gone->state == RunnerState::gone));
    BOOST_TEST(gone->runner.runner_id.empty());
    // One that never heard of it knows it by its id only.
    notified.notifier.notify(runner, kSecond, notified.outbox);
    BOOST_REQUIRE(last_of<RunnerUpdate>(notified.outbox, kSecond) != nullptr);
    BOOST_TEST(last_of<RunnerUpdate>(notified.outbox, kSecond)->runner.runner_id == "i-1");
}

BOOST_AUTO_TEST_CASE(a_session_remembers_the_runners_that_are_still_there) {
    Notified notified;
    for (int n = 0; n < 1000; ++n) {
        RunnerSlots& runner = notified.add("i-" + std::to_string(n), "a");
        notified.notifier.notify(runner, kFirst, notified.outbox);
        if (n != 500) notified.runners.remove(0, runner);
    }
    BOOST_TEST(notified.proxies.find(kFirst)->runners.size() < 20U);
    const auto closed = notified.proxies.close(kFirst);
    BOOST_REQUIRE(closed.has_value());
    const RunnerSlots* const last = notified.runners.find("i-500");
    BOOST_TEST((std::count(closed->runners.begin(), closed->runners.end(), last->number) == 1));
    BOOST_TEST(!notified.proxies.close(kFirst).has_value());
    BOOST_TEST(!notified.proxies.contains(kFirst));
}

}  // namespace gannethold::cluster
