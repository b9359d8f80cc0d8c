#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/function_table.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kNow = 10'000'000;

BOOST_AUTO_TEST_CASE(the_load_of_unrestricted_functions_is_reported_once_a_second) {
    FunctionTable functions;
    functions.state_of("restricted").load.add(5'000);
    FunctionState& function = functions.state_of("f");
    function.unrestricted = true;
    BOOST_TEST(functions.is_unrestricted("f"));
    BOOST_TEST(!functions.is_unrestricted("restricted"));
    BOOST_TEST(!functions.is_unrestricted("unknown"));
    BOOST_TEST(!functions.make_load_report(kNow).has_value());
    function.load.add(20'000);
    function.load.add(30'000);
    BOOST_TEST(!functions.make_load_report(kNow + 999'999).has_value());
    const auto report = functions.make_load_report(kNow + 1'000'000);
    BOOST_REQUIRE(report.has_value());
    BOOST_REQUIRE(report->loads.size() == 1U);
    BOOST_TEST(report->loads[0].service == "f");
    BOOST_TEST(report->loads[0].count == 2U);
    BOOST_TEST(report->loads[0].busy_ms == 50U);
    BOOST_TEST(!functions.make_load_report(kNow + 2'000'000).has_value());
}

BOOST_AUTO_TEST_CASE(a_registration_states_the_load_of_the_last_report) {
    FunctionTable functions;
    functions.state_of("f").unrestricted = true;
    functions.state_of("f").load.add(20'000);
    functions.make_load_report(kNow);
    functions.state_of("f").load.add(70'000);
    const auto loads = functions.unrestricted_loads();
    BOOST_REQUIRE(loads.size() == 1U);
    BOOST_TEST(loads[0].count == 1U);
    BOOST_TEST(loads[0].busy_ms == 20U);
}

}  // namespace
}  // namespace gannethold::cluster
