// Upgrades: an old and a new dispatcher on one listening socket that neither of them owns.
#include <sys/stat.h>

#include "handover/words.hpp"
#include "helpers.hpp"

using namespace gannethold;

namespace {

// What the platform does: it holds the clients' socket, starts a dispatcher with it, and a second beside the
// first.
struct Platform {
    Platform() {
        fixture = std::make_unique<DispatcherFixture>(4, "pure", "", "\"memory_mb\":64,\"sockets\":96",
                                                      "on_request", "3000000");
    }
    std::unique_ptr<dispatcher::Dispatcher> start(const std::string& text) {
        dispatcher::Posting posting = dispatcher::Posting::read(text);
        posting.inherited = dup(socket);
        posting.heirloom = folder;
        auto one = std::make_unique<dispatcher::Dispatcher>(fixture->loop, posting, fixture->log);
        one->end_turn();
        return one;
    }
    void begin() {
        socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        socklen_t length = sizeof at;
        at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(listen(socket, 64) == 0);
        getsockname(socket, reinterpret_cast<sockaddr*>(&at), &length);
        port = ntohs(at.sin_port);
    }
    bool until(const std::function<bool()>& holds, int milliseconds = 3000) {
        return fixture->until(
            [&] {
                if (elder) elder->end_turn();
                if (heir) heir->end_turn();
                return holds();
            },
            milliseconds);
    }
    TestConnection& at_runner(const std::string& id) {
        TestConnection* at = nullptr;
        REQUIRE(until([&] {
            for (const auto& listener : fixture->runner_listeners)
                for (TestConnection& w : listener->connections())
                    if (w.has("X-Request-ID: " + id + "\r\n")) at = &w;
            return at != nullptr;
        }));
        return *at;
    }
    ~Platform() {
        elder.reset(), heir.reset();
        if (!folder.empty()) unlink(path().c_str()), unlink((path() + ".new").c_str()), rmdir(folder.c_str());
        if (socket >= 0) close(socket);
    }

    // A folder that both share, as $TMPDIR is.
    void share() {
        char name[] = "upgrade-XXXXXX";
        REQUIRE(mkdtemp(name));
        folder = name;
    }
    std::string path() const { return folder + "/gannethold-n0"; }
    bool said(const std::string& words) const { return fixture->said.str().find(words) != std::string::npos; }
    bool healthy() {
        TestConnection front = TestConnection::to(port);
        front.send("GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n");
        until([&] { return front.has("\r\n\r\n"); }, 500);
        return front.got.starts_with("HTTP/1.1 200");
    }

    std::unique_ptr<DispatcherFixture> fixture;
    std::string folder;
    int socket = -1;
    std::uint16_t port = 0;
    std::unique_ptr<dispatcher::Dispatcher> elder, heir;
};

}  // namespace

TEST_CASE("what was handed down must be a listening socket") {
    Platform p;
    p.begin();
    dispatcher::Posting posting = dispatcher::Posting::read(p.fixture->text);
    posting.inherited = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK_THROWS_WITH(dispatcher::Dispatcher(p.fixture->loop, posting, p.fixture->log),
                      doctest::Contains("is no listening socket"));
    close(*posting.inherited);
}

TEST_CASE(
    "in an upgrade the old one lets in nobody more, answers what it has, and what is in the queue is the new "
    "one's") {
    Platform p;
    p.begin();
    p.elder = p.start(p.fixture->text);
    TestConnection kept = TestConnection::to(p.port), busy = TestConnection::to(p.port);
    kept.send(DispatcherFixture::post("k"));
    busy.send(DispatcherFixture::post("b", "X-Timeout: 3000m\r\n"));
    TestConnection& runs = p.at_runner("b");
    p.at_runner("k").send(DispatcherFixture::done("k"));
    REQUIRE(p.until([&] { return kept.has("picture"); }));
    p.heir = p.start(p.fixture->text);
    p.elder->leave();
    std::vector<TestConnection> queued;
    for (int i = 0; i < 3; ++i) {
        queued.push_back(TestConnection::to(p.port));
        queued.back().send(DispatcherFixture::post("q" + std::to_string(i)));
    }
    for (int i = 0; i < 3; ++i) {
        const std::string id = "q" + std::to_string(i);
        p.at_runner(id).send(DispatcherFixture::done(id));
        CHECK(p.until([&] { return queued[static_cast<std::size_t>(i)].has("picture"); }));
        CHECK_FALSE(queued[static_cast<std::size_t>(i)].ended());  // kept by the new one
    }
    CHECK(p.heir->counters().answers_by_workload().at("render").finished == 3);
    // A kept idle connection is closed, so that its client comes to the new one.
    CHECK(p.until([&] { return kept.ended(); }, 1000));
    CHECK_FALSE(p.fixture->loop.is_stopping());
    runs.send(DispatcherFixture::done("b", "old"));
    CHECK(p.until([&] { return busy.has("old") && busy.ended(); }));
    CHECK(p.until([&] { return p.fixture->loop.is_stopping(); }, 500));
}

