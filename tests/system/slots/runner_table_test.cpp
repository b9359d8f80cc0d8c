#include "cluster/slots/runner_table.hpp"

#include <boost/test/unit_test.hpp>

#include "cluster/slots/function_registry.hpp"
#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

// A function registry with function "f" and an empty runner table.
struct TablesFixture {
    explicit TablesFixture(int slots = 4) { functions.configure(one_function(slots, 1000, 5000)); }
    Function& function() { return functions.get_or_add("f"); }

    FunctionRegistry functions{RetryBudget::Options{}};
    RunnerTable runners{7};
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_runner_is_found_by_number_and_id_until_it_is_removed) {
    TablesFixture tables;
    RunnerSlots& runner = tables.runners.add(5, runner_info("i-1"), tables.function());
    BOOST_TEST(runner.number == 7U);
    BOOST_TEST(runner.info.slots == 4U);  // the configured value, not the listed one
    BOOST_TEST((runner.state == RunnerState::starting));
    BOOST_TEST(tables.runners.starting().contains(7));
    BOOST_TEST((tables.runners.find(7) == &runner));
    BOOST_TEST((tables.runners.find("i-1") == &runner));
    BOOST_TEST((tables.function().runners == std::vector<RunnerSlots*>{&runner}));
    tables.runners.mark_ready(runner);
    BOOST_TEST(tables.runners.starting().empty());
    tables.runners.remove(10, runner);
    BOOST_TEST((tables.runners.find(7) == nullptr));
    BOOST_TEST((tables.runners.find("i-1") == nullptr));
    BOOST_TEST(tables.function().runners.empty());
    BOOST_TEST(tables.runners.has_ended("i-1"));
}

BOOST_AUTO_TEST_CASE(the_end_of_a_runner_is_recorded_for_a_minute) {
    TablesFixture tables;
    tables.runners.record_end(0, "i-1");
    tables.runners.remove_old_ends(60'000'000);
    BOOST_TEST(tables.runners.has_ended("i-1"));
    tables.runners.remove_old_ends(60'000'001);
    BOOST_TEST(!tables.runners.has_ended("i-1"));
}

BOOST_AUTO_TEST_CASE(a_new_configuration_sets_the_slots_of_existing_runners) {
    TablesFixture tables;
    const RunnerSlots& runner = tables.runners.add(0, runner_info("i-1"), tables.function());
    tables.functions.configure(one_function(9, 1000, 5000));
    tables.runners.update_slots();
    BOOST_TEST(runner.info.slots == 9U);
}

BOOST_AUTO_TEST_CASE(a_function_remains_active_until_it_is_idle) {
    TablesFixture tables;
    Function& function = tables.function();
    BOOST_TEST(function.active);
    function.on_request(30'000'000);
    tables.functions.deactivate_idle(50'000'000);
    BOOST_TEST(function.active);
    tables.functions.deactivate_idle(50'000'001);
    BOOST_TEST(!function.active);
    BOOST_TEST(tables.functions.active().empty());
    tables.functions.activate(function);
    RunnerSlots& runner = tables.runners.add(0, runner_info("i-1"), function);
    tables.functions.deactivate_idle(90'000'000);
    BOOST_TEST(function.active);
    tables.runners.remove(0, runner);
    tables.functions.deactivate_idle(90'000'000);
    BOOST_TEST(!function.active);
    BOOST_TEST((tables.functions.find("unknown") == nullptr));
}

}  // namespace gannethold::cluster
