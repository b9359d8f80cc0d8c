// Test fixtures: a host for the Balancer with a virtual clock and a record of all actions, and a dispatcher
// with scripted clients, runners and discovery on loopback sockets, all in the test's own process.
#pragma once

#include <doctest/doctest.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <utility>

#include "balancer.hpp"
#include "dispatcher/dispatcher.hpp"

namespace gannethold {

inline SettingsMap plain_orders() {
    SettingsMap orders{{"workloads.count", "3"},
                       {"workloads.0.effect", "idempotent"},
                       {"workloads.1.effect", "fingerprinted"},
                       {"workloads.2.effect", "side-effecting"},
                       {"workloads.1.group", "cell"},
                       {"workloads.1.window_us", "4000000"},
                       {"workloads.0.importance", "1"},
                       {"workloads.1.importance", "9"},
                       {"rules.fall_multiple", "400"},
                       {"caps.max_assignments", "4"},
                       {"caps.cancelling", "true"},
                       {"reports.names", "free_slots,waiting,held"}};
    for (const std::string workload : {"workloads.0.", "workloads.1.", "workloads.2."})
        orders[workload + "due_time_us"] = "1000000", orders[workload + "expiry_us"] = "5000000";
    return orders;
}

struct FakeHost {
    explicit FakeHost(SettingsMap orders = plain_orders(), std::uint64_t seed = 1) : balancer(orders, seed) {}

    Balancer balancer;
    Micros now = 10'000'000;
    std::vector<Action> all;
    std::vector<Assign> assigned;
    std::map<TaskId, int> answers;
    std::multiset<Micros> wakes;

    void tell(const Event& event) {
        std::vector<Action> out;
        balancer.apply(now, event);
        balancer.collect_actions(now, out);
        for (const Action& a : out) {
            if (const auto* w = std::get_if<WakeAt>(&a)) wakes.insert(w->at);
            if (const auto* b = std::get_if<Bounce>(&a)) ++answers[b->task];
            if (const auto* b = std::get_if<Abandon>(&a)) ++answers[b->task];
            if (const auto* s = std::get_if<Assign>(&a)) {
                CHECK(answers.count(s->task) == 0);
                assigned.push_back(*s);
            }
        }
        all.insert(all.end(), out.begin(), out.end());
    }
    void pass(Micros span) {
        const Micros until = now + span;
        while (!wakes.empty() && *wakes.begin() <= until) {
            now = std::max(now, *wakes.begin());
            wakes.erase(wakes.begin());
            tell(TimerFired{});
        }
        now = until;
    }

