// Majorities under joint consensus, and the standard rules (consensus/quorum.hpp, rules.hpp).
#include <boost/test/unit_test.hpp>

#include <set>

#include "cluster/consensus/quorum.hpp"
#include "cluster/consensus/rules.hpp"

namespace gannethold::cluster {
namespace {

bool is_quorum(const std::vector<std::string>& members, const std::vector<std::string>& outgoing,
               const std::set<std::string>& agreeing) {
    return has_quorum(members, outgoing,
                      [&](const std::string& member) { return agreeing.contains(member); });
}

BOOST_AUTO_TEST_CASE(a_membership_change_needs_both_majorities) {
    BOOST_TEST(is_quorum({"a", "b", "c"}, {}, {"a", "b"}));
    BOOST_TEST(!is_quorum({"a", "b", "c"}, {}, {"a"}));
    BOOST_TEST(!is_quorum({"a", "b", "c", "d"}, {}, {"a", "b"}));
    BOOST_TEST(!is_quorum({"a", "d", "e"}, {"a", "b", "c"}, {"d", "e"}));
    BOOST_TEST(!is_quorum({"a", "d", "e"}, {"a", "b", "c"}, {"b", "c"}));
    BOOST_TEST(is_quorum({"a", "d", "e"}, {"a", "b", "c"}, {"a", "b", "d"}));
}

BOOST_AUTO_TEST_CASE(a_membership_change_begins_with_a_joint_entry) {
    LogEntry head;
    head.members = {"a", "b", "c"};
    const ConsensusRules& rules = ConsensusRules::standard();
    BOOST_TEST(!rules.needs_outgoing_majority(head));
    const LogEntry joint = rules.begin_membership_change(head, {"a", "b", "d"});
    BOOST_TEST((joint.members == std::vector<std::string>{"a", "b", "d"}));
    BOOST_TEST((joint.outgoing_members == head.members));
    BOOST_TEST(rules.needs_outgoing_majority(joint));
    BOOST_TEST(all_voters(joint).size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_learner_has_caught_up_within_two_entries_of_the_head) {
    const ConsensusRules& rules = ConsensusRules::standard();
    const LogPosition head{3, 10};
    BOOST_TEST(rules.has_caught_up({true, {3, 8}}, head));
    BOOST_TEST(!rules.has_caught_up({true, {3, 7}}, head));
    BOOST_TEST(!rules.has_caught_up({true, {2, 10}}, head));
    BOOST_TEST(!rules.has_caught_up({false, {3, 10}}, head));
}

}  // namespace
}  // namespace gannethold::cluster
