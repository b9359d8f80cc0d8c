#include "cluster/placement/worker_table.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {
namespace {

// Workers of 1000 MB: "a" and "b" in zones of one region, "c" in another.
struct ThreeWorkersFixture {
    ThreeWorkersFixture() {
        table.update({{"a", "z-a", 1000, 0, true}, {"b", "z-b", 1000, 0, true}, {"c", "z-c", 1000, 0, true}});
    }
    std::string choose(const std::string& zone, std::map<std::string, int> runners = {}) const {
        const Worker* const worker = table.choose(0, {100, zone, std::move(runners), {}});
        return worker ? worker->name : "none";
    }
    WorkerTable table{{{"z-a", "west"}, {"z-b", "west"}, {"z-c", "east"}}};
};

}  // namespace

BOOST_AUTO_TEST_CASE(the_zone_is_preferred_to_the_region_and_the_region_to_others) {
    ThreeWorkersFixture workers;
    BOOST_TEST(workers.choose("z-b") == "b");
    workers.table.add_used("b", 950);
    BOOST_TEST(workers.choose("z-b") == "a");
    workers.table.add_used("a", 950);
    BOOST_TEST(workers.choose("z-b") == "c");
    workers.table.add_used("c", 950);
    BOOST_TEST(workers.choose("z-b") == "none");
    workers.table.clear_used();
    BOOST_TEST(workers.choose("z-b") == "b");
}

BOOST_AUTO_TEST_CASE(without_a_zone_runners_are_spread_and_the_worker_with_most_free_memory_is_chosen) {
    ThreeWorkersFixture workers;
    BOOST_TEST(workers.choose("", {{"a", 1}, {"b", 1}}) == "c");
    workers.table.add_used("a", 300);
    workers.table.add_used("b", 100);
    workers.table.add_used("c", 200);
    BOOST_TEST(workers.choose("") == "b");
}

BOOST_AUTO_TEST_CASE(pending_starts_use_memory) {
    ThreeWorkersFixture workers;
    const Worker* const worker =
        workers.table.choose(0, {100, "z-a", {}, {{"a", 901}, {"b", 950}, {"c", 900}}});
    BOOST_REQUIRE(worker != nullptr);
    BOOST_TEST(worker->name == "c");
}

BOOST_AUTO_TEST_CASE(a_worker_that_is_draining_or_full_is_not_chosen) {
    ThreeWorkersFixture workers;
    workers.table.set_full("a", 1000);
    BOOST_TEST(workers.choose("z-a") == "b");
    BOOST_TEST(workers.table.choose(1000, {100, "z-a", {}, {}})->name == "a");
    workers.table.update({{"a", "z-a", 1000, 0, false}, {"b", "z-b", 1000, 0, true}});
    BOOST_TEST(workers.table.choose(1000, {100, "z-a", {}, {}})->name == "b");
    BOOST_TEST(!workers.table.is_ready("a"));
    BOOST_TEST(workers.table.is_ready("b"));
    BOOST_TEST(!workers.table.is_ready("c"));
    BOOST_TEST(workers.table.zone_of("b") == "z-b");
    BOOST_TEST(workers.table.zone_of("c").empty());
    BOOST_TEST(workers.table.region_of("z-a") == "west");
    BOOST_TEST(workers.table.region_of("z-x") == "z-x");
}

}  // namespace gannethold::cluster
