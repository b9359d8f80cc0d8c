// Sessions of processes that connect to a controller (controller/inbound_connections.hpp).
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/controller/inbound_connections.hpp"
#include "scripted_peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnectTimeout = 500'000;
constexpr Micros kMoreThanPeerTimeout = 2'000'000;

// A listening controller that records its callbacks.
struct Controller {
    Controller() : port(free_port()) {
        connections.emplace(
            loop, *net::Address::parse(address()),
            InboundConnections::Callbacks{
                [this](const std::string& member, const Message&) { members.push_back(member); },
                [this](Session session, const RegisterRequest& registration) {
                    registered.emplace_back(session, registration.name);
                },
                [this](Session session, const Message&) { messages.push_back(session); },
                [this](Session session) { disconnected.push_back(session); },
            });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    bool until(const std::function<bool()>& condition) { return run_loop_until(loop, condition); }
    std::vector<std::string> connected_proxies() const {
        std::vector<std::string> names;
        connections->for_each_proxy(
            [&](Session, const RegisterRequest& registration) { names.push_back(registration.name); });
        return names;
    }

    net::Loop loop{256};
    std::uint16_t port;
    std::vector<std::string> members;
    std::vector<std::pair<Session, std::string>> registered;
    std::vector<Session> messages;
    std::vector<Session> disconnected;
    std::optional<InboundConnections> connections;
};

// A process that connects to the controller.
struct Dialer {
    explicit Dialer(Controller& controller)
        : connection(
              controller.loop, *net::Address::parse(controller.address()), kConnectTimeout,
              {[] {}, [this](const ReceivedMessage&) { ++received; }, [this] { disconnected = true; }}) {}
    int received = 0;
    bool disconnected = false;
    MessageConnection connection;
};

RegisterRequest registration(const std::string& name) {
    RegisterRequest message;
    message.name = name;
    return message;
}

BOOST_AUTO_TEST_SUITE(inbound_connections)

BOOST_AUTO_TEST_CASE(a_core_machine_identifies_itself_in_each_message) {
    Controller controller;
    Dialer core(controller);
    core.connection.send(JoinRequest{}, "127.0.0.9:18263");
    BOOST_REQUIRE(controller.until([&] { return !controller.members.empty(); }));
    BOOST_TEST(controller.members[0] == "127.0.0.9:18263");
    BOOST_TEST(controller.registered.empty());
    BOOST_TEST(controller.connected_proxies().empty());
}

BOOST_AUTO_TEST_CASE(messages_of_a_proxy_are_delivered_once_it_has_registered) {
    Controller controller;
    Dialer proxy(controller);
    proxy.connection.send(Heartbeat{});
    proxy.connection.send(registration("p-1"));
    proxy.connection.send(Heartbeat{});
    BOOST_REQUIRE(controller.until([&] { return !controller.messages.empty(); }));
    BOOST_TEST(controller.messages.size() == 1U);
    BOOST_REQUIRE(controller.registered.size() == 1U);
    BOOST_TEST(controller.registered[0].second == "p-1");
    BOOST_TEST(controller.messages[0] == controller.registered[0].first);
    controller.connections->send(controller.registered[0].first, Heartbeat{});
    BOOST_TEST(controller.until([&] { return proxy.received == 1; }));
}

BOOST_AUTO_TEST_CASE(a_closed_session_is_reported_by_the_next_sweep) {
    Controller controller;
    Dialer proxy(controller);
    proxy.connection.send(registration("p-1"));
    BOOST_REQUIRE(controller.until([&] { return !controller.registered.empty(); }));
    const Session session = controller.registered[0].first;
    controller.connections->disconnect_proxies();
    BOOST_TEST(controller.connected_proxies().empty());
    BOOST_TEST(controller.disconnected.empty());
    controller.connections->send(session, Heartbeat{});  // without effect
    controller.connections->sweep(net::Loop::now());
    BOOST_REQUIRE(controller.disconnected.size() == 1U);
    BOOST_TEST(controller.disconnected[0] == session);
    BOOST_TEST(controller.until([&] { return proxy.disconnected; }));
    controller.connections->sweep(net::Loop::now());
    BOOST_TEST(controller.disconnected.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_proxy_is_disconnected) {
    Controller controller;
    Dialer proxy(controller);
    proxy.connection.send(registration("p-1"));
    BOOST_REQUIRE(controller.until([&] { return !controller.registered.empty(); }));
    controller.connections->sweep(net::Loop::now());
    BOOST_TEST(controller.connected_proxies().size() == 1U);
    controller.connections->sweep(net::Loop::now() + kMoreThanPeerTimeout);
    BOOST_TEST(controller.connected_proxies().empty());
    BOOST_TEST(controller.disconnected.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
