// Upgrades: an old and a new dispatcher on one listening socket that neither of them owns.
#include <sys/stat.h>

#include "handover/messages.hpp"
#include "helpers.hpp"

using namespace gannethold;

namespace {

// Acts as the platform: holds the clients' listening socket, and starts an old and a new dispatcher that
// inherit it.
struct Platform {
    Platform() {
        fixture = std::make_unique<DispatcherFixture>(4, "pure", "", "\"memory_mb\":64,\"sockets\":96",
                                                      "on_request", "3000000");
    }
    std::unique_ptr<dispatcher::Dispatcher> start(const std::string& text) {
        dispatcher::DispatcherConfig config = dispatcher::DispatcherConfig::read(text);
        config.inherited_listener = dup(socket);
        config.handover_folder = folder;
        auto dispatcher = std::make_unique<dispatcher::Dispatcher>(fixture->loop, config, fixture->log);
        dispatcher->end_turn();
        return dispatcher;
    }
    void open_socket() {
        socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        socklen_t length = sizeof at;
        at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(listen(socket, 64) == 0);
        getsockname(socket, reinterpret_cast<sockaddr*>(&at), &length);
        port = ntohs(at.sin_port);
    }
    bool until(const std::function<bool()>& condition, int milliseconds = 3000) {
        return fixture->until(
            [&] {
                if (old_dispatcher) old_dispatcher->end_turn();
                if (new_dispatcher) new_dispatcher->end_turn();
                return condition();
            },
            milliseconds);
    }
    TestConnection& at_runner(const std::string& id) {
        TestConnection* at = nullptr;
        REQUIRE(until([&] {
            for (const auto& listener : fixture->runner_listeners)
                for (TestConnection& connection : listener->connections())
                    if (connection.has("X-Request-ID: " + id + "\r\n")) at = &connection;
            return at != nullptr;
        }));
        return *at;
    }
    ~Platform() {
        old_dispatcher.reset(), new_dispatcher.reset();
        if (!folder.empty()) unlink(path().c_str()), unlink((path() + ".new").c_str()), rmdir(folder.c_str());
        if (socket >= 0) close(socket);
    }

    // Creates the folder that both dispatchers share, as $TMPDIR is.
    void make_shared_folder() {
        char name[] = "upgrade-XXXXXX";
        REQUIRE(mkdtemp(name));
        folder = name;
    }
    std::string path() const { return folder + "/gannethold-n0"; }
    bool said(const std::string& text) const { return fixture->said.str().find(text) != std::string::npos; }
    bool is_healthy() {
        TestConnection client = TestConnection::to(port);
        client.send("GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n");
        until([&] { return client.has("\r\n\r\n"); }, 500);
        return client.got.starts_with("HTTP/1.1 200");
    }

    std::unique_ptr<DispatcherFixture> fixture;
    std::string folder;
    int socket = -1;
    std::uint16_t port = 0;
    std::unique_ptr<dispatcher::Dispatcher> old_dispatcher, new_dispatcher;
};

}  // namespace

TEST_CASE("an inherited descriptor that is no listening socket is refused") {
    Platform platform;
    platform.open_socket();
    dispatcher::DispatcherConfig config = dispatcher::DispatcherConfig::read(platform.fixture->text);
    config.inherited_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK_THROWS_WITH(dispatcher::Dispatcher(platform.fixture->loop, config, platform.fixture->log),
                      doctest::Contains("is no listening socket"));
    close(*config.inherited_listener);
}

