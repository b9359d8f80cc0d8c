#include "cluster/placement/runner_target.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {
namespace {

// A function of one gigabyte whose load and request rates are set by the test.
struct TargetFixture {
    explicit TargetFixture(int slots, int boot_ms, int latency_target_ms)
        : configuration(one_function(slots, boot_ms, latency_target_ms)),
          function("f", RetryBudget::Options{}) {
        function.service = configuration->find_service("f");
        function.group = &group;
        rates.expected_interruptions_per_h = 0;
    }
    // Samples a load in slots, and request rates by zone, for a minute.
    void load(double slots, const std::map<std::string, double>& requests_per_s) {
        double rate = 0;
        for (const auto& [zone, zone_rate] : requests_per_s) rate += zone_rate;
        for (int sample = 0; sample < 600; ++sample) {
            function.load.sample(slots, rate, 0, 0.1);
            function.zones.sample(requests_per_s, 0.1);
        }
        function.arrivals = ArrivalCount();
        function.arrivals.add(0, rate * 3);  // the weight of the prior in ExpectedRate is 3 s
    }
    RunnerTarget target(const RunnerCounts& runners = {}) const {
        return runner_target(0, function, runners, {slot_table, workers, rates});
    }
    RunnerTarget target_of_running(std::size_t total) const {
        RunnerCounts runners;
        runners.total = total;
        return target(runners);
    }
    std::shared_ptr<const Configuration> configuration;
    FunctionGroup group{1, {}};
    Function function;
    SlotTable slot_table{{}};
    WorkerTable workers{{{"z-a", "west"}, {"z-b", "west"}, {"z-c", "east"}}};
    ExchangeRates rates;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_function_without_requests_has_no_runner) {
    const TargetFixture unused(1, 1000, 5000);
    BOOST_TEST(unused.target().count == 0U);
    BOOST_TEST(unused.target().reason == std::string("idle"));
    BOOST_TEST(unused.target().zone.empty());
    BOOST_TEST(unused.target_of_running(1).count == 0U);
}

BOOST_AUTO_TEST_CASE(a_runner_is_started_ahead_of_expected_requests_that_would_be_late) {
    TargetFixture urgent(8, 1000, 100);
    ProxyOutbox outbox;
    urgent.slot_table.on_proxy_registered(0, kFirstProxy, registration("first", "z-a"), outbox);
    BOOST_TEST(urgent.target().count == 1U);
    BOOST_TEST(urgent.target().reason == std::string("warm"));
    // The same rate, divided among a hundred functions of the group.
    urgent.group.members = 100;
    BOOST_TEST(urgent.target().count == 0U);
    // Requests whose latency target allows for a start.
    TargetFixture relaxed(8, 100, 5000);
    relaxed.slot_table.on_proxy_registered(0, kFirstProxy, registration("first", "z-a"), outbox);
    relaxed.rates.expected_requests_per_s = 0.2;
    BOOST_TEST(relaxed.target().count == 0U);
}

BOOST_AUTO_TEST_CASE(the_last_runner_is_kept_if_another_start_would_cost_more) {
    TargetFixture fixture(1, 1000, 5000);
    fixture.load(0.01, {{"z-a", 0.5}});
    BOOST_TEST(fixture.target_of_running(1).count == 0U);
    // A start costs 0.25 + 1 s * 0.8, and a runner 0.8 per second: break-even at 0.76 requests per second.
    fixture.load(0.01, {{"z-a", 0.8}});
    BOOST_TEST(fixture.target_of_running(1).count == 1U);
    BOOST_TEST(fixture.target_of_running(1).reason == std::string("kept"));
}

BOOST_AUTO_TEST_CASE(the_target_follows_the_load) {
    TargetFixture fixture(4, 1000, 600);
    std::size_t last = 0;
    for (const double load : {0.5, 2.0, 4.0, 8.0, 16.0, 64.0}) {
        fixture.load(load, {{"z-a", 10 * load}});
        const std::size_t count = fixture.target_of_running(1).count;
        BOOST_TEST(count >= last);
        BOOST_TEST(4 * count >= load);
        BOOST_TEST(4 * count < 2 * load + 8);
        last = count;
    }
    BOOST_TEST(fixture.target_of_running(1).reason == std::string("load"));
}

BOOST_AUTO_TEST_CASE(a_higher_cost_of_late_requests_increases_the_target) {
    TargetFixture fixture(4, 1000, 250);
    fixture.load(9.0, {{"z-a", 100.0}});
    const std::size_t default_count = fixture.target_of_running(1).count;
    fixture.rates.late_request = 100;
    BOOST_TEST(fixture.target_of_running(1).count > default_count);
    fixture.rates.late_request = 0;
    BOOST_TEST(fixture.target_of_running(1).count == 3U);  // the load with its margin
}

BOOST_AUTO_TEST_CASE(spare_slots_are_kept_for_interruptions) {
    TargetFixture fixture(8, 1000, 400);
    fixture.load(14, {{"z-a", 160.0}});
    const std::size_t count_without = fixture.target_of_running(1).count;
    fixture.rates.expected_interruptions_per_h = 120;
    BOOST_TEST(fixture.target_of_running(1).count > count_without);
}

BOOST_AUTO_TEST_CASE(a_runner_is_placed_near_clients_whose_traffic_would_cost_more) {
    TargetFixture fixture(100, 1000, 500);
    fixture.rates.instance_gb_second = 1;
    fixture.rates.zone_gb = 100'000;    // 0.15 per request of 1500 bytes: break-even at 6.7 requests/s
    fixture.rates.region_gb = 200'000;  // break-even at 3.3 requests/s
    fixture.load(0.1, {{"z-a", 5.0}, {"z-c", 3.0}});
    BOOST_TEST(fixture.target_of_running(1).count == 1U);
    fixture.load(0.1, {{"z-a", 5.0}, {"z-c", 4.0}});
    BOOST_TEST(fixture.target_of_running(1).count == 2U);  // one for each region
    BOOST_TEST(fixture.target_of_running(1).reason == std::string("near"));
    fixture.load(0.1, {{"z-a", 8.0}, {"z-b", 8.0}, {"z-c", 8.0}});
    BOOST_TEST(fixture.target_of_running(1).count == 3U);  // one for each zone
}

BOOST_AUTO_TEST_CASE(the_next_runner_is_preferred_in_the_zone_with_most_requests_per_runner) {
    TargetFixture fixture(1, 1000, 5000);
    fixture.load(1, {{"z-a", 10.0}, {"z-b", 4.0}});
    BOOST_TEST(fixture.target().zone == "z-a");
    RunnerCounts runners;
    runners.total = 2;
    runners.by_zone = {{"z-a", 2.0}};
    BOOST_TEST(fixture.target(runners).zone == "z-b");
}

}  // namespace gannethold::cluster
