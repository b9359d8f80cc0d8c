// Lifecycle of the coordinator in a controller: it runs while the machine is the leader, and is paused while
// the lease has expired (controller/coordinator_role.hpp).
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cluster/controller/coordinator_role.hpp"
#include "scripted_peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnectTimeout = 500'000;
constexpr Micros kMoreThanLeaseDuration = 500'000;

// A controller that is the only member of its core, without a platform.
struct Controller {
    Controller() : port(free_port()) {
        static int instances = 0;
        folder = std::filesystem::temp_directory_path() /
                 ("gannethold-role-" + std::to_string(getpid()) + "-" + std::to_string(++instances));
        settings.node_name = "core";
        settings.control_plane_address = "127.0.0.1:1";
        settings.seed_addresses = {settings.control_plane_address};
        settings.is_initial_start = true;
        settings.data_directory = folder;
        settings.platform_address = "127.0.0.1:1";
        consensus.emplace(settings, DurableConsensus::Callbacks{
                                        [](const std::string&, const Message&) {},
                                        [](const ProposalResult&) {},
                                        [this] { role->update(); },
                                        [this] { role->stop_coordinator(); },
                                    });
        connections.emplace(loop, *net::Address::parse(address()),
                            InboundConnections::Callbacks{
                                [](const std::string&, const Message&) {},
                                [this](Session session, const RegisterRequest& registration) {
                                    role->on_registered(session, registration);
                                },
                                [this](Session session, const Message& message) {
                                    ++messages;
                                    role->on_message(session, message);
                                },
                                [this](Session session) { role->on_disconnected(session); },
                            });
        role.emplace(loop, settings, ExchangeRates{}, *consensus, *connections,
                     [](const LogEntry&) { return std::shared_ptr<const Configuration>(); });
    }
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;
    ~Controller() { std::filesystem::remove_all(folder); }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    void tick() {
        const Micros now = net::Loop::now();
        consensus->on_timer(now);
        role->tick(now);
    }
    bool is_leader() const { return consensus->has_lease(net::Loop::now()); }
    // Runs the loop and ticks consensus and the coordinator.
    bool until(const std::function<bool()>& condition) {
        return run_loop_until(loop, [&] {
            tick();
            return condition();
        });
    }
    // Runs the loop without ticks, like an overloaded machine whose lease expires.
    bool until_without_ticks(const std::function<bool()>& condition) {
        return run_loop_until(loop, condition);
    }

    net::Loop loop{256};
    std::uint16_t port;
    std::filesystem::path folder;
    Settings settings;
    int messages = 0;  // from registered proxies
    std::optional<DurableConsensus> consensus;
    std::optional<InboundConnections> connections;
    std::optional<CoordinatorRole> role;
};

struct Proxy {
    explicit Proxy(Controller& controller)
        : connection(controller.loop, *net::Address::parse(controller.address()), kConnectTimeout,
                     {[] {}, [this](const ReceivedMessage& message) { received.push_back(message.message); },
                      [this] { disconnected = true; }}) {
        RegisterRequest registration;
        registration.name = "p-1";
        connection.send(registration);
    }
    template <class Kind>
    int count() const {
        int found = 0;
        for (const Message& message : received) found += std::get_if<Kind>(&message) != nullptr;
        return found;
    }
    std::vector<Message> received;
    bool disconnected = false;
    MessageConnection connection;
};

BOOST_AUTO_TEST_SUITE(coordinator_role)

BOOST_AUTO_TEST_CASE(a_proxy_is_redirected_if_there_is_no_coordinator) {
    Controller controller;
    Proxy proxy(controller);
    BOOST_REQUIRE(controller.until_without_ticks([&] { return proxy.count<Redirect>() == 1; }));
    BOOST_TEST(std::get<Redirect>(proxy.received[0]).leader.empty());
    BOOST_TEST(controller.role->coordinator() == nullptr);
    BOOST_TEST(proxy.count<RegisterResponse>() == 0);
}

BOOST_AUTO_TEST_CASE(a_proxy_connected_before_the_election_is_registered_after_it) {
    Controller controller;
    Proxy proxy(controller);
    BOOST_REQUIRE(controller.until_without_ticks([&] { return proxy.count<Redirect>() == 1; }));
    BOOST_REQUIRE(controller.until([&] { return proxy.count<RegisterResponse>() >= 1; }));
    BOOST_REQUIRE(controller.role->coordinator() != nullptr);
    BOOST_TEST(controller.role->coordinator()->term() == controller.consensus->consensus()->current_term());
}

BOOST_AUTO_TEST_CASE(messages_are_deferred_while_the_lease_has_expired) {
    Controller controller;
    BOOST_REQUIRE(controller.until([&] { return controller.is_leader(); }));
    Proxy proxy(controller);
    BOOST_REQUIRE(controller.until([&] { return proxy.count<RegisterResponse>() >= 1; }));
    const Coordinator* const coordinator = controller.role->coordinator();
    const Micros expired_by = net::Loop::now() + kMoreThanLeaseDuration;
    BOOST_REQUIRE(controller.until_without_ticks([&] { return net::Loop::now() >= expired_by; }));
    BOOST_REQUIRE(!controller.is_leader());
    proxy.connection.send(Heartbeat{});
    BOOST_REQUIRE(controller.until_without_ticks([&] { return controller.messages == 1; }));
    BOOST_TEST(proxy.count<Heartbeat>() == 0);
    BOOST_TEST(controller.role->next_tick(net::Loop::now()) > net::Loop::now() + kMoreThanLeaseDuration);
    BOOST_TEST(controller.until([&] { return proxy.count<Heartbeat>() == 1; }));
    BOOST_TEST(controller.role->coordinator() == coordinator);  // kept, since the term has not ended
    BOOST_TEST(!proxy.disconnected);
}

BOOST_AUTO_TEST_CASE(proxies_are_disconnected_when_the_coordinator_is_stopped) {
    Controller controller;
    BOOST_REQUIRE(controller.until([&] { return controller.is_leader(); }));
    Proxy proxy(controller);
    BOOST_REQUIRE(controller.until([&] { return proxy.count<RegisterResponse>() >= 1; }));
    controller.role->begin_shutdown();
    BOOST_TEST(controller.role->coordinator() != nullptr);
    controller.role->update();
    BOOST_TEST(controller.role->coordinator() == nullptr);
    BOOST_TEST(controller.until([&] { return proxy.disconnected; }));
    BOOST_TEST(controller.role->coordinator() == nullptr);  // still the leader, but shutting down
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
