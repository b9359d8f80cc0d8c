#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/pending_acquires.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(an_acquire_is_found_until_it_is_removed) {
    PendingAcquires acquires;
    const std::uint32_t first = acquires.add(7);
    const std::uint32_t second = acquires.add(8);
    BOOST_TEST(first != 0U);
    BOOST_TEST(first != second);
    BOOST_TEST(acquires.find(first).value() == 7U);
    acquires.remove(first);
    BOOST_TEST(!acquires.find(first).has_value());
    BOOST_TEST(acquires.find(second).value() == 8U);
}

BOOST_AUTO_TEST_CASE(an_id_of_an_earlier_session_is_unknown) {
    PendingAcquires acquires;
    const std::uint32_t earlier = acquires.add(7);
    acquires.clear();
    BOOST_TEST(acquires.add(7) != earlier);
    BOOST_TEST(!acquires.find(earlier).has_value());
}

}  // namespace
}  // namespace gannethold::cluster
