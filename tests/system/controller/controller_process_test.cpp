// The controller as a process, alone in its core, and operators on sockets: a change that got no answer may
// be sent again unchanged, and each answer belongs to the call before it.
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
        // A majority of one leads after its first election.
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
    // What a new connection is answered; empty where nobody listens yet.
    std::string call(const std::string& words) {
        std::optional<ScriptedConnection> wire = ScriptedConnection::try_connect(control);
        if (!wire) return {};
        wire->send(words);
        until([&] { return wire->has_received("}") || wire->closed; });
        return wire->received;
    }

    net::Loop loop{64};
    std::uint16_t control;
    Program program;
};

BOOST_AUTO_TEST_CASE(a_change_whose_answer_was_lost_is_acknowledged_when_it_comes_again) {
    Core core;
    for (int version = 2; version < 12; ++version) {
        // Reset as soon as it is written, or once a part of it is: taken or not, the same may come again.
        ScriptedConnection lost = ScriptedConnection::connect_to(core.control);
        const std::string words = put(configuration(version));
        lost.send(words.substr(0, version % 2 == 0 ? words.size() : words.size() / 2));
        lost.reset();
        BOOST_TEST(core.call(put(configuration(version))).starts_with("HTTP/1.1 200"));
        BOOST_TEST(core.call(put(configuration(version))).starts_with("HTTP/1.1 200"));
        BOOST_TEST(core.call(kGet).ends_with(configuration(version)));
    }
}

BOOST_AUTO_TEST_CASE(an_older_change_that_comes_once_more_alters_nothing) {
    Core core;
    BOOST_TEST(core.call(put(configuration(7))).starts_with("HTTP/1.1 200"));
    BOOST_TEST(core.call(put(configuration(3))).starts_with("HTTP/1.1 200"));
    BOOST_TEST(core.call(kGet).ends_with(configuration(7)));
}

BOOST_AUTO_TEST_CASE(calls_sent_ahead_are_answered_in_their_order_on_their_connection) {
    Core core;
    ScriptedConnection wire = ScriptedConnection::connect_to(core.control);
    wire.send(put(configuration(5)) + kGet + put("{") + kGet);
    BOOST_REQUIRE(core.until([&] { return count_occurrences(wire.receive().received, "HTTP/1.1 ") == 4; }));
    BOOST_REQUIRE(
        core.until([&] { return count_occurrences(wire.receive().received, configuration(5)) == 2; }));
    const std::size_t acknowledged = wire.received.find("HTTP/1.1 200");
    const std::size_t read = wire.received.find(configuration(5));
    const std::size_t refused = wire.received.find("HTTP/1.1 4");
    const std::size_t again = wire.received.rfind(configuration(5));
    BOOST_TEST(acknowledged < read);
    BOOST_TEST(read < refused);
    BOOST_TEST(refused < again);
}

// Guards against a signal during the start that ends the process, or is lost.
BOOST_AUTO_TEST_CASE(a_signal_that_comes_during_the_start_is_handled) {
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

// Guards against processes that hang at their end while a library joins its threads. One is the program's,
// the other LevelDB's for compactions, which is started with the first of them and never joined.
BOOST_AUTO_TEST_CASE(a_controller_has_two_threads_at_most) {
    Core core;
    BOOST_TEST(core.program.thread_count() <= 2);
}

BOOST_AUTO_TEST_CASE(a_controller_ends_by_itself_on_sigterm) {
    for (int run = 0; run < 5; ++run) {
        Core core;
        core.program.send_signal(SIGTERM);
        BOOST_REQUIRE(core.until([&] { return core.program.exit_status().has_value(); }));
        BOOST_TEST(core.program.exit_status().value() == 0);
    }
}

}  // namespace
}  // namespace gannethold::cluster
