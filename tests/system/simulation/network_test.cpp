#include "network.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster::simulation {
namespace {

struct NetworkFixture {
    NetworkFixture() {
        for (std::size_t machine = 0; machine < environment.shape.cores; ++machine) network.add_machine();
    }

    /// Whether a message from one machine to the other arrives within a second.
    bool arrives(std::size_t from, std::size_t to) {
        bool arrived = false;
        network.send(from, to, VoteResponse{}, [&] { arrived = true; });
        environment.events.run_until(environment.now() + kMicrosPerSecond);
        return arrived;
    }

    Environment environment{ClusterShape{}};
    Network network{environment};
};

BOOST_FIXTURE_TEST_CASE(a_cut_loses_messages_until_it_is_healed, NetworkFixture) {
    BOOST_TEST(arrives(0, 1));
    network.cut(0, 1, true);
    BOOST_TEST(!arrives(0, 1));
    BOOST_TEST(arrives(1, 0));
    network.heal();
    BOOST_TEST(arrives(0, 1));
}

BOOST_FIXTURE_TEST_CASE(a_machine_is_cut_off_once_no_other_has_it_in_both_directions, NetworkFixture) {
    network.cut(0, 1, true);
    BOOST_TEST(!network.cut_off_since(0).has_value());
    network.cut(2, 0, true);
    BOOST_TEST((network.cut_off_since(0) == environment.now()));
    BOOST_TEST(!network.cut_off_since(1).has_value());
    network.heal();
    BOOST_TEST(!network.cut_off_since(0).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_reset_loses_what_is_in_flight, NetworkFixture) {
    bool arrived = false;
    network.send(0, 1, VoteResponse{}, [&] { arrived = true; });
    network.reset_connection(1, 0);
    environment.events.run_until(environment.now() + kMicrosPerSecond);
    BOOST_TEST(!arrived);
    BOOST_TEST(arrives(0, 1));
}

}  // namespace
}  // namespace gannethold::cluster::simulation
