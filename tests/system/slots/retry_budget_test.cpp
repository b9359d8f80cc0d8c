#include "cluster/slots/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {

BOOST_AUTO_TEST_CASE(a_coordinator_spends_at_most_half_of_the_retry_budget_per_window) {
    RetryBudget budget({4, 10'000'000});
    BOOST_TEST(budget.try_spend(0));
    BOOST_TEST(budget.try_spend(1'000'000));
    BOOST_TEST(!budget.try_spend(2'000'000));
    BOOST_TEST(!budget.try_spend(10'000'000));
    BOOST_TEST(budget.try_spend(10'000'001));
    BOOST_TEST(!budget.try_spend(10'000'002));
}

BOOST_AUTO_TEST_CASE(a_budget_of_zero_allows_no_retry) {
    RetryBudget budget({0, 10'000'000});
    BOOST_TEST(!budget.try_spend(0));
}

BOOST_AUTO_TEST_CASE(a_sliding_window_counts_the_events_within_its_span) {
    SlidingWindow window(100);
    window.add(0);
    window.add(50);
    BOOST_TEST(window.count(100) == 2U);
    BOOST_TEST(window.count(101) == 1U);
    BOOST_TEST(window.count(151) == 0U);
}

}  // namespace gannethold::cluster
