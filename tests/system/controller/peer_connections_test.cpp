// Connections to other core machines: dialed when there is something to send, again after a pause.
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

#include "cluster/controller/peer_connections.hpp"
#include "scripted_peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kLongerThanPeerTimeout = 2'000'000;
constexpr Micros kLongerThanRedialInterval = 150'000;

// A core machine that listens and says nothing, and the one that sends to it.
struct Fixture {
    Fixture() {
        settings.control_plane_address = "127.0.0.1:1";
        settings.internal_port = peer.port;
    }
    void send() { connections.send(member, Heartbeat{}); }
    bool until(const std::function<bool()>& condition) { return run_loop_until(loop, condition); }
    void let_pass(Micros span) {
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

BOOST_AUTO_TEST_CASE(one_connection_takes_all_messages) {
    Fixture fixture;
    BOOST_TEST(fixture.dials() == 0U);
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    fixture.send();
    fixture.send();
    BOOST_TEST(fixture.until([&] { return !fixture.peer.connections()[0].receive().received.empty(); }));
    BOOST_TEST(fixture.dials() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_connection_is_dialed_again_after_a_pause) {
    Fixture fixture;
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    fixture.let_pass(kLongerThanRedialInterval);
    fixture.peer.connections()[0].close();
    fixture.let_pass(kLongerThanRedialInterval);
    fixture.send();
    BOOST_TEST(fixture.until([&] { return fixture.dials() == 2; }));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_right_after_a_dial_that_failed) {
    Fixture fixture;
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    fixture.connections.sweep(net::Loop::now() + kLongerThanPeerTimeout);  // closes it as silent
    fixture.send();                                                        // dialed a moment ago: dropped
    fixture.let_pass(kLongerThanRedialInterval / 10);
    BOOST_TEST(fixture.dials() == 1U);
}

BOOST_AUTO_TEST_CASE(only_a_silent_peer_is_hung_up_on) {
    Fixture fixture;
    fixture.send();
    BOOST_REQUIRE(fixture.until([&] { return fixture.dials() == 1; }));
    const Micros later = net::Loop::now() + kLongerThanPeerTimeout;
    fixture.connections.on_received_from(fixture.member, later);
    fixture.connections.sweep(later);
    fixture.let_pass(kLongerThanRedialInterval);
    BOOST_TEST(!fixture.peer.connections()[0].receive().closed);
    fixture.connections.sweep(later + kLongerThanPeerTimeout);
    BOOST_TEST(fixture.until([&] { return fixture.peer.connections()[0].receive().closed; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
