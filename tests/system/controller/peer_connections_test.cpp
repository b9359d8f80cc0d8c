// Connections to other core machines (controller/peer_connections.hpp).
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

#include "cluster/controller/peer_connections.hpp"
#include "scripted_peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kMoreThanPeerTimeout = 2'000'000;
constexpr Micros kMoreThanRedialInterval = 150'000;

// A peer that accepts connections and sends nothing, and connections to it.
struct Fixture {
    Fixture() {
        settings.control_plane_address = "127.0.0.1:1";
        settings.internal_port = peer.port;
    }
    void send() { connections.send(member, Heartbeat{}); }
    bool until(const std::function<bool()>& condition) { return run_loop_until(loop, condition); }
    void wait_for(Micros span) {
        const Micros end = net::Loop::now() + span;
        until([end] { return net::Loop::now() >= end; });
    }
    std::size_t dials() { return peer.connections().size(); }

    net::Loop loop{256};
    ScriptedListener peer;
    Settings settings;
    std::string member = "127.0.0.1:18263";  // its control_plane address
    PeerConnections connections{loop, settings};
};

BOOST_AUTO_TEST_SUITE(peer_connections)

BOOST_AUTO_TEST_CASE(all_messages_share_one_connection) {
    Fixture fixture;
    BOOST_TEST(fixture.dials() == 0U);
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    fixture.send();
    fixture.send();
    BOOST_TEST(fixture.until([&] { return !fixture.peer.connections()[0].receive().received.empty(); }));
    BOOST_TEST(fixture.dials() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_connection_is_dialed_again_after_the_redial_interval) {
    Fixture fixture;
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    fixture.wait_for(kMoreThanRedialInterval);
    fixture.peer.connections()[0].close();
    fixture.wait_for(kMoreThanRedialInterval);
    fixture.send();
    BOOST_TEST(fixture.until([&] { return fixture.dials() == 2; }));
}

BOOST_AUTO_TEST_CASE(a_message_right_after_a_failed_dial_is_dropped) {
    Fixture fixture;
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    fixture.connections.sweep(net::Loop::now() + kMoreThanPeerTimeout);  // closes it as silent
    fixture.send();                                                      // dropped: dialed recently
    fixture.wait_for(kMoreThanRedialInterval / 10);
    BOOST_TEST(fixture.dials() == 1U);
}

BOOST_AUTO_TEST_CASE(only_connections_to_silent_peers_are_closed) {
    Fixture fixture;
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    const Micros later = net::Loop::now() + kMoreThanPeerTimeout;
    fixture.connections.on_received_from(fixture.member, later);
    fixture.connections.sweep(later);
    fixture.wait_for(kMoreThanRedialInterval);
    BOOST_TEST(!fixture.peer.connections()[0].receive().closed);
    fixture.connections.sweep(later + kMoreThanPeerTimeout);
    BOOST_TEST(fixture.until([&] { return fixture.peer.connections()[0].receive().closed; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