TEST_CASE(
    "in an upgrade the old dispatcher accepts no more, answers its tasks, and the new one takes the accept "
    "queue") {
    Platform platform;
    platform.open_socket();
    platform.old_dispatcher = platform.start(platform.fixture->text);
    TestConnection kept_client = TestConnection::to(platform.port),
                   busy_client = TestConnection::to(platform.port);
    kept_client.send(DispatcherFixture::post("k"));
    busy_client.send(DispatcherFixture::post("b", "X-Timeout: 3000m\r\n"));
    TestConnection& runner = platform.at_runner("b");
    platform.at_runner("k").send(DispatcherFixture::done("k"));
    REQUIRE(platform.until([&] { return kept_client.has("picture"); }));
    platform.new_dispatcher = platform.start(platform.fixture->text);
    platform.old_dispatcher->shut_down();
    std::vector<TestConnection> queued;
    for (int i = 0; i < 3; ++i) {
        queued.push_back(TestConnection::to(platform.port));
        queued.back().send(DispatcherFixture::post("q" + std::to_string(i)));
    }
    for (int i = 0; i < 3; ++i) {
        const std::string id = "q" + std::to_string(i);
        platform.at_runner(id).send(DispatcherFixture::done(id));
        CHECK(platform.until([&] { return queued[static_cast<std::size_t>(i)].has("picture"); }));
        CHECK_FALSE(queued[static_cast<std::size_t>(i)].ended());  // kept open by the new dispatcher
    }
    CHECK(platform.new_dispatcher->counters().answers_by_workload().at("render").finished == 3);
    // A kept idle connection is closed, so that its client reconnects to the new dispatcher.
    CHECK(platform.until([&] { return kept_client.ended(); }, 1000));
    CHECK_FALSE(platform.fixture->loop.is_stopping());
    runner.send(DispatcherFixture::done("b", "old"));
    CHECK(platform.until([&] { return busy_client.has("old") && busy_client.ended(); }));
    CHECK(platform.until([&] { return platform.fixture->loop.is_stopping(); }, 500));
}

TEST_CASE("a new dispatcher that dies before it serves does not affect the old one") {
    Platform platform;
    platform.open_socket();
    platform.old_dispatcher = platform.start(platform.fixture->text);
    platform.new_dispatcher = platform.start(platform.fixture->text);
    platform.new_dispatcher.reset();
    TestConnection client = TestConnection::to(platform.port);
    client.send(DispatcherFixture::post("c"));
    platform.at_runner("c").send(DispatcherFixture::done("c"));
    CHECK(platform.until([&] { return client.has("picture"); }));
}

TEST_CASE(
    "handover messages are read at any split, unknown kinds are skipped, and malformed bytes end the "
    "stream") {
    using namespace handover;
    const std::string all = encode(Message{MessageKind::list, "a\nb"}) + "rumours 3\nxyz" +
                            encode(Message{MessageKind::done, ""});
    for (std::size_t at = 0; at <= all.size(); ++at) {
        MessageReader reader;
        std::vector<Message> text;
        for (const std::string& part : {all.substr(0, at), all.substr(at)}) {
            REQUIRE(reader.feed(part));
            while (auto word = reader.next()) text.push_back(*word);
        }
        REQUIRE(text.size() == 2);
        CHECK(text[0].body == "a\nb");
        CHECK(text[1].kind == MessageKind::done);
    }
    for (const std::string& foreign : std::vector<std::string>{
             "HTTP/1.1 200 OK\r\n\r\n", "list -1\n", "list 99999999999\n", "\n", std::string(60, 'x')}) {
        MessageReader reader;
        reader.feed(foreign);
        CHECK_FALSE(reader.next());
        CHECK_FALSE(reader.feed("more"));
    }
    const RunnerConditions conditions =
        decode_runner_conditions(encode(RunnerConditions{{"s-0", {5, -1}}, {"s-1", {0, 7}}}));
    CHECK(conditions.at("s-0").ejected_for == 5);
    CHECK(conditions.at("s-0").warming_for == -1);
    CHECK(conditions.at("s-1").warming_for == 7);
    CHECK(decode_runner_conditions("{\"s\":{\"aside_us\":-3,\"cold_us\":1e300}}").at("s").ejected_for == 0);
    CHECK(decode_runner_conditions("[").empty());
    CHECK_FALSE(decode_greeting("{\"v\":1}"));
}

