// Tests, over real sockets, that the coordinator repeats a start without a response under the same nonce, and
// that it never uses a nonce for two different starts.
#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE calls
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/configuration/configuration.hpp"
#include "cluster/coordinator/coordinator.hpp"
#include "../scripted_peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxBlocks = 8192;

std::string response_bytes(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr Session kSession = 1;
constexpr char kService[] = "f";

std::shared_ptr<const Configuration> configuration(bool idempotent, int attempts) {
    const std::string text =
        std::string(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/f/","route_kind":")") +
        (idempotent ? "idempotent" : "non_idempotent") +
        R"(","timeout_ms":4000,"target_latency_ms":1500,"priority":1,"service":"f","max_attempts":)" +
        std::to_string(attempts) +
        R"(}],"services":[{"name":"f","connection_limit":20,"memory_mb":128,"boot_duration_ms":600,"max_concurrency":1}]})";
    return leaf::try_handle_all([&] { return Configuration::parse(text); },
                                []() -> std::shared_ptr<const Configuration> {
                                    BOOST_FAIL("the configuration can not be read");
                                    return {};
                                });
}

/// A platform with one worker and no runners, which records the nonces of the starts that it receives.
struct Platform {
    enum class StartResponse { complete, none, truncated };

    void serve() {
        for (ScriptedConnection& connection : listener.connections()) {
            connection.receive();
            while (serve_next(connection)) {
            }
        }
    }
    // Serves the next request; returns false if no request has arrived completely.
    bool serve_next(ScriptedConnection& connection) {
        static constexpr std::string_view kEndOfHead = "\r\n\r\n";
        static constexpr std::string_view kLength = "Content-Length: ";
        std::string& received = connection.received;
        const std::size_t head_size = received.find(kEndOfHead);
        if (head_size == std::string::npos) return false;
        std::size_t body_size = 0;
        if (const std::size_t found = received.find(kLength); found < head_size)
            body_size = std::stoul(received.substr(found + kLength.size()));
        const std::size_t body_at = head_size + kEndOfHead.size();
        if (received.size() < body_at + body_size) return false;
        const std::string head = received.substr(0, head_size);
        const std::string body = received.substr(body_at, body_size);
        received.erase(0, body_at + body_size);
        on_request(connection, head, body);
        return true;
    }
    void on_request(ScriptedConnection& connection, const std::string& head, const std::string& body) {
        if (head.starts_with("GET /runners")) {
            connection.send(response_bytes(R"({"instances":[],"next_page_token":null})"));
            return;
        }
        if (head.starts_with("GET /v1/workers")) {
            connection.send(response_bytes(
                R"({"workers":[{"name":"w","zone":"z0","memory_mb":4096,"free_memory_mb":4096,"state":"ready"}]})"));
            return;
        }
        const std::string key = "\"request_nonce\":\"";
        const std::size_t nonce_at = body.find(key) + key.size();
        nonces.push_back(body.substr(nonce_at, body.find('"', nonce_at) - nonce_at));
        const std::string response = response_bytes(R"({"runner_id":"i-1","address":"127.0.0.1:1"})");
        if (start_response == StartResponse::complete) connection.send(response);
        if (start_response == StartResponse::truncated) {
            connection.send(response.substr(0, response.size() - 1));
            connection.close();
        }
    }
    ScriptedListener listener;
    StartResponse start_response = StartResponse::complete;
    std::vector<std::string> nonces;
};

// A coordinator with one registered proxy, whose acquire request makes it start a runner.
struct Leader {
    Leader(net::Loop& loop, Platform& platform, const std::string& node, Number term)
        : loop(loop), platform(platform) {
        settings.node_name = node;
        settings.platform_address = platform.listener.address();
        settings.platform_lists_per_s = 50;
        settings.platform_actions_per_s = 50;
        coordinator.emplace(loop, settings, ExchangeRates{}, term, [](Session, const Message&) {});
        LogEntry entry;
        entry.version = 1;
        coordinator->on_committed(entry, configuration(true, 2));
        coordinator->on_registered(kSession, RegisterRequest{"front", "z0", 1, 1, {}, {}});
        coordinator->on_message(kSession, AcquireRequest{1, 0, kService, 1500, 60'000, 1, 1, false});
    }
    bool run_until_starts(std::size_t count) {
        return run_loop_until(loop, [&] {
            coordinator->tick(net::Loop::now());
            platform.serve();
            return platform.nonces.size() >= count;
        });
    }
    net::Loop& loop;
    Platform& platform;
    Settings settings;
    std::optional<Coordinator> coordinator;
};

BOOST_AUTO_TEST_CASE(a_start_without_a_response_is_repeated_under_its_nonce) {
    for (const auto response : {Platform::StartResponse::none, Platform::StartResponse::truncated}) {
        net::Loop loop(kMaxBlocks);
        Platform platform;
        platform.start_response = response;
        Leader leader(loop, platform, "core-1", 7);
        BOOST_REQUIRE(leader.run_until_starts(2));
        BOOST_TEST(platform.nonces[0] == platform.nonces[1]);
    }
}

BOOST_AUTO_TEST_CASE(two_coordinators_of_one_term_never_use_the_same_nonce) {
    net::Loop loop(kMaxBlocks);
    Platform platform;
    const std::string long_name(80, 'n');
    for (int coordinators = 0; coordinators < 2; ++coordinators) {
        Leader leader(loop, platform, long_name, 7);
        BOOST_REQUIRE(leader.run_until_starts(platform.nonces.size() + 1));
    }
    BOOST_TEST(platform.nonces[0] != platform.nonces[1]);
    for (const std::string& nonce : platform.nonces) BOOST_TEST(nonce.size() <= 64U);
}

}  // namespace
}  // namespace gannethold::cluster
