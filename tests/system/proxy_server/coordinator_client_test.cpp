// Tests the session with the coordinator, against scripted members of the core on loopback.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "../scripted_peers.hpp"
#include "cluster/proxy_server/coordinator_client.hpp"
#include "net/listener.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kSeedIp[] = "127.0.0.1";
constexpr char kLeaderIp[] = "127.0.0.2";

// A member of the core that records the messages it receives, and sends only what the test tells it to.
class ScriptedMember {
  public:
    ScriptedMember(net::Loop& loop, const std::string& ip, std::uint16_t port)
        : loop_(loop),
          listener_(
              loop, net::ListenAddress(*net::Address::parse(ip + ":" + std::to_string(port))),
              [this](evutil_socket_t socket) { on_accept(socket); }, [] {}) {}

    void send(const Message& message) { connections_.back()->send(message); }
    template <class Type>
    std::size_t count() const {
        std::size_t found = 0;
        for (const Message& message : received_) found += std::holds_alternative<Type>(message) ? 1 : 0;
        return found;
    }
    std::size_t connections() const { return connections_.size(); }

  private:
    void on_accept(evutil_socket_t socket) {
        MessageConnection::Events events;
        events.on_message = [this](const ReceivedMessage& received) {
            received_.push_back(received.message);
        };
        events.on_disconnected = [] {};
        connections_.push_back(std::make_unique<MessageConnection>(loop_, socket, std::move(events)));
    }

    net::Loop& loop_;
    std::vector<std::unique_ptr<MessageConnection>> connections_;
    std::vector<Message> received_;
    net::Listener listener_;
};

// A client whose seed is a scripted member.
struct Fixture {
    Fixture() : port(free_port()), seed(loop, kSeedIp, port) {
        settings.internal_port = port;
        settings.seed_addresses = {std::string(kSeedIp) + ":1"};
        client = std::make_unique<CoordinatorClient>(loop, settings, events());
    }
    CoordinatorClient::Events events() {
        CoordinatorClient::Events events;
        events.make_registration = [] { return RegisterRequest{"proxy", "z0", 1, 0, {}, {}}; };
        events.on_message = [this](const Message& message, bool begins_session) {
            received.push_back(message);
            if (begins_session) ++sessions;
        };
        events.on_disconnected = [this] { ++disconnects; };
        events.on_stalled = [this] { ++stalls; };
        return events;
    }
    bool until(const std::function<bool()>& condition) {
        return run_loop_until(loop, [&] {
            client->tick(net::Loop::now());
            return condition();
        });
    }
    void register_at_seed() {
        BOOST_REQUIRE(until([&] { return seed.count<RegisterRequest>() == 1; }));
        seed.send(RegisterResponse{1, 0, 1, {}});
        BOOST_REQUIRE(until([&] { return sessions == 1; }));
    }

    net::Loop loop{8192};
    std::uint16_t port;
    ScriptedMember seed;
    Settings settings;
    std::unique_ptr<CoordinatorClient> client;
    std::vector<Message> received;
    int sessions = 0;
    int disconnects = 0;
    int stalls = 0;
};

BOOST_AUTO_TEST_CASE(a_session_begins_once_and_is_kept_alive_by_heartbeats) {
    Fixture fixture;
    fixture.register_at_seed();
    fixture.seed.send(RegisterResponse{1, 0, 2, {}});
    BOOST_REQUIRE(fixture.until([&] { return fixture.received.size() == 2; }));
    BOOST_TEST(fixture.sessions == 1);
    BOOST_REQUIRE(fixture.until([&] { return fixture.seed.count<Heartbeat>() >= 1; }));
    BOOST_TEST(fixture.seed.count<RegisterRequest>() == 1U);
    BOOST_TEST(fixture.disconnects == 0);
}

BOOST_AUTO_TEST_CASE(a_session_with_a_silent_coordinator_times_out_and_another_one_begins) {
    Fixture fixture;
    fixture.register_at_seed();
    BOOST_REQUIRE(fixture.until([&] { return fixture.disconnects == 1; }));
    BOOST_REQUIRE(fixture.until([&] { return fixture.seed.count<RegisterRequest>() == 2; }));
    BOOST_TEST(fixture.seed.connections() == 2U);
    fixture.seed.send(RegisterResponse{2, 0, 1, {}});
    BOOST_REQUIRE(fixture.until([&] { return fixture.sessions == 2; }));
    BOOST_TEST(fixture.stalls == 0);
}

BOOST_AUTO_TEST_CASE(
    a_coordinator_that_answers_neither_requests_nor_heartbeats_is_silent_before_the_session_times_out) {
    Fixture fixture;
    fixture.register_at_seed();
    BOOST_TEST(!fixture.client->is_silent(net::Loop::now()));
    fixture.client->send(AcquireRequest{});
    BOOST_REQUIRE(fixture.until([&] { return fixture.client->is_silent(net::Loop::now()); }));
    BOOST_TEST(fixture.seed.count<Heartbeat>() >= 1U);
    BOOST_TEST(fixture.disconnects == 0);
    fixture.seed.send(Heartbeat{});
    BOOST_REQUIRE(fixture.until([&] { return !fixture.client->is_silent(net::Loop::now()); }));
    BOOST_TEST(fixture.disconnects == 0);
}

BOOST_AUTO_TEST_CASE(a_coordinator_that_answers_heartbeats_but_no_request_is_not_silent) {
    Fixture fixture;
    fixture.register_at_seed();
    fixture.client->send(AcquireRequest{});
    std::size_t answered = 0;
    bool was_silent = false;
    BOOST_REQUIRE(fixture.until([&] {
        was_silent = was_silent || fixture.client->is_silent(net::Loop::now());
        if (fixture.seed.count<Heartbeat>() > answered) {
            ++answered;
            fixture.seed.send(Heartbeat{});
        }
        return answered == 4;
    }));
    BOOST_TEST(!was_silent);
}

BOOST_AUTO_TEST_CASE(a_redirect_makes_the_client_connect_to_the_leader) {
    Fixture fixture;
    ScriptedMember leader(fixture.loop, kLeaderIp, fixture.port);
    BOOST_REQUIRE(fixture.until([&] { return fixture.seed.count<RegisterRequest>() == 1; }));
    fixture.seed.send(Redirect{std::string(kLeaderIp) + ":1"});
    BOOST_REQUIRE(fixture.until([&] { return leader.count<RegisterRequest>() == 1; }));
    BOOST_TEST(fixture.disconnects == 1);
    BOOST_TEST(fixture.received.empty());
    BOOST_TEST(fixture.seed.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(a_process_that_stalled_closes_its_session) {
    Fixture fixture;
    fixture.register_at_seed();
    fixture.client->tick(net::Loop::now() + 1'100'000);
    BOOST_TEST(fixture.stalls == 1);
    BOOST_TEST(fixture.disconnects == 1);
}

}  // namespace
}  // namespace gannethold::cluster
