#include "cluster/placement/runner_target.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {
namespace {

// A function of one gigabyte whose load and requests a test sets.
struct Targeted {
    explicit Targeted(int slots, int boot_ms, int latency_target_ms)
        : configuration(one_function(slots, boot_ms, latency_target_ms)),
          function("f", RetryBudget::Options{}) {
        function.service = configuration->find_service("f");
        function.group = &group;
        rates.expected_interruptions_per_h = 0;
    }
    // So many slots of load, and requests a second from each of these zones, for a minute.
    void load(double slots, const std::map<std::string, double>& requests_per_s) {
        double rate = 0;
        for (const auto& [zone, of_zone] : requests_per_s) rate += of_zone;
        for (int n = 0; n < 600; ++n) {
            function.load.sample(slots, rate, 0, 0.1);
            function.zones.sample(requests_per_s, 0.1);
        }
        function.arrivals = ArrivalCount();
        function.arrivals.add(0, rate * 3);  // as much as was assumed of it before any request
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
    const Targeted unused(1, 1000, 5000);
    BOOST_TEST(unused.target().count == 0U);
    BOOST_TEST(unused.target().reason == std::string("idle"));
    BOOST_TEST(unused.target().zone.empty());
    BOOST_TEST(unused.target_of_running(1).count == 0U);
}

BOOST_AUTO_TEST_CASE(a_runner_is_started_ahead_where_requests_are_expected_that_would_be_late) {
    Targeted urgent(8, 1000, 100);
    ProxyOutbox outbox;
    urgent.slot_table.on_proxy_registered(0, kFirst, registration("first", "z-a"), outbox);
    BOOST_TEST(urgent.target().count == 1U);
    BOOST_TEST(urgent.target().reason == std::string("warm"));
    // The same requests, shared by a hundred functions of the group.
    urgent.group.members = 100;
    BOOST_TEST(urgent.target().count == 0U);
    // Requests that can wait for a start.
    Targeted patient(8, 100, 5000);
    patient.slot_table.on_proxy_registered(0, kFirst, registration("first", "z-a"), outbox);
    patient.rates.expected_requests_per_s = 0.2;
    BOOST_TEST(patient.target().count == 0U);
}

BOOST_AUTO_TEST_CASE(the_last_runner_is_kept_where_another_start_would_cost_more) {
    Targeted targeted(1, 1000, 5000);
    targeted.load(0.01, {{"z-a", 0.5}});
    BOOST_TEST(targeted.target_of_running(1).count == 0U);
    // A start costs 0.25 and a second of 0.8, a runner's second 0.8: even at 0.76 a second.
    targeted.load(0.01, {{"z-a", 0.8}});
    BOOST_TEST(targeted.target_of_running(1).count == 1U);
    BOOST_TEST(targeted.target_of_running(1).reason == std::string("kept"));
}

BOOST_AUTO_TEST_CASE(the_target_follows_the_load) {
    Targeted targeted(4, 1000, 600);
    std::size_t last = 0;
    for (const double load : {0.5, 2.0, 4.0, 8.0, 16.0, 64.0}) {
        targeted.load(load, {{"z-a", 10 * load}});
        const std::size_t count = targeted.target_of_running(1).count;
        BOOST_TEST(count >= last);
        BOOST_TEST(4 * count >= load);
        BOOST_TEST(4 * count < 2 * load + 8);
        last = count;
    }
    BOOST_TEST(targeted.target_of_running(1).reason == std::string("load"));
}

BOOST_AUTO_TEST_CASE(fewer_late_requests_are_worth_more_runners) {
    Targeted targeted(4, 1000, 250);
    targeted.load(9.0, {{"z-a", 100.0}});
    const std::size_t usual = targeted.target_of_running(1).count;
    targeted.rates.late_request = 100;
    BOOST_TEST(targeted.target_of_running(1).count > usual);
    targeted.rates.late_request = 0;
    BOOST_TEST(targeted.target_of_running(1).count == 3U);  // what the load itself takes, with its margin
}

BOOST_AUTO_TEST_CASE(spare_slots_are_kept_for_interruptions) {
    Targeted targeted(8, 1000, 400);
    targeted.load(14, {{"z-a", 160.0}});
    const std::size_t without = targeted.target_of_running(1).count;
    targeted.rates.expected_interruptions_per_h = 120;
    BOOST_TEST(targeted.target_of_running(1).count > without);
}

BOOST_AUTO_TEST_CASE(a_runner_stands_near_those_whose_way_to_another_would_cost_more) {
    Targeted targeted(100, 1000, 500);
    targeted.rates.instance_gb_second = 1;
    targeted.rates.zone_gb = 100'000;    // 1500 bytes: 0.15 a request, or 6.7 requests a second a gigabyte
    targeted.rates.region_gb = 200'000;  // 3.3
    targeted.load(0.1, {{"z-a", 5.0}, {"z-c", 3.0}});
    BOOST_TEST(targeted.target_of_running(1).count == 1U);
    targeted.load(0.1, {{"z-a", 5.0}, {"z-c", 4.0}});
    BOOST_TEST(targeted.target_of_running(1).count == 2U);  // one for each region
    BOOST_TEST(targeted.target_of_running(1).reason == std::string("near"));
    targeted.load(0.1, {{"z-a", 8.0}, {"z-b", 8.0}, {"z-c", 8.0}});
    BOOST_TEST(targeted.target_of_running(1).count == 3U);  // one for each zone
}

BOOST_AUTO_TEST_CASE(one_more_is_best_in_the_zone_with_most_requests_for_its_runners) {
    Targeted targeted(1, 1000, 5000);
    targeted.load(1, {{"z-a", 10.0}, {"z-b", 4.0}});
    BOOST_TEST(targeted.target().zone == "z-a");
    RunnerCounts runners;
    runners.total = 2;
    runners.by_zone = {{"z-a", 2.0}};
    BOOST_TEST(targeted.target(runners).zone == "z-b");
}

}  // namespace gannethold::cluster
