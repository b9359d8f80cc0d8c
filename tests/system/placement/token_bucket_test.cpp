#include "cluster/placement/token_bucket.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {

BOOST_AUTO_TEST_CASE(tokens_accrue_at_the_share_of_the_rate) {
    TokenBucket bucket({10, 0.5, 2}, 0);
    BOOST_TEST(!bucket.try_spend(0));
    BOOST_TEST(!bucket.try_spend(199'999));
    BOOST_TEST(bucket.try_spend(200'001));
    BOOST_TEST(!bucket.try_spend(200'002));
}

BOOST_AUTO_TEST_CASE(tokens_accrue_up_to_the_burst) {
    TokenBucket bucket({10, 1, 2}, 0);
    BOOST_TEST(bucket.try_spend(60'000'000));
    BOOST_TEST(bucket.try_spend(60'000'000));
    BOOST_TEST(!bucket.try_spend(60'000'000));
}

}  // namespace gannethold::cluster