TEST_CASE("a new one that dies before it serves costs the old one nothing") {
    Platform p;
    p.begin();
    p.elder = p.start(p.fixture->text);
    p.heir = p.start(p.fixture->text);
    p.heir.reset();
    TestConnection client = TestConnection::to(p.port);
    client.send(DispatcherFixture::post("c"));
    p.at_runner("c").send(DispatcherFixture::done("c"));
    CHECK(p.until([&] { return client.has("picture"); }));
}

TEST_CASE("words of a handover are read at any split, unknown ones passed over, and foreign bytes end it") {
    using namespace handover;
    const std::string all = spell(Word{Kind::list, "a\nb"}) + "rumours 3\nxyz" + spell(Word{Kind::done, ""});
    for (std::size_t at = 0; at <= all.size(); ++at) {
        Reader reader;
        std::vector<Word> words;
        for (const std::string& part : {all.substr(0, at), all.substr(at)}) {
            REQUIRE(reader.feed(part));
            while (auto word = reader.next()) words.push_back(*word);
        }
        REQUIRE(words.size() == 2);
        CHECK(words[0].body == "a\nb");
        CHECK(words[1].kind == Kind::done);
    }
    for (const std::string& foreign : std::vector<std::string>{
             "HTTP/1.1 200 OK\r\n\r\n", "list -1\n", "list 99999999999\n", "\n", std::string(60, 'x')}) {
        Reader reader;
        reader.feed(foreign);
        CHECK_FALSE(reader.next());
        CHECK_FALSE(reader.feed("more"));
    }
    const Troubles told = read_troubles(spell(Troubles{{"s-0", {5, -1}}, {"s-1", {0, 7}}}));
    CHECK(told.at("s-0").aside_for == 5);
    CHECK(told.at("s-0").cold_for == -1);
    CHECK(told.at("s-1").cold_for == 7);
    CHECK(read_troubles("{\"s\":{\"aside_us\":-3,\"cold_us\":1e300}}").at("s").aside_for == 0);
    CHECK(read_troubles("[").empty());
    CHECK_FALSE(read_greeting("{\"v\":1}"));
}

TEST_CASE("a drain that only the old one heard of is kept by the new one, with discovery silent") {
    Platform p;
    p.begin();
    p.share();
    p.elder = p.start(p.fixture->text);
    TestListener& discovery = p.fixture->discovery;
    // The watches of the town's own dispatcher and of the old one; whoever asks later hears nothing.
    REQUIRE(p.until([&] { return discovery.connections().size() == 2; }));
    const std::string list = p.fixture->list(9, "DRAINING", true);
    const auto second = list.find("{\"id\":\"s-1\"");  // the first drains, the others serve
    std::string rest = list.substr(second);
    for (auto at = rest.find("DRAINING"); at != std::string::npos; at = rest.find("DRAINING"))
        rest.replace(at, 8, "SERVING");
    for (TestConnection& watch : discovery.connections())
        watch.send(DispatcherFixture::taken + DispatcherFixture::chunk(list.substr(0, second) + rest + "\n"));
    p.until([] { return false; }, 50);
    p.heir = p.start(p.fixture->text);  // whose configuration says that all serve
    REQUIRE(p.until([&] { return p.said("handover: heard what the old dispatcher knows"); }));
    CHECK(p.said("runners goes on"));
    p.elder->leave();
    std::vector<TestConnection> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(TestConnection::to(p.port));
        clients.back().send(DispatcherFixture::post("d" + std::to_string(i)));
        p.at_runner("d" + std::to_string(i));
    }
    for (TestConnection& wire : p.fixture->runner_listeners[0]->connections()) CHECK_FALSE(wire.has("POST "));
    // What the old one hears while both live goes over as well.
    discovery.connections()[1].send(DispatcherFixture::chunk(list + "\n"));
    p.until([] { return false; }, 50);
    clients.push_back(TestConnection::to(p.port));
    clients.back().send(DispatcherFixture::post("late"));
    p.until([] { return false; }, 50);
    for (const auto& listener : p.fixture->runner_listeners)
        for (TestConnection& wire : listener->connections()) CHECK_FALSE(wire.has("X-Request-ID: late"));
}

