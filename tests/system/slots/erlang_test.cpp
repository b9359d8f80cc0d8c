#include "cluster/slots/erlang.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {

BOOST_AUTO_TEST_CASE(erlang_b_returns_known_values) {
    BOOST_TEST(erlang_b(1, 1) == 0.5);
    BOOST_TEST(erlang_b(2, 2) == 0.4, boost::test_tools::tolerance(1e-12));
    BOOST_TEST(erlang_b(0, 3) == 0.0);
    BOOST_TEST(erlang_b(5, 10) == 0.018385, boost::test_tools::tolerance(1e-4));
}

BOOST_AUTO_TEST_CASE(wait_probabilities_follow_erlang_c) {
    BOOST_TEST(probability_wait_exceeds(0.5, 1, 0) == 0.5);  // one slot: the probability that it is in use
    BOOST_TEST(probability_wait_exceeds(2, 3, 0) == 4.0 / 9, boost::test_tools::tolerance(1e-12));
    BOOST_TEST(probability_wait_exceeds(2, 3, 1) == 4.0 / 9 * 0.36787944, boost::test_tools::tolerance(1e-7));
    BOOST_TEST(probability_wait_exceeds(0, 3, 0) == 0.0);
    BOOST_TEST(probability_wait_exceeds(3, 3, 10) == 1.0);  // the queue grows without bound
}

}  // namespace gannethold::cluster
