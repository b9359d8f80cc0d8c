#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string>

#include "cluster/proxy/slot_share.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(the_shares_of_all_proxies_add_up_to_the_slots) {
    for (std::uint32_t proxies = 1; proxies <= 5; ++proxies)
        for (std::uint32_t slots = 1; slots <= 9; ++slots) {
            RunnerInfo runner;
            runner.runner_id = "i-" + std::to_string(slots);
            runner.slots = slots;
            std::uint32_t sum = 0;
            for (std::uint32_t rank = 0; rank < proxies; ++rank) {
                const std::uint32_t share = SlotShare{rank, proxies}.slots_of(runner);
                BOOST_TEST(share <= slots / proxies + 1);
                sum += share;
            }
            BOOST_TEST(sum == slots);
        }
}

}  // namespace
}  // namespace gannethold::cluster
