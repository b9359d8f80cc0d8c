#include "configuration_template.hpp"

#include <boost/test/unit_test.hpp>

#include "cluster/base/error.hpp"
#include "planted_fault.hpp"

namespace gannethold::cluster::simulation {
namespace {

BOOST_AUTO_TEST_CASE(a_body_is_a_valid_configuration_of_its_version) {
    ConfigurationTemplate configuration;
    configuration.services.resize(2);
    configuration.services[0].name = "a";
    configuration.services[1].name = "further";
    configuration.services[1].route_to = "a";
    const Number version = leaf::try_handle_all(
        [&]() -> leaf::result<Number> {
            BOOST_LEAF_AUTO(read, Configuration::parse(configuration.body(7, "mark")));
            return read->version();
        },
        [] { return Number{0}; });
    BOOST_TEST(version == 7U);
    BOOST_TEST(configuration.body(7, "mark") != configuration.body(7, "other"));
}

BOOST_AUTO_TEST_CASE(a_service_is_found_by_its_name) {
    ConfigurationTemplate configuration;
    configuration.services.resize(1);
    configuration.services[0].name = "a";
    BOOST_TEST(configuration.find("a") == configuration.services.data());
    BOOST_TEST(configuration.find("b") == nullptr);
}

BOOST_AUTO_TEST_CASE(planted_faults_are_known_by_the_names_of_their_enumerators) {
    BOOST_TEST((parse_planted_fault("send_before_sync") == PlantedFault::send_before_sync));
    BOOST_TEST((parse_planted_fault("retry_after_timeout") == PlantedFault::retry_after_timeout));
    BOOST_TEST(!parse_planted_fault("no_such_fault").has_value());
}

}  // namespace
}  // namespace gannethold::cluster::simulation
