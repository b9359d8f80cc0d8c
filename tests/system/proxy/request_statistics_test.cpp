#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string>

#include "cluster/proxy/request_statistics.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(losses_are_counted_permanently_and_returned_once) {
    RequestStatistics statistics;
    const ValueLoss loss{1, 2, "f", ValueLoss::Cause::memory, ValueLoss::Outcome::rejected};
    const std::size_t recorded = RequestStatistics::kMaxEntries + 10;
    for (std::size_t n = 0; n < recorded; ++n) statistics.record(loss);
    BOOST_TEST(statistics.count(ValueLoss::Cause::memory, ValueLoss::Outcome::rejected) == recorded);
    BOOST_TEST(statistics.count(ValueLoss::Cause::memory, ValueLoss::Outcome::late) == 0U);
    BOOST_TEST(statistics.take_new_losses().size() == RequestStatistics::kMaxEntries);
    BOOST_TEST(statistics.take_new_losses().empty());
}

BOOST_AUTO_TEST_CASE(decisions_are_kept_up_to_a_bound) {
    RequestStatistics statistics;
    for (RequestId id = 1; id <= RequestStatistics::kMaxEntries + 1; ++id) {
        RoutingDecision decision;
        decision.request = id;
        statistics.record(decision);
    }
    BOOST_TEST(statistics.decisions().entries().size() == RequestStatistics::kMaxEntries);
    BOOST_TEST(statistics.decisions().entries().front().request == 2U);
}

BOOST_AUTO_TEST_CASE(causes_and_outcomes_have_their_documented_names) {
    BOOST_TEST(std::string(name_of(ValueLoss::Cause::cold_start)) == "cold_start");
    BOOST_TEST(std::string(name_of(ValueLoss::Cause::coordinator)) == "keeper_away");
    BOOST_TEST(std::string(name_of(ValueLoss::Cause::runner)) == "runner_lost");
    BOOST_TEST(std::string(name_of(ValueLoss::Cause::route)) == "route");
    BOOST_TEST(std::string(name_of(ValueLoss::Outcome::rejected)) == "refused");
}

}  // namespace
}  // namespace gannethold::cluster
