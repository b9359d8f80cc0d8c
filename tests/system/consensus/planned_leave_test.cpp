// Planned leave of a member (consensus/planned_leave.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/planned_leave.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(a_leaving_member_repeats_its_request_until_it_may_stop) {
    PlannedLeave leave;
    BOOST_TEST(!leave.is_request_due(1'000'000));
    leave.begin(1'000'000);
    BOOST_TEST(leave.is_request_due(1'000'000));
    leave.on_request(1'000'000);
    BOOST_TEST(!leave.is_request_due(1'049'999));
    BOOST_TEST(leave.is_request_due(1'050'000));
    BOOST_TEST(!leave.can_stop());
    leave.allow_stop();
    BOOST_TEST(leave.can_stop());
    BOOST_TEST(!leave.is_request_due(2'000'000));
}

}  // namespace
}  // namespace gannethold::cluster
