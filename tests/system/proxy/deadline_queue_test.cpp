#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/deadline_queue.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(deadlines_expire_in_order_and_are_kept_until_removed) {
    DeadlineQueue queue;
    BOOST_TEST(!queue.next().has_value());
    BOOST_TEST(!queue.expired(1'000).has_value());
    queue.add(200, 1);
    queue.add(100, 2);
    queue.add(100, 3);
    BOOST_TEST(queue.next().value() == 100);
    BOOST_TEST(!queue.expired(99).has_value());
    BOOST_TEST(queue.expired(100).value() == 2U);
    BOOST_TEST(queue.expired(100).value() == 2U);
    queue.remove(100, 2);
    BOOST_TEST(queue.expired(100).value() == 3U);
    queue.remove(100, 3);
    BOOST_TEST(!queue.expired(100).has_value());
    BOOST_TEST(queue.next().value() == 200);
}

BOOST_AUTO_TEST_CASE(removing_an_absent_entry_has_no_effect) {
    DeadlineQueue queue;
    queue.add(100, 1);
    queue.remove(100, 2);
    queue.remove(200, 1);
    BOOST_TEST(queue.expired(100).value() == 1U);
}

}  // namespace
}  // namespace gannethold::cluster
