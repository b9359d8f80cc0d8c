// The proxy as a process, between a scripted controller, a scripted runner and scripted clients: whatever the
// runner's connection does, each request is answered once, to its client, and one that may not be repeated is
// sent once.
#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE proxy_calls
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <vector>

#include "cluster/configuration/delta.hpp"
#include "cluster/transport/message_connection.hpp"
#include "net/listener.hpp"
#include "peers.hpp"
#include "program.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::uint32_t kRunnerNumber = 1;
constexpr char kRunnerName[] = "i-1";
constexpr char kConfiguration[] =
    R"({"version":1,"routes":[)"
    R"({"name":"once","host":"h","path_prefix":"/once/","route_kind":"non_idempotent","timeout_ms":1500,)"
    R"("target_latency_ms":300,"priority":1,"service":"f","max_attempts":3},)"
    R"({"name":"again","host":"h","path_prefix":"/again/","route_kind":"idempotent","timeout_ms":1500,)"
    R"("target_latency_ms":300,"priority":1,"service":"f","max_attempts":2}],)"
    R"("services":[{"name":"f","connection_limit":20,"memory_mb":128,"boot_duration_ms":600,"max_concurrency":8}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// The proxy, and all that it talks with in the hands of the test.
class Fleet {
  public:
    Fleet()
        : frontend_(free_port()),
          listener_(
              loop, net::Door(*net::Address::read("127.0.0.1:" + std::to_string(free_port()))),
              [this](evutil_socket_t socket) { accepted(socket); }, [] {}) {
        proxy_.emplace(PROXY, settings());
        BOOST_REQUIRE(until([this] { return held_; }));
    }

