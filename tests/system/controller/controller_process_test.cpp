// Tests of the controller process as the only member of its core, with operators that connect over sockets.
// An operator may repeat a change whose response was lost, and responses are sent in the order of their
// requests.
#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE controller_calls
#include <boost/test/unit_test.hpp>

#include "scripted_peers.hpp"
#include "program.hpp"

namespace gannethold::cluster {
namespace {

std::string configuration(int version) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string put(const std::string& body) {
    return "PUT /v1/configuration HTTP/1.1\r\nHost: core\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

const std::string kGet = "GET /v1/configuration HTTP/1.1\r\nHost: core\r\n\r\n";

struct Core {
    Core() : control(free_port()), program(CONTROLLER, settings()) {
        // The single member is the leader after its first election.
        BOOST_REQUIRE(until([this] { return call(put(configuration(1))).starts_with("HTTP/1.1 200"); }));
    }
    std::string settings() const {
        const std::string port = std::to_string(free_port());
        const std::string control_plane = "127.0.0.1:" + std::to_string(control);
        return "node_name=core\nip_address=127.0.0.1\nzone=z0\ninternal_port_range=" + port + "," + port +
               "\nseed_addresses=" + control_plane +
               "\ninitial_start=true\nplatform_api.address=127.0.0.1:1\n" +
               "limits.memory_mb=256\nlimits.file_descriptors=1024\nlisten_addresses.control_plane=" +
               control_plane + "\n";
    }
    bool until(const std::function<bool()>& condition) { return run_loop_until(loop, condition); }
    // Sends a request on a new connection and returns the response; empty if the port is not open yet.
    std::string call(const std::string& request) {
        std::optional<ScriptedConnection> connection = ScriptedConnection::try_connect(control);
        if (!connection) return {};
        connection->send(request);
        until([&] { return connection->has_received("}") || connection->closed; });
        return connection->received;
    }

    net::Loop loop{64};
    std::uint16_t control;
    Program program;
};

BOOST_AUTO_TEST_CASE(a_change_whose_response_was_lost_is_acknowledged_when_it_is_repeated) {
    Core core;
    for (int version = 2; version < 12; ++version) {
        // The connection is reset after the whole request or a part of it has been sent. Whether or not the
        // change was committed, it may be repeated.
        ScriptedConnection lost = ScriptedConnection::connect_to(core.control);
        const std::string request = put(configuration(version));
        lost.send(request.substr(0, version % 2 == 0 ? request.size() : request.size() / 2));
        lost.reset();
        BOOST_TEST(core.call(put(configuration(version))).starts_with("HTTP/1.1 200"));
        BOOST_TEST(core.call(put(configuration(version))).starts_with("HTTP/1.1 200"));
        BOOST_TEST(core.call(kGet).ends_with(configuration(version)));
    }
}

BOOST_AUTO_TEST_CASE(an_older_version_is_acknowledged_and_changes_nothing) {
    Core core;
    BOOST_TEST(core.call(put(configuration(7))).starts_with("HTTP/1.1 200"));
    BOOST_TEST(core.call(put(configuration(3))).starts_with("HTTP/1.1 200"));
    BOOST_TEST(core.call(kGet).ends_with(configuration(7)));
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order_on_their_connection) {
    Core core;
    ScriptedConnection connection = ScriptedConnection::connect_to(core.control);
    connection.send(put(configuration(5)) + kGet + put("{") + kGet);
    BOOST_REQUIRE(
        core.until([&] { return count_occurrences(connection.receive().received, "HTTP/1.1 ") == 4; }));
    BOOST_REQUIRE(
        core.until([&] { return count_occurrences(connection.receive().received, configuration(5)) == 2; }));
    const std::size_t acknowledged = connection.received.find("HTTP/1.1 200");
    const std::size_t read = connection.received.find(configuration(5));
    const std::size_t rejected = connection.received.find("HTTP/1.1 4");
    const std::size_t read_again = connection.received.rfind(configuration(5));
    BOOST_TEST(acknowledged < read);
    BOOST_TEST(read < rejected);
    BOOST_TEST(rejected < read_again);
}

// Guards against a signal that kills the process during its start, or is lost.
BOOST_AUTO_TEST_CASE(a_signal_during_the_start_is_handled) {
    const std::string port = std::to_string(free_port());
    const std::string control_plane = "127.0.0.1:" + std::to_string(free_port());
    Program program(
        CONTROLLER,
        "node_name=core\nip_address=127.0.0.1\nzone=z0\ninternal_port_range=" + port + "," + port +
            "\nseed_addresses=" + control_plane + "\ninitial_start=true\n" +
            "platform_api.address=127.0.0.1:1\nlimits.memory_mb=256\nlimits.file_descriptors=1024\n" +
            "listen_addresses.control_plane=" + control_plane + "\n",
        SIGTERM);
    net::Loop loop{64};
    BOOST_REQUIRE(run_loop_until(loop, [&] { return program.exit_status().has_value(); }));
    BOOST_TEST(program.exit_status().value() == 0);
}

// Guards against processes that hang at exit while a library joins its threads. One thread is the main
// thread; the other is LevelDB's compaction thread, which is started by the first compaction and never
// joined.
BOOST_AUTO_TEST_CASE(a_controller_has_at_most_two_threads) {
    Core core;
    BOOST_TEST(core.program.thread_count() <= 2);
}

BOOST_AUTO_TEST_CASE(a_controller_exits_on_sigterm) {
    for (int run = 0; run < 5; ++run) {
        Core core;
        core.program.send_signal(SIGTERM);
        BOOST_REQUIRE(core.until([&] { return core.program.exit_status().has_value(); }));
        BOOST_TEST(core.program.exit_status().value() == 0);
    }
}

}  // namespace
}  // namespace gannethold::cluster