TEST_CASE("with discovery silent, the new dispatcher keeps a drain that only the old one received") {
    Platform platform;
    platform.open_socket();
    platform.make_shared_folder();
    platform.old_dispatcher = platform.start(platform.fixture->text);
    TestListener& discovery = platform.fixture->discovery;
    // The watches of the fixture's own dispatcher and of the old one; later requests get no answer.
    REQUIRE(platform.until([&] { return discovery.connections().size() == 2; }));
    const std::string list = platform.fixture->list(9, "DRAINING", true);
    const auto second = list.find("{\"id\":\"s-1\"");  // the first drains, the others serve
    std::string rest = list.substr(second);
    for (auto at = rest.find("DRAINING"); at != std::string::npos; at = rest.find("DRAINING"))
        rest.replace(at, 8, "SERVING");
    for (TestConnection& watch : discovery.connections())
        watch.send(DispatcherFixture::taken + DispatcherFixture::chunk(list.substr(0, second) + rest + "\n"));
    platform.until([] { return false; }, 50);
    platform.new_dispatcher =
        platform.start(platform.fixture->text);  // its configuration lists all runners as serving
    REQUIRE(platform.until([&] { return platform.said("handover: heard what the old dispatcher knows"); }));
    CHECK(platform.said("runners goes on"));
    platform.old_dispatcher->shut_down();
    std::vector<TestConnection> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(TestConnection::to(platform.port));
        clients.back().send(DispatcherFixture::post("d" + std::to_string(i)));
        platform.at_runner("d" + std::to_string(i));
    }
    for (TestConnection& connection : platform.fixture->runner_listeners[0]->connections())
        CHECK_FALSE(connection.has("POST "));
    // Changes that the old dispatcher receives while both run are handed over as well.
    discovery.connections()[1].send(DispatcherFixture::chunk(list + "\n"));
    platform.until([] { return false; }, 50);
    clients.push_back(TestConnection::to(platform.port));
    clients.back().send(DispatcherFixture::post("late"));
    platform.until([] { return false; }, 50);
    for (const auto& listener : platform.fixture->runner_listeners)
        for (TestConnection& connection : listener->connections())
            CHECK_FALSE(connection.has("X-Request-ID: late"));
}

TEST_CASE("both dispatchers share the limits until either ends, and a third connects to the remaining one") {
    Platform platform;
    platform.open_socket();
    platform.make_shared_folder();
    const std::string alone = "0 of this name", beside = "1 of this name";
    platform.old_dispatcher = platform.start(platform.fixture->text);
    CHECK(platform.is_healthy());
    platform.new_dispatcher = platform.start(platform.fixture->text);
    REQUIRE(platform.until([&] { return platform.said(beside); }));
    platform.fixture->said.str("");
    platform.new_dispatcher.reset();  // ends before it is ready
    REQUIRE(
        platform.until([&] { return platform.said("the new dispatcher is gone") && platform.said(alone); }));
    platform.new_dispatcher = platform.start(platform.fixture->text);
    REQUIRE(platform.until([&] { return platform.said("told a new dispatcher") && platform.said(beside); }));
    platform.fixture->said.str("");
    platform.old_dispatcher.reset();  // killed
    REQUIRE(
        platform.until([&] { return platform.said("the old dispatcher is gone") && platform.said(alone); }));
    CHECK(platform.is_healthy());
    // A second upgrade, from the new dispatcher on; a second later, since the log limits lines per second.
    platform.until([] { return false; }, 1000);
    platform.old_dispatcher = std::move(platform.new_dispatcher);
    platform.new_dispatcher = platform.start(platform.fixture->text);
    CHECK(platform.until([&] { return platform.said("heard what the old dispatcher knows"); }));
}

