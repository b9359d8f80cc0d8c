#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy_server/coordinator_addresses.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(members_and_seeds_are_tried_in_turn_without_duplicates) {
    CoordinatorAddresses addresses({"a", "b"}, 0);
    addresses.set_members({"b", "c"});
    BOOST_TEST(addresses.take_next().value() == "b");
    BOOST_TEST(addresses.take_next().value() == "c");
    BOOST_TEST(addresses.take_next().value() == "a");
    BOOST_TEST(addresses.take_next().value() == "b");
    addresses.set_members({});
    addresses.set_seeds({"d"});
    BOOST_TEST(addresses.take_next().value() == "d");
}

BOOST_AUTO_TEST_CASE(a_redirect_is_tried_first_and_once) {
    CoordinatorAddresses addresses({"a", "b"}, 0);
    addresses.set_redirect("leader");
    BOOST_TEST(addresses.take_next().value() == "leader");
    BOOST_TEST(addresses.take_next().value() == "a");
    addresses.set_redirect("");
    BOOST_TEST(addresses.take_next().value() == "b");
}

BOOST_AUTO_TEST_CASE(there_is_no_next_address_if_none_is_known) {
    BOOST_TEST(!CoordinatorAddresses({}, 5).take_next().has_value());
}

}  // namespace
}  // namespace gannethold::cluster
