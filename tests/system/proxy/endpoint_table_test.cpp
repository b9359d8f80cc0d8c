#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>
#include <vector>

#include "cluster/proxy/endpoint_table.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kService[] = "f";
constexpr char kAddress[] = "10.0.0.1:80";

RunnerUpdate make_update(const std::string& runner, std::uint32_t number, RunnerState state,
                         const std::string& zone = "z0") {
    RunnerUpdate update;
    update.number = number;
    update.state = state;
    update.runner = {runner, kService, kAddress, zone, "w", 4, 0, true};
    return update;
}

// An endpoint table with the function table that it refers to.
struct Table {
    Actions announce(const RunnerUpdate& update) {
        Actions actions;
        endpoints.on_update(update, actions);
        return actions;
    }
    Endpoint* select(const std::string& zone, Micros now) {
        return endpoints.select(
            functions.state_of(kService).split, zone, 0.5,
            [now](const Endpoint& endpoint, const Split::Share&) { return endpoint.is_selectable(now); });
    }
    FunctionTable functions;
    EndpointTable endpoints{functions};
};

BOOST_AUTO_TEST_CASE(a_runner_in_the_same_zone_is_preferred_and_an_ejected_runner_is_not_selected) {
    Table table;
    table.announce(make_update("far", 1, RunnerState::ready, "z1"));
    table.announce(make_update("near", 2, RunnerState::ready, "z0"));
    BOOST_TEST(table.select("z0", 0)->info.runner_id == "near");
    table.endpoints.eject("near", 1'000);
    BOOST_TEST(table.select("z0", 999)->info.runner_id == "far");
    BOOST_TEST(table.select("z0", 1'000)->info.runner_id == "near");
}

BOOST_AUTO_TEST_CASE(a_removed_runner_is_kept_until_its_attempts_have_ended) {
    Table table;
    table.announce(make_update("i-1", 1, RunnerState::ready));
    table.endpoints.find("i-1")->in_flight = 1;
    const Actions gone = table.announce(make_update("i-1", 1, RunnerState::gone));
    BOOST_TEST(gone.evicted_addresses == std::vector<std::string>{kAddress});
    BOOST_REQUIRE(table.endpoints.find("i-1") != nullptr);
    BOOST_TEST(table.select("z0", 0) == nullptr);
    table.endpoints.find("i-1")->in_flight = 0;
    table.announce(make_update("i-1", 1, RunnerState::gone));
    BOOST_TEST(table.endpoints.find("i-1") == nullptr);
    BOOST_TEST(table.endpoints.find_by_number(1) == nullptr);
}

BOOST_AUTO_TEST_CASE(changes_after_the_registration_are_corrected_once) {
    for (const std::uint32_t in_flight : {1U, 3U}) {
        Table table;
        table.announce(make_update("i-1", 1, RunnerState::ready));
        table.endpoints.find("i-1")->in_flight = 2;
        const std::vector<RunnerInfo> registered = table.endpoints.make_registration();
        BOOST_REQUIRE(registered.size() == 1U);
        table.endpoints.begin_session();
        table.endpoints.find("i-1")->in_flight = in_flight;
        const Actions corrected = table.announce(make_update("i-1", 9, RunnerState::ready));
        BOOST_REQUIRE(corrected.messages.size() == 1U);
        BOOST_TEST(std::holds_alternative<Release>(corrected.messages[0]) == (in_flight < 2));
        BOOST_TEST(std::holds_alternative<OutstandingReport>(corrected.messages[0]) == (in_flight > 2));
        BOOST_TEST(table.announce(make_update("i-1", 9, RunnerState::ready)).messages.empty());
    }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_probe_is_reported_once_for_each_runner_at_the_address) {
    Table table;
    RunnerUpdate starting = make_update("i-1", 1, RunnerState::starting);
    starting.watch = true;
    BOOST_TEST(table.announce(starting).probed_addresses == std::vector<std::string>{kAddress});
    Actions actions;
    table.endpoints.on_probe_completed(kAddress, true, true, actions);
    BOOST_REQUIRE(actions.messages.size() == 1U);
    BOOST_TEST(std::holds_alternative<RunnerReachable>(actions.messages[0]));
    table.endpoints.on_probe_completed(kAddress, true, true, actions);
    BOOST_TEST(actions.messages.size() == 1U);
}

}  // namespace
}  // namespace gannethold::cluster
