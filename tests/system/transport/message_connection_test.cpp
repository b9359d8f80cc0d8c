// Delivery of messages on a MessageConnection, and the events when it is closed.
#include "cluster/transport/message_connection.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "net/listener.hpp"
#include "../scripted_peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kBlocks = 64;
constexpr Micros kConnectTimeout = 500'000;

net::Address loopback_address(std::uint16_t port) {
    return *net::Address::parse("127.0.0.1:" + std::to_string(port));
}

/// One end of a connection, with a record of its events.
struct End {
    struct Received {
        std::string from;
        Message message;
        std::size_t bytes = 0;
    };

    MessageConnection::Events events() {
        return {.on_connected = [this] { ++connected; },
                .on_message =
                    [this](const ReceivedMessage& received) {
                        messages.push_back({received.from, received.message, connection->message_bytes()});
                        if (closes_on_message) connection->close();
                    },
                .on_disconnected = [this] { ++disconnected; }};
    }

    std::unique_ptr<MessageConnection> connection;
    std::vector<Received> messages;
    int connected = 0;
    int disconnected = 0;
    bool closes_on_message = false;
};

/// A listener that creates an End for each accepted connection.
struct Fixture {
    Fixture()
        : port(free_port()),
          listener(
              loop, loopback_address(port), [this](evutil_socket_t socket) { accept(socket); }, [] {}) {}

    void accept(evutil_socket_t socket) {
        End& end = accepted.emplace_back();
        end.connection = std::make_unique<MessageConnection>(loop, socket, end.events());
    }
    void connect(End& end) {
        end.connection =
            std::make_unique<MessageConnection>(loop, loopback_address(port), kConnectTimeout, end.events());
    }
    /// Connects, and returns the accepted end.
    End& connect_both(End& end) {
        connect(end);
        BOOST_REQUIRE(run_until([&] { return end.connected == 1 && !accepted.empty(); }));
        return accepted.back();
    }
    bool run_until(const std::function<bool()>& condition) { return run_loop_until(loop, condition); }
    void run_for(Micros span) {
        run_until([end = net::Loop::now() + span] { return net::Loop::now() > end; });
    }

    net::Loop loop{kBlocks};
    std::uint16_t port;
    std::deque<End> accepted;  // a deque, because connections hold references to its elements
    net::Listener listener;
};

BOOST_FIXTURE_TEST_CASE(messages_arrive_in_order_with_sender_and_size, Fixture) {
    End end;
    End& peer = connect_both(end);
    BOOST_TEST(end.connection->is_open());
    BOOST_TEST(peer.connected == 0);
    const std::size_t first_bytes = end.connection->send(Redirect{"first"}, "core-1");
    const std::size_t second_bytes = end.connection->send(Redirect{"a longer second"});
    BOOST_REQUIRE(run_until([&] { return peer.messages.size() == 2; }));
    BOOST_TEST(std::get<Redirect>(peer.messages[0].message).leader == "first");
    BOOST_TEST(peer.messages[0].from == "core-1");
    BOOST_TEST(peer.messages[0].bytes == first_bytes);
    BOOST_TEST(std::get<Redirect>(peer.messages[1].message).leader == "a longer second");
    BOOST_TEST(peer.messages[1].from.empty());
    BOOST_TEST(peer.messages[1].bytes == second_bytes);
    peer.connection->send(Redirect{"back"});
    BOOST_TEST(run_until([&] { return end.messages.size() == 1; }));
}

BOOST_FIXTURE_TEST_CASE(a_close_by_the_peer_is_reported_once_and_the_own_close_is_not, Fixture) {
    End end;
    End& peer = connect_both(end);
    end.connection->close();
    BOOST_TEST(!end.connection->is_open());
    BOOST_TEST(end.connection->send(Heartbeat{}) == 0U);
    BOOST_TEST(run_until([&] { return peer.disconnected == 1; }));
    BOOST_TEST(!peer.connection->is_open());
    BOOST_TEST(peer.connection->send(Heartbeat{}) == 0U);
    run_for(20'000);
    BOOST_TEST(end.disconnected == 0);
    BOOST_TEST(peer.disconnected == 1);
}

BOOST_FIXTURE_TEST_CASE(no_message_is_delivered_after_a_close_from_within_a_callback, Fixture) {
    End end;
    End& peer = connect_both(end);
    peer.closes_on_message = true;
    end.connection->send(Redirect{"first"});
    end.connection->send(Redirect{"second"});
    BOOST_TEST(run_until([&] { return end.disconnected == 1; }));
    BOOST_TEST(peer.messages.size() == 1U);
    BOOST_TEST(peer.disconnected == 0);
}

BOOST_FIXTURE_TEST_CASE(bytes_that_are_no_message_close_the_connection_and_are_counted, Fixture) {
    const std::uint64_t malformed_before = MessageConnection::malformed_connections();
    ScriptedConnection client = ScriptedConnection::connect_to(port);
    client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(run_until([&] { return client.receive().closed; }));
    BOOST_REQUIRE(accepted.size() == 1U);
    BOOST_TEST(accepted[0].disconnected == 1);
    BOOST_TEST(accepted[0].messages.empty());
    BOOST_TEST(MessageConnection::malformed_connections() == malformed_before + 1);
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_is_refused_is_disconnected_and_never_connected, Fixture) {
    End end;
    end.connection = std::make_unique<MessageConnection>(loop, loopback_address(free_port()), kConnectTimeout,
                                                         end.events());
    BOOST_TEST(!end.connection->is_open());
    BOOST_TEST(run_until([&] { return end.disconnected == 1; }));
    BOOST_TEST(end.connected == 0);
    BOOST_TEST(!end.connection->is_open());
}

BOOST_FIXTURE_TEST_CASE(a_message_too_large_for_the_block_pool_closes_the_connection, Fixture) {
    End end;
    End& peer = connect_both(end);
    const std::string too_long((kBlocks + 1) * net::BlockPool::kBlockBytes, 'x');
    BOOST_TEST(end.connection->send(Redirect{too_long}) == 0U);
    BOOST_TEST(end.disconnected == 1);
    BOOST_TEST(!end.connection->is_open());
    BOOST_TEST(run_until([&] { return peer.disconnected == 1; }));
    BOOST_TEST(peer.messages.empty());
}

}  // namespace
}  // namespace gannethold::cluster
