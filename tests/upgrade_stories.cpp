// Upgrades: an old and a new dispatcher on one listening socket that neither of them owns.
#include "helpers.hpp"

using namespace gannethold;

namespace {

// What the platform does: it holds the clients' socket, starts a dispatcher with it, and a second beside the first.
struct Platform {
    Platform() { town = std::make_unique<Town>(4, "pure", "", "\"memory_mb\":64,\"sockets\":96", "on_request", "3000000"); }
    std::unique_ptr<dispatcher::Dispatcher> start(const std::string& text) {
        dispatcher::Posting posting = dispatcher::Posting::read(text);
        posting.inherited = dup(socket);
        auto one = std::make_unique<dispatcher::Dispatcher>(town->loop, posting, town->log);
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
        return town->until([&] {
            if (elder) elder->end_turn();
            if (heir) heir->end_turn();
            return holds();
        }, milliseconds);
    }
    Wire& at_runner(const std::string& id) {
        Wire* at = nullptr;
        REQUIRE(until([&] {
            for (const auto& door : town->doors)
                for (Wire& w : door->guests())
                    if (w.has("X-Request-ID: " + id + "\r\n")) at = &w;
            return at != nullptr;
        }));
        return *at;
    }
    ~Platform() {
        if (socket >= 0) close(socket);
    }

    std::unique_ptr<Town> town;
    int socket = -1;
    std::uint16_t port = 0;
    std::unique_ptr<dispatcher::Dispatcher> elder, heir;
};

}  // namespace

TEST_CASE("what was handed down must be a listening socket") {
    Platform p;
    p.begin();
    dispatcher::Posting posting = dispatcher::Posting::read(p.town->text);
    posting.inherited = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK_THROWS_WITH(dispatcher::Dispatcher(p.town->loop, posting, p.town->log), doctest::Contains("is no listening socket"));
    close(*posting.inherited);
}

TEST_CASE("in an upgrade the old one lets in nobody more, answers what it has, and what is in the queue is the new one's") {
    Platform p;
    p.begin();
    p.elder = p.start(p.town->text);
    Wire kept = Wire::to(p.port), busy = Wire::to(p.port);
    kept.say(Town::post("k"));
    busy.say(Town::post("b", "X-Timeout: 3000m\r\n"));
    Wire& runs = p.at_runner("b");
    p.at_runner("k").say(Town::done("k"));
    REQUIRE(p.until([&] { return kept.has("picture"); }));
    p.heir = p.start(p.town->text);
    p.elder->leave();
    std::vector<Wire> queued;
    for (int i = 0; i < 3; ++i) {
        queued.push_back(Wire::to(p.port));
        queued.back().say(Town::post("q" + std::to_string(i)));
    }
    for (int i = 0; i < 3; ++i) {
        const std::string id = "q" + std::to_string(i);
        p.at_runner(id).say(Town::done(id));
        CHECK(p.until([&] { return queued[static_cast<std::size_t>(i)].has("picture"); }));
        CHECK_FALSE(queued[static_cast<std::size_t>(i)].ended());  // kept by the new one
    }
    CHECK(p.heir->tally().ends().at("render").finished == 3);
    // A kept idle connection is closed, so that its client comes to the new one.
    CHECK(p.until([&] { return kept.ended(); }, 1000));
    CHECK_FALSE(p.town->loop.stopping());
    runs.say(Town::done("b", "old"));
    CHECK(p.until([&] { return busy.has("old") && busy.ended(); }));
    CHECK(p.until([&] { return p.town->loop.stopping(); }, 500));
}

TEST_CASE("a new one that dies before it serves costs the old one nothing") {
    Platform p;
    p.begin();
    p.elder = p.start(p.town->text);
    p.heir = p.start(p.town->text);
    p.heir.reset();
    Wire client = Wire::to(p.port);
    client.say(Town::post("c"));
    p.at_runner("c").say(Town::done("c"));
    CHECK(p.until([&] { return client.has("picture"); }));
}