TEST_CASE("both share the limits as long as both live, whichever goes, and a third finds whoever is left") {
    Platform p;
    p.begin();
    p.share();
    const std::string alone = "0 of this name", beside = "1 of this name";
    p.elder = p.start(p.fixture->text);
    CHECK(p.healthy());
    p.heir = p.start(p.fixture->text);
    REQUIRE(p.until([&] { return p.said(beside); }));
    p.fixture->said.str("");
    p.heir.reset();  // before it was ready, as far as anybody knows
    REQUIRE(p.until([&] { return p.said("the new dispatcher is gone") && p.said(alone); }));
    p.heir = p.start(p.fixture->text);
    REQUIRE(p.until([&] { return p.said("told a new dispatcher") && p.said(beside); }));
    p.fixture->said.str("");
    p.elder.reset();  // killed
    REQUIRE(p.until([&] { return p.said("the old dispatcher is gone") && p.said(alone); }));
    CHECK(p.healthy());
    // A second upgrade, from the new one on; in another second, for whose lines the log has room again.
    p.until([] { return false; }, 1000);
    p.elder = std::move(p.heir);
    p.heir = p.start(p.fixture->text);
    CHECK(p.until([&] { return p.said("heard what the old dispatcher knows"); }));
}

TEST_CASE("what lies in the shared folder otherwise is passed over, and serving begins all the same") {
    SUBCASE("the socket of a dead process") {
        Platform p;
        p.begin();
        p.share();
        const int dead = ::socket(AF_UNIX, SOCK_STREAM, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        p.path().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(bind(dead, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        close(dead);
        p.elder = p.start(p.fixture->text);
        CHECK(p.healthy());
        p.heir = p.start(p.fixture->text);
        CHECK(p.until([&] { return p.said("heard what the old dispatcher knows"); }));
    }
    SUBCASE("a plain file") {
        Platform p;
        p.begin();
        p.share();
        std::ofstream(p.path()) << "list 5\nhello";
        p.elder = p.start(p.fixture->text);
        CHECK(p.healthy());
    }
    SUBCASE("no folder at all") {
        Platform p;
        p.begin();
        p.folder = "no/such/folder";
        p.elder = p.start(p.fixture->text);
        CHECK(p.healthy());
        CHECK(p.said("an upgrade will begin from the configuration"));
        p.folder.clear();
    }
}

TEST_CASE("a foreign speaker, one cut off and one of another form keep nobody from serving") {
    for (const std::string words : {"", "greeting 24\n{\"v\":1,\"name\":\"other\"}",
                                    "greeting 20\n{\"v\":1,\"name\":\"n0\"}list 9\n{\"version\"",
                                    "what is this?", "greeting 21\n{\"v\":99,\"name\":\"n0\"}"}) {
        CAPTURE(words);
        Platform p;
        p.begin();
        p.share();
        const int foreign = ::socket(AF_UNIX, SOCK_STREAM, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        p.path().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(bind(foreign, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(listen(foreign, 4) == 0);
        p.elder = p.start(p.fixture->text);
        TestConnection wire(accept(foreign, nullptr, nullptr));
        wire.send(words);
        CHECK(p.until([&] { return p.healthy(); }, 1500));
        close(foreign);
    }
}

TEST_CASE("sent away in the middle of an upgrade, the old one tells its own clients and the new one serves") {
    Platform p;
    p.begin();
    p.share();
    const auto with = [&](const std::string& window) {
        std::string text = p.fixture->text;
        return text.replace(text.find("\"discovery\""), 11, window + "\"discovery\"");
    };
    p.elder = p.start(with(DispatcherFixture::with_admin_server()));
    TestConnection kept = TestConnection::to(p.port);
    kept.send(DispatcherFixture::post("k"));
    p.at_runner("k").send(DispatcherFixture::done("k"));
    REQUIRE(p.until([&] { return kept.has("picture"); }));
    p.heir = p.start(with(DispatcherFixture::with_admin_server()));
    const auto call = [&](const dispatcher::Dispatcher& at, const std::string& line) {
        TestConnection wire = TestConnection::to(at.admin_port());
        wire.send(line + " HTTP/1.1\r\nHost: n\r\n\r\n");
        p.until([&] { return wire.ended(); }, 1000);
        return wire.got.substr(0, 12);
    };
    CHECK(call(*p.elder, "POST /control/out-of-service") == "HTTP/1.1 200");
    CHECK(call(*p.elder, "GET /control/ready") == "HTTP/1.1 503");
    REQUIRE(p.until([&] { return call(*p.heir, "GET /control/ready") == "HTTP/1.1 200"; }));
    p.elder->leave();
    CHECK(call(*p.elder, "POST /control/in-service") == "HTTP/1.1 409");
    CHECK(p.until([&] { return kept.ended(); }, 1500));
    TestConnection next = TestConnection::to(p.port);
    next.send(DispatcherFixture::post("n"));
    p.at_runner("n").send(DispatcherFixture::done("n"));
    CHECK(p.until([&] { return next.has("picture"); }));
    CHECK(p.until([&] { return p.fixture->loop.is_stopping(); }, 4000));
}
