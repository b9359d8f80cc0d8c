#include "scenario_line.hpp"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

namespace gannethold::cluster::simulation {
namespace {

BOOST_AUTO_TEST_CASE(a_line_is_split_at_spaces_and_ends_at_a_comment) {
    const ScenarioLine line("at 2.5  put 1 leader   # the first");
    BOOST_TEST(line.size() == 5U);
    BOOST_TEST(line.seconds(1) == 2'500'000);
    BOOST_TEST(line.from(2).word(0) == "put");
    BOOST_TEST(line.last_word() == "leader");
    BOOST_TEST(ScenarioLine("# only a comment").empty());
}

BOOST_AUTO_TEST_CASE(values_are_found_by_the_word_before_them) {
    const ScenarioLine line("service a slots 8 route-to b");
    BOOST_TEST(line.value_of("slots", 1) == 8);
    BOOST_TEST(line.value_of("boot", 900) == 900);
    BOOST_TEST(line.text_of("route-to") == "b");
    BOOST_TEST(line.text_of("boot").empty());
}

BOOST_AUTO_TEST_CASE(a_missing_word_and_a_word_that_is_no_number_are_errors) {
    const ScenarioLine line("stall leader long");
    BOOST_CHECK_THROW(line.word(3), std::out_of_range);
    BOOST_CHECK_THROW(line.seconds(2), std::invalid_argument);
}

BOOST_AUTO_TEST_CASE(the_text_after_a_word_is_left_as_it_is) {
    const ScenarioLine line("settings ok a=b;c=#d");
    BOOST_TEST(line.text_after("ok") == " a=b;c=#d");
}

}  // namespace
}  // namespace gannethold::cluster::simulation