TEST_CASE("anything else at the socket's path in the shared folder is ignored, and the dispatcher serves") {
    SUBCASE("the socket of a dead process") {
        Platform platform;
        platform.open_socket();
        platform.make_shared_folder();
        const int dead_socket = ::socket(AF_UNIX, SOCK_STREAM, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        platform.path().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(bind(dead_socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        close(dead_socket);
        platform.old_dispatcher = platform.start(platform.fixture->text);
        CHECK(platform.is_healthy());
        platform.new_dispatcher = platform.start(platform.fixture->text);
        CHECK(platform.until([&] { return platform.said("heard what the old dispatcher knows"); }));
    }
    SUBCASE("a plain file") {
        Platform platform;
        platform.open_socket();
        platform.make_shared_folder();
        std::ofstream(platform.path()) << "list 5\nhello";
        platform.old_dispatcher = platform.start(platform.fixture->text);
        CHECK(platform.is_healthy());
    }
    SUBCASE("no folder at all") {
        Platform platform;
        platform.open_socket();
        platform.folder = "no/such/folder";
        platform.old_dispatcher = platform.start(platform.fixture->text);
        CHECK(platform.is_healthy());
        CHECK(platform.said("an upgrade will begin from the configuration"));
        platform.folder.clear();
    }
}

TEST_CASE("a foreign, truncated or unknown greeting does not keep the new dispatcher from serving") {
    for (const std::string text : {"", "greeting 24\n{\"v\":1,\"name\":\"other\"}",
                                   "greeting 20\n{\"v\":1,\"name\":\"n0\"}list 9\n{\"version\"",
                                   "what is this?", "greeting 21\n{\"v\":99,\"name\":\"n0\"}"}) {
        CAPTURE(text);
        Platform platform;
        platform.open_socket();
        platform.make_shared_folder();
        const int foreign = ::socket(AF_UNIX, SOCK_STREAM, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        platform.path().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(bind(foreign, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(listen(foreign, 4) == 0);
        platform.old_dispatcher = platform.start(platform.fixture->text);
        TestConnection connection(accept(foreign, nullptr, nullptr));
        connection.send(text);
        CHECK(platform.until([&] { return platform.is_healthy(); }, 1500));
        close(foreign);
    }
}

TEST_CASE(
    "taken out of service during an upgrade, the old dispatcher closes its clients and the new one serves") {
    Platform platform;
    platform.open_socket();
    platform.make_shared_folder();
    const auto with = [&](const std::string& window) {
        std::string text = platform.fixture->text;
        return text.replace(text.find("\"discovery\""), 11, window + "\"discovery\"");
    };
    platform.old_dispatcher = platform.start(with(DispatcherFixture::with_admin_server()));
    TestConnection kept_client = TestConnection::to(platform.port);
    kept_client.send(DispatcherFixture::post("k"));
    platform.at_runner("k").send(DispatcherFixture::done("k"));
    REQUIRE(platform.until([&] { return kept_client.has("picture"); }));
    platform.new_dispatcher = platform.start(with(DispatcherFixture::with_admin_server()));
    const auto call = [&](const dispatcher::Dispatcher& at, const std::string& line) {
        TestConnection connection = TestConnection::to(at.admin_port());
        connection.send(line + " HTTP/1.1\r\nHost: n\r\n\r\n");
        platform.until([&] { return connection.ended(); }, 1000);
        return connection.got.substr(0, 12);
    };
    CHECK(call(*platform.old_dispatcher, "POST /control/out-of-service") == "HTTP/1.1 200");
    CHECK(call(*platform.old_dispatcher, "GET /control/ready") == "HTTP/1.1 503");
    REQUIRE(platform.until(
        [&] { return call(*platform.new_dispatcher, "GET /control/ready") == "HTTP/1.1 200"; }));
    platform.old_dispatcher->shut_down();
    CHECK(call(*platform.old_dispatcher, "POST /control/in-service") == "HTTP/1.1 409");
    CHECK(platform.until([&] { return kept_client.ended(); }, 1500));
    TestConnection next = TestConnection::to(platform.port);
    next.send(DispatcherFixture::post("n"));
    platform.at_runner("n").send(DispatcherFixture::done("n"));
    CHECK(platform.until([&] { return next.has("picture"); }));
    CHECK(platform.until([&] { return platform.fixture->loop.is_stopping(); }, 4000));
}