    bool until(const std::function<bool()>& holds) { return turn_until(loop, holds); }
    void pass(Micros span) {
        until([end = net::Loop::now() + span] { return net::Loop::now() > end; });
    }
    Wire client(const std::string& words) const {
        Wire wire = Wire::to(frontend_);
        wire.say(words);
        return wire;
    }
    static std::string ask(const std::string& path, const std::string& id, const std::string& method = "POST",
                           const std::string& body = {}) {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
               "\r\nX-Deadline-Remaining: 1500\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    static std::string answer(const std::string& id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
               "\r\nX-Runner-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    // The runner's connection on which that request came last, and how often it came over all of them.
    Wire& at_runner(const std::string& id, std::size_t times = 1) {
        BOOST_REQUIRE(until([&] { return arrivals(id) >= times; }));
        Wire* found = nullptr;
        for (Wire& wire : runner.guests())
            if (wire.has("X-Attempt-Id: " + id + "\r\n")) found = &wire;
        return *found;
    }
    std::size_t arrivals(const std::string& id) {
        std::size_t times = 0;
        for (Wire& wire : runner.guests()) times += count(wire.look().got, "X-Attempt-Id: " + id + "\r\n");
        return times;
    }
    // The whole answer that a client got, once it has come.
    std::string answer_of(Wire& client, const std::string& status) {
        BOOST_TEST(until([&] { return client.has("HTTP/1.1 " + status); }), client.got);
        pass(20'000);
        BOOST_TEST(count(client.look().got, "HTTP/1.1 ") == 1U, client.got);
        return client.got;
    }
    long resident_kb() const { return proxy_->resident_kb(); }

    net::Loop loop{8192};
    Door runner;
    bool grants = true;
    std::size_t asked = 0, withdrawn = 0;

  private:
    std::string settings() const {
        const std::string port = std::to_string(listener_.port());
        return "node_name=front\nip_address=127.0.0.1\nzone=z0\ninternal_port_range=" + port + "," + port +
               "\nseed_addresses=127.0.0.1:1\nplatform_api.address=127.0.0.1:1\nlimits.memory_mb=256\n"
               "limits.file_descriptors=1024\nlisten_addresses.frontend=127.0.0.1:" +
               std::to_string(frontend_) +
               "\nlisten_addresses.readiness=127.0.0.1:" + std::to_string(free_port()) + "\n";
    }

    void accepted(evutil_socket_t socket) {
        MessageConnection::Events events;
        events.message_received = [this](const ReceivedMessage& received) { got(received.message); };
        events.ended = [] {};
        lines_.push_back(std::make_unique<MessageConnection>(loop, socket, std::move(events)));
    }

    void got(const Message& message) {
        MessageConnection& line = *lines_.back();
        if (std::holds_alternative<Heartbeat>(message)) line.send(Heartbeat{});
        if (std::holds_alternative<RegisterRequest>(message)) {
            line.send(RegisterResponse{1, 0, 1, {}});
            line.send(ConfigurationUpdate{1, {0, make_delta({}, kConfiguration)}});
            line.send(RunnerUpdate{kRunnerNumber,
                                   RunnerState::ready,
                                   {kRunnerName, "f", runner.address(), "z0", "w", 8, 0, true},
                                   false});
        }
        if (const auto* held = std::get_if<ConfigurationAck>(&message)) held_ = held->version == 1;
        if (const auto* ask = std::get_if<AcquireRequest>(&message)) {
            ++asked;
            if (grants) line.send(AcquireGranted{ask->id, kRunnerNumber});
        }
        if (const auto* release = std::get_if<Release>(&message)) withdrawn += release->runner == 0;
    }

    std::uint16_t frontend_;
    net::Listener listener_;
    std::vector<std::unique_ptr<MessageConnection>> lines_;
    bool held_ = false;
    std::optional<Program> proxy_;
};

BOOST_AUTO_TEST_CASE(what_may_not_be_repeated_is_sent_once_whatever_its_connection_does) {
    Fleet fleet;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Runner-Seal: s\r\nX-Attempt-Id: ";
    const std::vector<std::function<void(Wire&, const std::string&)>> ends = {
        [](Wire& wire, const std::string&) { wire.reset(); },
        [](Wire& wire, const std::string&) { wire.hang_up(); },
        [](Wire& wire, const std::string&) { wire.half_close(); },
        [](Wire& wire, const std::string&) { wire.say("SSH-2.0\r\n\r\n"); },
        [&](Wire& wire, const std::string& id) {
            wire.say(head + id + "\r\nContent-Length: 9\r\n\r\npart");
            wire.reset();
        },
        [&](Wire& wire, const std::string& id) {
            wire.say(head + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
            wire.hang_up();
        },
        [&](Wire& wire, const std::string& id) {
            wire.say(head + id + "\r\n\r\npart");
            wire.hang_up();
        },
        [&](Wire& wire, const std::string&) {
            wire.say("HTTP/1.1 200 OK\r\nX-Runner-Seal: s\r\nContent-Length: 4\r\n\r\npart");
        },
        [&](Wire& wire, const std::string&) {
            wire.say(Fleet::answer("another", "x"));
            wire.hang_up();
        },
        [&](Wire& wire, const std::string& id) {
            wire.say("HTTP/1.1 503 x\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        }};
    for (std::size_t n = 0; n < ends.size(); ++n) BOOST_TEST_CONTEXT("end " << n) {
            const std::string id = "once-" + std::to_string(n);
            Wire client = fleet.client(Fleet::ask("/once/x", id));
            ends[n](fleet.at_runner(id), id);
            const std::string got = fleet.answer_of(client, "502");
            BOOST_TEST(got.find("part") == std::string::npos);
            BOOST_TEST(fleet.arrivals(id) == 1U);
        }
}

BOOST_AUTO_TEST_CASE(what_the_runner_did_not_run_is_offered_again_and_then_refused) {
    Fleet fleet;
    Wire client = fleet.client(Fleet::ask("/once/x", "full"));
    for (std::size_t n = 1; n <= 3; ++n) {
        // Each sending to the one address has its own connection: an answer too many would bear its id.
        Wire& wire = fleet.at_runner("full", n);
        BOOST_TEST(count(wire.got, "X-Attempt-Id: full") == 1U);
        const std::string not_run =
            "HTTP/1.1 503 x\r\nX-Attempt-Id: full\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        wire.say(not_run);
        fleet.pass(20'000);
        wire.say(not_run);
    }
    fleet.answer_of(client, "503");
    BOOST_TEST(fleet.arrivals("full") == 3U);
}

BOOST_AUTO_TEST_CASE(a_late_or_extra_answer_reaches_nobody) {
    Fleet fleet;
    // One whose time is over: its answer comes when nobody waits for it.
    Wire slow = fleet.client(Fleet::ask("/once/x", "slow"));
    Wire& late = fleet.at_runner("slow");
    fleet.answer_of(slow, "504");
    late.say(Fleet::answer("slow", "late"));
    Wire first = fleet.client(Fleet::ask("/again/x", "first"));
    Wire& wire = fleet.at_runner("first");
    wire.say(Fleet::answer("first", "of first"));
    BOOST_TEST(fleet.answer_of(first, "200").ends_with("of first"));
    // An answer too many, where the next one is due.
    Wire second = fleet.client(Fleet::ask("/again/x", "second"));
    BOOST_TEST(&fleet.at_runner("second") == &wire);
    wire.say(Fleet::answer("first", "extra") + Fleet::answer("second", "of second"));
    BOOST_TEST(fleet.answer_of(second, "200").ends_with("of second"));
    BOOST_TEST(fleet.arrivals("slow") == 1U);
}

BOOST_AUTO_TEST_CASE(clients_that_left_leave_nothing_behind) {
    constexpr std::size_t kMany = 300;
    constexpr std::size_t kBody = 200'000;
    Fleet fleet;
    fleet.grants = false;
    const auto leave = [&](std::size_t times) {
        for (std::size_t n = 0; n < times; ++n) {
            const std::size_t asked = fleet.asked, withdrawn = fleet.withdrawn;
            const std::string words = Fleet::ask("/once/x", "left", "POST", std::string(kBody, 'x'));
            Wire client = fleet.client({});
            std::size_t said = 0;
            BOOST_REQUIRE(fleet.until([&] {
                said += client.say(std::string_view(words).substr(said));
                return fleet.asked > asked;
            }));
            client.reset();
            BOOST_REQUIRE(fleet.until([&] { return fleet.withdrawn > withdrawn; }));
        }
    };
    leave(20);
    const long before = fleet.resident_kb();
    leave(kMany);
    BOOST_TEST(fleet.resident_kb() - before < static_cast<long>(kMany * kBody / 1024 / 4));
}

}  // namespace
}  // namespace gannethold::cluster
