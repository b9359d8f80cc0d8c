// Planned sets of voters (consensus/membership_plan.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/membership_plan.hpp"

namespace gannethold::cluster {
namespace {

using Voters = std::vector<std::string>;

constexpr MembershipTimes kTimes{450'000, 1'000'000, 2'000'000};

std::vector<VoterStatus> responding(const Voters& addresses) {
    std::vector<VoterStatus> voters;
    for (const std::string& address : addresses) voters.push_back({address, false, 0});
    return voters;
}

BOOST_AUTO_TEST_CASE(nothing_changes_while_all_respond_and_no_learner_is_ready) {
    BOOST_TEST((plan_voters(responding({"a", "b", "c"}), {}, kTimes) == Voters{"a", "b", "c"}));
}

BOOST_AUTO_TEST_CASE(a_learner_replaces_a_silent_or_leaving_voter) {
    auto voters = responding({"a", "b", "c"});
    voters[1].silent_for = kTimes.replace_after;
    BOOST_TEST((plan_voters(voters, {"d"}, kTimes) == Voters{"a", "d", "c"}));
    voters[1] = {"b", true, 0};
    BOOST_TEST((plan_voters(voters, {"d"}, kTimes) == Voters{"a", "d", "c"}));
}

BOOST_AUTO_TEST_CASE(learners_are_promoted_so_that_the_number_of_voters_is_odd) {
    BOOST_TEST((plan_voters(responding({"a", "b", "c"}), {"d"}, kTimes) == Voters{"a", "b", "c"}));
    BOOST_TEST(
        (plan_voters(responding({"a", "b", "c"}), {"d", "e"}, kTimes) == Voters{"a", "b", "c", "d", "e"}));
    BOOST_TEST((plan_voters(responding({"a", "b"}), {"d"}, kTimes) == Voters{"a", "b", "d"}));
}

BOOST_AUTO_TEST_CASE(learners_are_reserved_as_successors_while_a_voter_does_not_respond) {
    auto voters = responding({"a", "b", "c"});
    voters[2].silent_for = kTimes.unresponsive_after;
    BOOST_TEST((plan_voters(voters, {"d", "e"}, kTimes) == Voters{"a", "b", "c"}));
}

BOOST_AUTO_TEST_CASE(two_failed_or_leaving_voters_are_removed_without_successors_down_to_three) {
    auto voters = responding({"a", "b", "c", "d", "e"});
    voters[1].silent_for = kTimes.remove_after;
    BOOST_TEST((plan_voters(voters, {}, kTimes) == Voters{"a", "b", "c", "d", "e"}));
    voters[3].is_leaving = true;
    BOOST_TEST((plan_voters(voters, {}, kTimes) == Voters{"a", "c", "e"}));
    voters.resize(3);
    voters[2].silent_for = kTimes.remove_after;
    BOOST_TEST((plan_voters(voters, {}, kTimes) == Voters{"a", "b", "c"}));
}

}  // namespace
}  // namespace gannethold::cluster
