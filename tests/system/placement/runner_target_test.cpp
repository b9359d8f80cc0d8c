#include "cluster/placement/runner_target.hpp"

#include <boost/test/unit_test.hpp>

#include "slots/fixture.hpp"

namespace gannethold::cluster {
namespace {

// A function whose load and requests a test sets.
struct Targeted {
    explicit Targeted(int slots, int boot_ms, int latency_target_ms)
        : configuration(one_function(slots, boot_ms, latency_target_ms)),
          function("f", RetryBudget::Options{}) {
        function.service = configuration->find_service("f");
    }
    // So many slots of load, and requests a second from each of these zones, for a minute.
    void load(double slots, const std::map<std::string, double>& requests_per_s) {
        for (int n = 0; n < 600; ++n) {
            function.load.sample(slots, 0, 0.1);
            function.zones.sample(requests_per_s, 0.1);
        }
    }
    RunnerTarget target(const RunnerCounts& runners = {}) const {
        return runner_target(0, function, runners, slot_table, workers);
    }
    std::shared_ptr<const Configuration> configuration;
    Function function;
    SlotTable slot_table{{}};
    WorkerTable workers{{{"z-a", "west"}, {"z-b", "west"}, {"z-c", "east"}}};
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_function_without_requests_has_no_runner_unless_it_is_kept_warm) {
    const Targeted cold(1, 1000, 5000);
    BOOST_TEST(cold.target().count == 0U);
    BOOST_TEST(cold.target().why == std::string("idle"));
    BOOST_TEST(cold.target().zone.empty());
    const Targeted warm(1, 1000, 100);
    BOOST_TEST(warm.target().count == 1U);
    BOOST_TEST(warm.target().why == std::string("warm"));
}

BOOST_AUTO_TEST_CASE(the_target_follows_the_load) {
    Targeted targeted(4, 1000, 5000);
    targeted.load(16, {{"z-a", 10.0}});
    // 16 slots and their square root, of four a runner.
    BOOST_TEST(targeted.target().count == 5U);
    BOOST_TEST(targeted.target().why == std::string("load"));
    Targeted warm(4, 1000, 100);
    warm.load(16, {{"z-a", 10.0}});
    // Twice the square root, and no more than 0.8 of the slots in use.
    BOOST_TEST(warm.target().count == 8U);
}

BOOST_AUTO_TEST_CASE(a_runner_is_kept_where_requests_come_within_two_starts) {
    Targeted targeted(1, 1000, 5000);
    targeted.load(0.01, {{"z-a", 0.4}});
    BOOST_TEST(targeted.target().count == 0U);
    targeted.load(0.01, {{"z-a", 0.6}});
    BOOST_TEST(targeted.target().count == 1U);
}

BOOST_AUTO_TEST_CASE(a_warm_function_has_runners_near_those_who_ask) {
    Targeted targeted(100, 1000, 100);
    targeted.load(0.1, {{"z-a", 4.0}, {"z-c", 4.0}});
    BOOST_TEST(targeted.target().count == 2U);  // one for each region
    BOOST_TEST(targeted.target().why == std::string("near"));
    targeted.load(0.1, {{"z-a", 13.0}, {"z-b", 13.0}, {"z-c", 13.0}});
    BOOST_TEST(targeted.target().count == 3U);  // one for each zone
    targeted.load(0.1, {{"z-a", 1.0}, {"z-b", 1.0}, {"z-c", 1.0}});
    BOOST_TEST(targeted.target().count == 1U);
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