    static EndpointEntry entry(unsigned id, RunnerState state = RunnerState::ready, unsigned group = 0) {
        return {.runner = RunnerId{id}, .group = GroupId{group}, .state = state};
    }
    void fleet(std::vector<EndpointEntry> entries, UpdateScope scope = UpdateScope::complete) {
        tell(MembershipUpdate{scope, 1, std::move(entries)});
    }
    static std::vector<EndpointEntry> entries(unsigned n) {
        std::vector<EndpointEntry> all;
        for (unsigned id = 1; id <= n; ++id) all.push_back(entry(id));
        return all;
    }
    void fleet(unsigned n, double slots) {
        fleet(entries(n));
        for (unsigned id = 1; id <= n; ++id) report(id, slots, 0);
    }
    void report(unsigned id, double free, double held) {
        tell(ProbeEnded{RunnerId{id}, Outcome::finished, 1000, {free, 0, held}});
    }
    TaskId ask(unsigned workload = 0, unsigned customer = 0) {
        TaskArrived a;
        a.task = TaskId{++asked};
        a.workload = WorkloadId{workload};
        a.customer = CustomerId{customer};
        a.expiry = now + 5'000'000;
        tell(a);
        return a.task;
    }
    // Ends the last assignment, or the one that is `back` before it.
    void end(Outcome outcome, Micros elapsed = 300'000, int back = 0, Report report = {}) {
        const Assign& s = assigned[assigned.size() - 1 - static_cast<std::size_t>(back)];
        int number = -1;
        for (const Assign& each : assigned) {
            number += each.task == s.task;
            if (&each == &s) break;
        }
        AssignmentEnded e{s.task, outcome == Outcome::finished, 0, elapsed, s.runner, number, outcome,
                          report};
        tell(e);
    }
    template <class A>
    int count() const {
        int n = 0;
        for (const Action& a : all) n += std::holds_alternative<A>(a);
        return n;
    }
    unsigned long long asked = 0;
};

// One end of a connection, driven by the test.
class TestConnection {
  public:
    explicit TestConnection(int socket) : socket_(socket) {
        const int yes = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        fcntl(socket_, F_SETFL, O_NONBLOCK);
    }
    static TestConnection to(std::uint16_t port) {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET, at.sin_port = htons(port), at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        return TestConnection(socket);
    }
    static TestConnection to_path(const std::string& path) {
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        std::copy(path.begin(), path.end(), at.sun_path);
        const int socket = ::socket(AF_UNIX, SOCK_STREAM, 0);
        REQUIRE(connect(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        return TestConnection(socket);
    }
    TestConnection(TestConnection&& other) noexcept
        : got(std::move(other.got)), socket_(std::exchange(other.socket_, -1)) {}
    ~TestConnection() { hang_up(); }

    void send(std::string_view text) const {
        while (!text.empty()) {
            const auto n = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
            if (n <= 0) return;
            text.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    void hang_up() {
        if (socket_ >= 0) close(std::exchange(socket_, -1));
    }
    void reset() {
        const linger now{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        hang_up();
    }
    // Appends all received bytes to `got`, and sets `closed` once the other side has closed the connection.
    TestConnection& look() {
        char space[65536];
        for (ssize_t n; socket_ >= 0 && (n = recv(socket_, space, sizeof space, 0)) >= 0;) {
            if (n == 0) closed = true;
            if (n == 0) break;
            got.append(space, static_cast<std::size_t>(n));
        }
        if (socket_ >= 0 && errno == ECONNRESET) closed = true;
        return *this;
    }
    bool has(const std::string& text) { return look().got.find(text) != std::string::npos; }
    bool ended() { return look().closed; }

    std::string got;
    bool closed = false;

  private:
    int socket_;
};

// A listening socket of a scripted peer.
class TestListener {
  public:
    explicit TestListener(int backlog = 16) : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in at{};
        socklen_t length = sizeof at;
        at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &length);
        port = ntohs(at.sin_port);
        if (backlog >= 0) REQUIRE(listen(socket_, backlog) == 0);
    }
    ~TestListener() { shut(); }
    void shut() {
        if (socket_ >= 0) close(std::exchange(socket_, -1));
        for (const int one : std::exchange(waiting_, {})) close(one);
    }
    // Fills the backlog, so that a connect neither succeeds nor is refused.
    void stick() {
        REQUIRE(listen(socket_, 0) == 0);
        for (int i = 0; i < 4; ++i) {
            sockaddr_in at{};
            at.sin_family = AF_INET, at.sin_port = htons(port), at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            waiting_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            connect(waiting_.back(), reinterpret_cast<sockaddr*>(&at), sizeof at);
        }
    }
    // The accepted connections, oldest first.
    std::deque<TestConnection>& connections() {
        for (int one; socket_ >= 0 && (one = accept(socket_, nullptr, nullptr)) >= 0;)
            connections_.emplace_back(one);
        return connections_;
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    std::uint16_t port = 0;

  private:
    int socket_;
    std::vector<int> waiting_;
    std::deque<TestConnection> connections_;  // tests keep references
};

// A dispatcher whose runners and discovery are scripted by the test.
struct DispatcherFixture {
    explicit DispatcherFixture(int runners = 1, const std::string& workload = "pure",
                               const std::string& caps = "",
                               const std::string& limits = "\"memory_mb\":64,\"sockets\":64",
                               const std::string& how = "on_request", const std::string& expiry = "900000",
                               const dispatcher::DispatcherOptions& options = {},
                               const std::string& beside = "") {
        for (int i = 0; i < runners; ++i) runner_listeners.push_back(std::make_unique<TestListener>());
        text =
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(TestListener(-1).port) + "\"," +
            beside + "\"discovery\":\"" + discovery.address() + "\",\"seed\":\"2a\",\"limits\":{" + limits +
            "},\"known\":" + list(7, "SERVING", true) +
            ",\"settings\":{\"balancers\":1,\"registry_mode\":\"" + how +
            "\",\"resolution_us\":1000,"
            "\"reporting\":{\"names\":[\"x0\",\"q\",\"rif\"]},\"specifics\":{\"report_x0\":\"free slots\"},"
            "\"caps\":{\"cancelling\":true,\"connect_timeout_us\":150000,\"keepalive_us\":600000,"
            "\"max_assignments\":3,\"retry_after\":true,\"max_retry_after_us\":1500000" +
            caps + "},\"rules\":{\"fall_multiple\":400},\"workloads\":[{\"name\":\"render\",\"effect\":\"" +
            workload + "\",\"due_time_us\":600000,\"expiry_us\":" + expiry + ",\"importance\":1}]}}";
        dispatcher = std::make_unique<dispatcher::Dispatcher>(loop, dispatcher::DispatcherConfig::read(text),
                                                              log, options);
        dispatcher->end_turn();
    }
    std::string list(int version, const std::string& state, bool full, long long started = 0) const {
        std::string text = "{\"version\":" + std::to_string(version) +
                           ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
        for (const auto& listener : runner_listeners)
            text += (listener == runner_listeners.front() ? "" : ",") +
                    ("{\"id\":\"s-" + std::to_string(&listener - &runner_listeners[0])) + "\",\"addr\":\"" +
                    listener->address() + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"" + state +
                    "\",\"weight\":1.0,\"started_ms\":" + std::to_string(started) + "}";
        return text + "]}";
    }
    void turn() {
        loop.run_once(false);
        dispatcher->end_turn();
    }
    // Runs the event loop until the condition holds. Returns false if it does not within the time.
    bool until(const std::function<bool()>& holds, int milliseconds = 3000) {
        for (const Micros end = net::Loop::now() + milliseconds * 1000; net::Loop::now() < end; usleep(200)) {
            turn();
            if (holds()) return true;
        }
        return false;
    }
    void pass(int milliseconds) {
        until([] { return false; }, milliseconds);
    }

    // The configuration of an admin address.
    static std::string with_admin_server() {
        return "\"admin\":\"127.0.0.1:" + std::to_string(TestListener(-1).port) + "\",";
    }
    TestConnection caller(const std::string& words = "") const {
        TestConnection wire = TestConnection::to(dispatcher->admin_port());
        wire.send(words);
        return wire;
    }
    // Sends an admin request, and returns the complete response.
    std::string call(const std::string& method, const std::string& path) {
        TestConnection wire =
            caller(method + " " + path + " HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n");
        until([&] { return wire.ended(); }, 1000);
        return wire.got;
    }
    TestConnection client() const { return TestConnection::to(dispatcher->port()); }
    static std::string post(const std::string& id, const std::string& more = "X-Timeout: 900m\r\n",
                            const std::string& body = "scene") {
        return "POST /render/key HTTP/1.1\r\nHost: app\r\nX-Request-ID: " + id + "\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    // Waits until a runner has received the request, and returns the connection.
    TestConnection& at_runner(const std::string& id) {
        TestConnection* found = nullptr;
        const auto there = [&] {
            for (const auto& listener : runner_listeners)
                for (TestConnection& wire : listener->connections())
                    if (wire.has("X-Request-ID: " + id + "\r\n")) found = &wire;
            return found != nullptr;
        };
        REQUIRE(until(there));
        return *found;
    }
    static std::string chunk(const std::string& text) {
        std::ostringstream out;
        out << std::hex << text.size() << "\r\n" << text << "\r\n";
        return out.str();
    }
    static std::string line(const std::string& id, const std::string& rest) {
        return chunk("{\"id\":\"" + id + "\",\"from\":\"s-0\"," + rest + "}\n");
    }
    static inline const std::string taken = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static std::string done(const std::string& id, const std::string& result = "picture") {
        return taken + line(id, "\"state\":\"done\",\"result\":\"" + result + "\"") + "0\r\n\r\n";
    }

    // Reloads a configuration file with this text; if the text is empty, the file does not exist.
    void reload(const std::string& words) {
        const std::string path = "reload-" + std::to_string(getpid()) + ".json";
        if (!words.empty()) std::ofstream(path) << words;
        dispatcher->reload(path);
        std::remove(path.c_str());
        dispatcher->end_turn();
    }
    std::string with(const std::string& old_words, const std::string& new_words) const {
        std::string other = text;
        return other.replace(other.find(old_words), old_words.size(), new_words);
    }

    std::string text;  // of the configuration
    std::ostringstream said;
    log::Log log{said, log::Level::debug};
    net::Loop loop{4096};
    TestListener discovery;
    std::vector<std::unique_ptr<TestListener>> runner_listeners;
    std::unique_ptr<dispatcher::Dispatcher> dispatcher;
};

}  // namespace gannethold
