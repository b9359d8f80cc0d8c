#include "observations.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string_view>

namespace gannethold::cluster::simulation {
namespace {

using Argument = const std::string&;
using Observation = double (*)(ScenarioState& state, Argument argument);
using ObservationTable = std::map<std::string_view, Observation>;

template <class Number>
double as_double(Number number) {
    return static_cast<double>(number);
}

double to_ms(Micros micros) { return as_double(micros) / as_double(kMicrosPerMilli); }

const CoreMachines& cores(ScenarioState& state) { return state.cluster->cores(); }
const Operators::Counts& operators(ScenarioState& state) { return state.cluster->operators().counts(); }
const Platform::Counts& platform(ScenarioState& state) { return state.cluster->platform().counts(); }
const ClientRequests& requests(ScenarioState& state) { return state.cluster->requests(); }

// Of the cores and what operators put.
const ObservationTable& core_observations() {
    static const ObservationTable kTable = {
        {"leaders", [](ScenarioState& state, Argument) { return as_double(cores(state).leader_count()); }},
        {"last-is-leader",
         [](ScenarioState& state, Argument) { return as_double(cores(state).leader() == state.last_core); }},
        {"term", [](ScenarioState& state, Argument) { return as_double(cores(state).term()); }},
        {"committed",
         [](ScenarioState& state, Argument) { return as_double(cores(state).committed_version()); }},
        {"voters", [](ScenarioState& state, Argument) { return as_double(cores(state).voter_count()); }},
        {"learners", [](ScenarioState& state, Argument) { return as_double(cores(state).learner_count()); }},
        {"only-live-voters",
         [](ScenarioState& state, Argument) { return as_double(cores(state).has_only_live_voters()); }},
        {"recovering", [](ScenarioState& state,
                          Argument core) { return as_double(cores(state).is_recovering(state.core(core))); }},
        {"version-on-disk",
         [](ScenarioState& state, Argument core) {
             return as_double(cores(state).version_on_disk(state.core(core)));
         }},
        {"overdue-shutdowns",
         [](ScenarioState& state, Argument) { return as_double(cores(state).overdue_shutdowns()); }},
        {"max-queued-bytes", [](ScenarioState& state,
                                Argument) { return as_double(state.cluster->network().max_queued_bytes()); }},
        {"acknowledged",
         [](ScenarioState& state, Argument) { return as_double(state.cluster->checker().acknowledged()); }},
        {"acknowledgements",
         [](ScenarioState& state, Argument) { return as_double(operators(state).acknowledged); }},
        {"conflicts", [](ScenarioState& state, Argument) { return as_double(operators(state).conflicts); }},
        {"reads", [](ScenarioState& state, Argument) { return as_double(operators(state).reads); }},
        {"registrations",
         [](ScenarioState& state, Argument) { return as_double(operators(state).registrations); }},
    };
    return kTable;
}

// Of clients' requests; an argument is the name of a route.
const ObservationTable& request_observations() {
    static const ObservationTable kTable = {
        {"answered",
         [](ScenarioState& state, Argument route) {
             return as_double(route.empty() ? requests(state).count_status(200)
                                            : requests(state).outcomes_of(route).answered);
         }},
        {"rejected",
         [](ScenarioState& state, Argument) { return as_double(requests(state).count_status(503)); }},
        {"failed",
         [](ScenarioState& state, Argument) {
             return as_double(requests(state).count_status(502) + requests(state).count_status(504));
         }},
        {"unrouted",
         [](ScenarioState& state, Argument) { return as_double(requests(state).count_status(404)); }},
        {"late",
         [](ScenarioState& state, Argument route) {
             return as_double(route.empty() ? requests(state).outcomes().late
                                            : requests(state).outcomes_of(route).late);
         }},
        {"errors", [](ScenarioState& state,
                      Argument route) { return as_double(requests(state).outcomes_of(route).errors); }},
        {"max-latency-ms",
         [](ScenarioState& state, Argument route) {
             return to_ms(requests(state).outcomes_of(route).max_latency);
         }},
        {"max-rejection-ms",
         [](ScenarioState& state, Argument route) {
             return to_ms(requests(state).outcomes_of(route).max_rejection_latency);
         }},
        {"runs", [](ScenarioState& state, Argument) { return as_double(requests(state).outcomes().runs); }},
        {"runner-rejections",
         [](ScenarioState& state, Argument) {
             return as_double(requests(state).outcomes().runner_rejections);
         }},
        {"unconnected",
         [](ScenarioState& state, Argument) { return as_double(requests(state).outcomes().unconnected); }},
    };
    return kTable;
}

// Of proxies, coordinators and the platform.
const ObservationTable& service_observations() {
    static const ObservationTable kTable = {
        {"proxy-version",
         [](ScenarioState& state, Argument proxy) {
             return as_double(state.cluster->proxies().version(std::stoul(proxy)));
         }},
        {"proxy-sessions",
         [](ScenarioState& state, Argument) { return as_double(state.cluster->proxies().session_count()); }},
        {"unrestricted",
         [](ScenarioState& state, Argument service) {
             return as_double(state.cluster->coordinators().is_unrestricted(service));
         }},
        {"runners",
         [](ScenarioState& state, Argument service) {
             return as_double(state.cluster->platform().count_running(service));
         }},
        {"starts", [](ScenarioState& state, Argument) { return as_double(platform(state).starts); }},
        {"stops", [](ScenarioState& state, Argument) { return as_double(platform(state).stops); }},
        {"fenced-starts",
         [](ScenarioState& state, Argument) { return as_double(platform(state).fenced_starts); }},
    };
    return kTable;
}

}  // namespace

double observe(ScenarioState& state, const std::string& what) {
    const auto colon = what.find(':');
    const std::string name = what.substr(0, colon);
    const std::string argument = colon == std::string::npos ? "" : what.substr(colon + 1);
    for (const ObservationTable* table :
         {&core_observations(), &request_observations(), &service_observations()})
        if (const auto known = table->find(name); known != table->end())
            return known->second(state, argument);
    BOOST_FAIL("no such observation: " + what);
    return 0;
}

void check_expectation(ScenarioState& state, const ScenarioLine& line) {
    const double observed = observe(state, line.word(1));
    const double expected = line.number(3);
    const std::string text = line.word(1) + " is " + std::to_string(observed);
    const std::string& comparison = line.word(2);
    if (comparison == "=")
        BOOST_TEST(observed == expected, text);
    else if (comparison == "<")
        BOOST_TEST(observed < expected, text);
    else if (comparison == ">")
        BOOST_TEST(observed > expected, text);
    else
        BOOST_FAIL("no such comparison: " + comparison);
}

}  // namespace gannethold::cluster::simulation
