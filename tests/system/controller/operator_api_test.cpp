// The operators' HTTP API of a core machine (controller/operator_api.hpp).
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <string>

#include "cluster/controller/operator_api.hpp"
#include "scripted_peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kAcceptTime = 50'000;

std::string configuration(int version) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string request(const std::string& method, const std::string& target, const std::string& body = {}) {
    return method + " " + target +
           " HTTP/1.1\r\nHost: core\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The only member of its core, with a data directory of its own.
struct Machine {
    Machine() : port(free_port()) {
        static int instances = 0;
        folder = std::filesystem::temp_directory_path() /
                 ("gannethold-operator-api-" + std::to_string(getpid()) + "-" + std::to_string(++instances));
        settings.control_plane_address = "127.0.0.1:" + std::to_string(port);
        settings.seed_addresses = {settings.control_plane_address};
        settings.is_initial_start = true;
        settings.data_directory = folder;
        consensus.emplace(settings,
                          DurableConsensus::Callbacks{
                              [](const std::string&, const Message&) {},
                              [this](const ProposalResult& result) { api->on_proposal_resolved(result); },
                              [] {},
                              [] {},
                          });
        api.emplace(loop, *net::Address::parse(settings.control_plane_address), settings, *consensus);
    }
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;
    ~Machine() { std::filesystem::remove_all(folder); }

    bool lead() {
        return run_loop_until(loop, [this] {
            consensus->on_timer(net::Loop::now());
            return consensus->has_lease(net::Loop::now());
        });
    }
    std::string response_to(const std::string& request) {
        ScriptedConnection connection = ScriptedConnection::connect_to(port);
        connection.send(request);
        BOOST_REQUIRE(run_loop_until(loop, [&] {
            if (consensus->consensus()) consensus->on_timer(net::Loop::now());  // renews the lease
            return connection.has_received("}") || connection.closed;
        }));
        return connection.received;
    }

    net::Loop loop{256};
    std::uint16_t port;
    std::filesystem::path folder;
    Settings settings;
    std::optional<DurableConsensus> consensus;
    std::optional<OperatorApi> api;
};

BOOST_AUTO_TEST_SUITE(operator_api)

BOOST_AUTO_TEST_CASE(there_is_one_resource_with_two_methods) {
    Machine machine;
    BOOST_TEST(machine.response_to(request("GET", "/v1/other")).starts_with("HTTP/1.1 404"));
    BOOST_TEST(machine.response_to(request("POST", "/v1/configuration")).starts_with("HTTP/1.1 400"));
}

BOOST_AUTO_TEST_CASE(without_a_leader_the_response_is_503_with_retry_after) {
    Machine machine;
    const std::string response = machine.response_to(request("PUT", "/v1/configuration", configuration(1)));
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    BOOST_TEST(response.find("Retry-After") != std::string::npos);
    BOOST_TEST(machine.api->pending_proposals() == 0U);
}

BOOST_AUTO_TEST_CASE(the_leader_commits_a_configuration_before_it_acknowledges_it) {
    Machine machine;
    BOOST_REQUIRE(machine.lead());
    BOOST_TEST(machine.response_to(request("GET", "/v1/configuration")).starts_with("HTTP/1.1 503"));
    const std::string body = configuration(4);
    BOOST_TEST(machine.response_to(request("PUT", "/v1/configuration", body)).starts_with("HTTP/1.1 200"));
    BOOST_TEST(machine.response_to(request("GET", "/v1/configuration?x=1")).ends_with(body));
    BOOST_TEST(machine.api->pending_proposals() == 0U);
}

BOOST_AUTO_TEST_CASE(the_configuration_of_the_newest_put_is_not_parsed_again) {
    Machine machine;
    BOOST_REQUIRE(machine.lead());
    machine.response_to(request("PUT", "/v1/configuration", configuration(4)));
    const LogEntry* const committed = machine.consensus->consensus()->committed_entry();
    BOOST_REQUIRE(committed != nullptr);
    const LogEntry entry = committed ? *committed : LogEntry{};
    BOOST_REQUIRE(machine.api->parsed_configuration(entry) != nullptr);
    BOOST_TEST(machine.api->parsed_configuration(entry)->version() == 4U);
    LogEntry other = entry;
    other.body += " ";
    BOOST_TEST(machine.api->parsed_configuration(other) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_invalid_configuration_is_rejected) {
    Machine machine;
    BOOST_REQUIRE(machine.lead());
    BOOST_TEST(machine.response_to(request("PUT", "/v1/configuration", "{")).starts_with("HTTP/1.1 400"));
    BOOST_TEST(machine.response_to(request("PUT", "/v1/configuration", "{}")).starts_with("HTTP/1.1 4"));
    BOOST_TEST(machine.consensus->consensus()->committed_entry()->version == 0U);
}

BOOST_AUTO_TEST_CASE(another_body_under_a_committed_version_is_a_conflict) {
    Machine machine;
    BOOST_REQUIRE(machine.lead());
    machine.response_to(request("PUT", "/v1/configuration", configuration(4)));
    const std::string other = R"({"version":4,"routes":[],"services":[{"name":"f","connection_limit":8,)"
                              R"("memory_mb":64,"boot_duration_ms":100,"max_concurrency":1}]})";
    BOOST_TEST(machine.response_to(request("PUT", "/v1/configuration", other)).starts_with("HTTP/1.1 409"));
}

BOOST_AUTO_TEST_CASE(a_machine_that_shuts_down_no_longer_responds_as_the_leader) {
    Machine machine;
    BOOST_REQUIRE(machine.lead());
    ScriptedConnection connection = ScriptedConnection::connect_to(machine.port);
    connection.send(request("GET", "/v1/configuration").substr(0, 10));  // accepted before the shutdown
    const Micros accepted_by = net::Loop::now() + kAcceptTime;
    run_loop_until(machine.loop, [&] { return net::Loop::now() >= accepted_by; });
    BOOST_REQUIRE(machine.lead());
    machine.api->begin_shutdown();
    connection.send(request("GET", "/v1/configuration").substr(10));
    BOOST_REQUIRE(
        run_loop_until(machine.loop, [&] { return connection.has_received("}") || connection.closed; }));
    BOOST_TEST(connection.received.starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
