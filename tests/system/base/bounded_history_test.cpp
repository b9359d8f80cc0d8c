// A bounded history keeps the newest entries.
#include "cluster/base/bounded_history.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace gannethold::cluster::tests {

BOOST_AUTO_TEST_CASE(the_oldest_entries_are_evicted) {
    BoundedHistory<int> history(3);
    BOOST_TEST(history.entries().empty());
    for (int entry = 1; entry <= 5; ++entry) history.add(entry);
    const std::deque<int> expected{3, 4, 5};
    BOOST_TEST(history.entries() == expected, boost::test_tools::per_element());
    BOOST_TEST(history.total_added() == 5U);
}

}  // namespace gannethold::cluster::tests
