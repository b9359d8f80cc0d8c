#include "dispatcher/outcomes.hpp"
#include "helpers.hpp"
#include "runners/connection_pool.hpp"

using namespace gannethold;
using net::CloseReason;

namespace {

std::size_t count(const std::string& text, const std::string& word) {
    std::size_t n = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) ++n;
    return n;
}

// The connections to one scripted runner, and a record of the calls to their Sender.
struct RunnerLinkFixture : runners::TransportObserver {
    RunnerLinkFixture() : links(loop, *this, runners::ReportDecoder({"rif"}), {100'000, 200'000, 4}) {
        seat(true);
    }
    void on_call_ended(runners::CallEnded&& e) override { ended.push_back(std::move(e)); }
    void on_request_written() override { ++written; }
    void on_progress(TaskId, int, RunnerId, Stage, double share) override { shares.push_back(share); }
    void on_probe_ended(RunnerId, CloseReason ending, Micros, Report&& report) override {
        probes.emplace_back(ending, report);
    }
    void seat(bool open) { links.set_endpoint(RunnerId{1}, *net::Address::parse(listener.address()), open); }
    void assign(const std::string& id = "7", Micros span = 2'000'000) {
        links.assign(RunnerId{1}, {TaskId{++sent}, 0, id, "POST /r HTTP/1.1\r\nX-Request-ID: " + id + "\r\n",
                                   nullptr, net::Loop::now() + span});
    }
    bool until(const std::function<bool()>& holds, int milliseconds = 3000) {
        for (const Micros end = net::Loop::now() + milliseconds * 1000; net::Loop::now() < end; usleep(200)) {
            loop.run_once(false);
            links.erase_ended();
            if (holds()) return true;
        }
        return false;
    }
    TestConnection& runner() {
        TestConnection* asked = nullptr;
        REQUIRE(until([&] {
            for (TestConnection& wire : listener.connections())
                if (wire.has("\r\n\r\n")) asked = &wire;
            return asked != nullptr;
        }));
        return *asked;
    }
    // Returns how a new assignment ends after the runner has sent the text, and closed the connection or not.
    CloseReason after(const std::string& words, bool hangs_up = false) {
        const std::size_t before = ended.size();
        assign();
        TestConnection& wire = runner();
        wire.got.clear();
        wire.send(words);
        if (hangs_up) wire.hang_up();
        REQUIRE(until([&] { return ended.size() > before; }));
        return ended.back().ending;
    }

    int written = 0;
    net::Loop loop{256};
    TestListener listener;
    runners::ConnectionPool links;
    std::vector<runners::CallEnded> ended;
    std::vector<double> shares;
    std::vector<std::pair<CloseReason, Report>> probes;
    std::uint64_t sent = 0;
};

struct StuckDoor : TestListener {
    StuckDoor() : TestListener(0) { stick(); }
};

std::string answer(const std::string& status, const std::string& more = "") {
    return "HTTP/1.1 " + status + "\r\n" + more + "Content-Length: 0\r\n\r\n";
}
std::string lines(const std::string& text) {
    return DispatcherFixture::taken + DispatcherFixture::chunk(text) + "0\r\n\r\n";
}

}  // namespace

TEST_CASE("each answer or failure of a runner ends an assignment as the protocol defines") {
    RunnerLinkFixture s;
    CHECK(s.after(DispatcherFixture::done("7")) == CloseReason::done);
    CHECK(s.ended.back().result == "picture");
    CHECK(s.after(lines("{\"id\":\"7\",\"state\":\"failed\"}\n")) == CloseReason::failed);
    CHECK(s.after(lines("{\"id\":\"7\",\"state\":\"returned\"}\n")) == CloseReason::returned);
    CHECK(s.after(lines("{\"id\":\"7\",\"state\":\"lost\",\"load\":{\"rif\":3}}")) == CloseReason::lost);
    CHECK(s.ended.back().report == Report{3});
    CHECK(s.after(answer("500 Oh")) == CloseReason::failed);
    CHECK(s.after(answer("503 Full", "X-Not-Processed: 1\r\nX-Server-Load: inflight=9\r\n")) ==
          CloseReason::returned);
    CHECK(s.ended.back().report == Report{9});
    CHECK(s.after(answer("504 Late", "X-Not-Processed: 1\r\n")) == CloseReason::returned);
    CHECK(s.after(answer("503 Full")) == CloseReason::failed);
    CHECK(s.listener.connections().size() == 1);  // all on one connection
    // From here on each answer spoils its connection.
    CHECK(s.after(lines("no JSON\n")) == CloseReason::malformed);
    CHECK(s.after(lines("{\"id\":\"8\",\"state\":\"done\",\"result\":\"\"}\n")) == CloseReason::malformed);
    CHECK(s.after(lines("{\"id\":\"7\",\"state\":\"running\",\"share\":7}\n")) == CloseReason::malformed);
    CHECK(s.after("HTTP/1.1 200 OK\r\nA: " + std::string(9000, 'a')) == CloseReason::malformed);
    CHECK(s.after(DispatcherFixture::taken + "zz\r\n") == CloseReason::malformed);
    CHECK(s.after(lines("{\"id\":\"7\",\"state\":\"started\"}\n")) == CloseReason::ended_early);
    CHECK(s.after(DispatcherFixture::taken, true) == CloseReason::ended_early);
    CHECK(s.after("", true) == CloseReason::ended_early);
    CHECK(s.listener.connections().size() == 8);
    CHECK(s.after(DispatcherFixture::done("7") + "more") == CloseReason::done);
    CHECK(s.after(lines("{\"id\":\"7\",\"state\":\"done\",\"result\":\"\"}\nmore\n")) == CloseReason::done);
    CHECK(s.after(DispatcherFixture::done("7")) == CloseReason::done);
    CHECK(s.listener.connections().size() == 11);  // bytes after the end: those two were not used again
    s.assign();
    s.runner().reset();
    REQUIRE(s.until([&] { return s.links.size() == 0; }));
    CHECK(s.ended.back().ending == CloseReason::stale_connection);
    CHECK(s.written == static_cast<int>(s.ended.size()));
    CHECK(s.loop.block_pool().in_use() == 0);
}

TEST_CASE("a connection that breaks after the last byte leaves a task that may have run") {
    RunnerLinkFixture s;
    s.assign();
    s.runner().reset();
    REQUIRE(s.until([&] { return s.ended.size() == 1; }));
    CHECK(s.ended.back().ending == CloseReason::broken);
}

TEST_CASE("progress and the answer are read, wherever the network splits them") {
    const std::string text = DispatcherFixture::taken +
                             DispatcherFixture::line("7", "\"state\":\"running\",\"share\":0.5") +
                             DispatcherFixture::done("7").substr(DispatcherFixture::taken.size());
    RunnerLinkFixture s;
    for (std::size_t at = 1; at < text.size(); ++at) {
        s.assign();
        TestConnection& wire = s.runner();
        wire.got.clear();
        wire.send(text.substr(0, at));
        s.loop.run_once(false);
        wire.send(text.substr(at));
        REQUIRE(s.until([&] { return s.ended.size() == at; }));
        CHECK(s.ended.back().ending == CloseReason::done);
    }
    CHECK(s.shares.size() == text.size() - 1);
}

TEST_CASE("an assignment of which no last byte was written has never run") {
    RunnerLinkFixture s;
    s.assign("7", 50'000);
    s.runner();
    REQUIRE(s.until([&] { return s.ended.size() == 1; }));
    CHECK(s.ended.back().ending == CloseReason::timed_out);
    s.assign();
    s.runner();
    s.links.withdraw(TaskId{2}, 0);
    CHECK(s.ended.back().ending == CloseReason::cancelled);
    StuckDoor stuck;
    s.links.set_endpoint(RunnerId{1}, *net::Address::parse(stuck.address()), true);
    s.assign();
    s.loop.run_once(false);
    s.links.withdraw(TaskId{3}, 0);
    CHECK(s.ended.back().ending == CloseReason::cancelled_unsent);
    s.assign("7", 20'000);
    REQUIRE(s.until([&] { return s.ended.size() == 4; }));
    CHECK(s.ended.back().ending == CloseReason::timed_out_unsent);
    s.assign();
    REQUIRE(s.until([&] { return s.ended.size() == 5; }));
    CHECK(s.ended.back().ending == CloseReason::connect_timed_out);
    s.seat(true);
    s.listener.shut();
    s.assign();
    REQUIRE(s.until([&] { return s.ended.size() == 6; }));
    CHECK(s.ended.back().ending == CloseReason::refused);
    CHECK(s.written == 2);
    // A peer that takes nothing and then resets, with most of a message still here.
    struct Far : net::Connection::Owner {
        void on_connected() override { up = true; }
        void on_bytes(std::string_view) override {}
        void on_closed(CloseReason e) override { end = e; }
        bool up = false;
        std::optional<CloseReason> end;
    } far;
    TestListener listener;
    net::Loop loop(4096);
    net::Connection connection(loop, far, *net::Address::parse(listener.address()), 1'000'000);
    while (!far.up) loop.run_once(true);
    connection.write(std::string(16'000'000, 'x'));
    for (int i = 0; i < 50; ++i) loop.run_once(false);
    listener.connections().back().reset();
    while (!far.end) loop.run_once(true);
    CHECK(*far.end == CloseReason::broken_unsent);
}

TEST_CASE("each end has one outcome, and in doubt a task may have run") {
    using dispatcher::outcome_of;
    for (const CloseReason e :
         {CloseReason::returned, CloseReason::refused, CloseReason::unreachable,
          CloseReason::connect_timed_out, CloseReason::out_of_sockets, CloseReason::broken_unsent,
          CloseReason::timed_out_unsent, CloseReason::cancelled_unsent, CloseReason::drained_unsent})
        CHECK_MESSAGE(proves_never_ran(outcome_of(e)), net::name_of(e));
    for (const CloseReason e :
         {CloseReason::done, CloseReason::failed, CloseReason::lost, CloseReason::broken,
          CloseReason::ended_early, CloseReason::stale_connection, CloseReason::malformed,
          CloseReason::timed_out, CloseReason::cancelled, CloseReason::closed})
        CHECK_MESSAGE(!proves_never_ran(outcome_of(e)), net::name_of(e));
    CHECK(outcome_of(CloseReason::done) == Outcome::finished);
    CHECK(outcome_of(CloseReason::timed_out) == Outcome::timed_out);
}

TEST_CASE("no assignment begins at a draining runner, also after a slow connect") {
    RunnerLinkFixture s;
    s.assign();
    s.seat(false);
    CHECK(s.ended.back().ending == CloseReason::drained_unsent);
    REQUIRE(s.until([&] { return s.links.size() == 0; }));
    CHECK((s.listener.connections().empty() || s.listener.connections().back().look().got.empty()));
    // What has begun goes on.
    s.seat(true);
    s.assign();
    TestConnection& wire = s.runner();
    s.seat(false);
    wire.send(DispatcherFixture::done("7"));
    REQUIRE(s.until([&] { return s.ended.size() == 2; }));
    CHECK(s.ended.back().ending == CloseReason::done);
    CHECK(s.until([&] { return s.links.size() == 0; }));  // but its connection is not kept
}

TEST_CASE("connections are kept for the next assignment and closed before the runner would") {
    RunnerLinkFixture s;
    for (int i = 0; i < 3; ++i) CHECK(s.after(DispatcherFixture::done("7")) == CloseReason::done);
    CHECK(s.listener.connections().size() == 1);
    CHECK(s.until([&] { return s.listener.connections().back().ended(); }, 400));
    CHECK(s.links.size() == 0);
    // One that the runner closed meanwhile is not used again, also if the loop has not yet heard of it.
    s.after(DispatcherFixture::done("7"));
    s.listener.connections().back().hang_up();
    CHECK(s.after(DispatcherFixture::done("7")) == CloseReason::done);
    // Nor is one kept from before a restart, after another has broken, or to an address that it has left.
    REQUIRE(s.until([&] { return s.links.size() == 1; }));
    s.links.set_endpoint(RunnerId{1}, *net::Address::parse(s.listener.address()), true, true);
    CHECK(s.until([&] { return s.links.size() == 0; }));
    s.assign();
    TestConnection& breaks = s.runner();
    breaks.got.clear();
    CHECK(s.after(DispatcherFixture::done("7")) == CloseReason::done);
    breaks.reset();
    CHECK(s.until([&] { return s.links.size() == 0; }));
    s.after(DispatcherFixture::done("7"));
    TestListener moved;
    s.links.set_endpoint(RunnerId{1}, *net::Address::parse(moved.address()), true);
    s.assign();
    CHECK(s.until(
        [&] { return !moved.connections().empty() && moved.connections().back().has("X-Request-ID: 7"); }));
}

TEST_CASE("a probe returns the load report, from the body or the header, or fails") {
    RunnerLinkFixture s;
    s.links.probe(RunnerId{1});
    CHECK(s.runner().has("GET /load HTTP/1.1"));
    s.runner().send("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\ninflight=4\n");
    REQUIRE(s.until([&] { return s.probes.size() == 1; }));
    CHECK(s.probes[0] == std::pair(CloseReason::done, Report{4}));
    s.runner().got.clear();
    s.links.probe(RunnerId{1});
    s.runner().send("HTTP/1.1 503 No\r\nX-Server-Load: rif=5\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(s.until([&] { return s.probes.size() == 2; }));
    CHECK(s.probes[1] == std::pair(CloseReason::returned, Report{5}));
    s.runner().got.clear();
    s.links.probe(RunnerId{1});
    REQUIRE(s.until([&] { return s.probes.size() == 3; }));  // no answer
    CHECK(s.probes[2].first == CloseReason::timed_out);
}

TEST_CASE("a probe that fails on a kept connection is retried once, on a new connection") {
    RunnerLinkFixture s;
    CHECK(s.after(DispatcherFixture::done("7")) == CloseReason::done);
    s.listener.connections().back().got.clear();
    s.links.probe(RunnerId{1});
    s.runner().reset();
    REQUIRE(s.until([&] {
        return s.listener.connections().size() == 2 && s.listener.connections()[1].has("GET /load");
    }));
    CHECK(s.probes.empty());
    s.listener.connections()[1].reset();
    REQUIRE(s.until([&] { return s.probes.size() == 1; }));
    CHECK(s.probes[0].first == CloseReason::broken);
    CHECK(s.listener.connections().size() == 2);
}

TEST_CASE("a task goes to a runner unchanged and its result to the client, on connections that are kept") {
    DispatcherFixture fixture;
    TestConnection client = fixture.client();
    client.send(
        DispatcherFixture::post("r1", "X-Timeout: 900m\r\nIdempotency-Key: k1\r\nContent-Type: a/b\r\n"));
    TestConnection& runner = fixture.at_runner("r1");
    CHECK(runner.has("POST /render/key HTTP/1.1\r\n"));
    CHECK(runner.has("Idempotency-Key: k1\r\n"));
    CHECK(runner.has("Content-Length: 5\r\n"));
    CHECK(runner.has("X-Timeout: "));
    CHECK(runner.has("\r\n\r\nscene"));
    runner.send(DispatcherFixture::done("r1", "a\\nb"));
    REQUIRE(fixture.until([&] { return client.has("\r\n\r\na\nb"); }));
    CHECK(client.has("HTTP/1.1 200 OK\r\n"));
    client.send(
        "POST /render/key?q=1 HTTP/1.1\r\nX-Request-ID: r2\r\nX-Timeout: 900m\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    TestConnection& again = fixture.at_runner("r2");
    CHECK(again.has("POST /render/key?q=1 HTTP/1.1\r\n"));
    CHECK(again.has("\r\n\r\nabcde"));
    again.send(DispatcherFixture::done("r2", "second"));
    REQUIRE(fixture.until([&] { return client.has("second"); }));
    CHECK(fixture.runner_listeners[0]->connections().size() == 1);
    CHECK(fixture.loop.block_pool().in_use() == 0);
}

TEST_CASE("a task that cannot be served gets one answer, and nothing after it") {
    DispatcherFixture fixture;
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("r1", "X-Timeout: 300m\r\n"));
    TestConnection& runner = fixture.at_runner("r1");
    REQUIRE(
        fixture.until([&] { return client.has("HTTP/1.1 503"); }, 320));  // idempotent, so it may come again
    CHECK(client.has("Retry-After: 1.500\r\n"));
    runner.send(DispatcherFixture::done("r1"));
    fixture.pass(50);
    CHECK(count(client.look().got, "HTTP/1.1") == 1);
    DispatcherFixture unsafe(1, "side_effect");
    TestConnection other = unsafe.client();
    other.send(DispatcherFixture::post("r1", "X-Timeout: 300m\r\n"));
    unsafe.at_runner("r1").send(answer("500 Oh"));
    REQUIRE(unsafe.until([&] { return other.has("HTTP/1.1 502"); }));
    unsafe.pass(100);
    CHECK(unsafe.runner_listeners[0]->connections().size() == 1);
    CHECK(count(unsafe.runner_listeners[0]->connections()[0].got, "POST") == 1);
}

TEST_CASE("a task that a runner turned away goes to another runner, also with side effects") {
    DispatcherFixture fixture(2, "side_effect");
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("r1"));
    TestConnection& first = fixture.at_runner("r1");
    first.got.clear();
    first.send(answer("503 Full", "X-Not-Processed: 1\r\n"));
    TestConnection& second = fixture.at_runner("r1");
    CHECK(&second != &first);
    second.send(DispatcherFixture::done("r1"));
    CHECK(fixture.until([&] { return client.has("picture"); }));
}

TEST_CASE("the timeout of a slow request starts at its last byte") {
    DispatcherFixture fixture;
    TestConnection client = fixture.client();
    const std::string request = DispatcherFixture::post("r1", "X-Timeout: 200m\r\n");
    client.send(request.substr(0, 30));
    fixture.pass(250);
    client.send(request.substr(30));
    fixture.at_runner("r1").send(DispatcherFixture::done("r1"));
    CHECK(fixture.until([&] { return client.has("picture"); }));
}

TEST_CASE("a client that disconnects ends its task") {
    DispatcherFixture fixture;
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("r1"));
    TestConnection& runner = fixture.at_runner("r1");
    client.hang_up();
    CHECK(fixture.until([&] { return runner.ended(); }));
    CHECK(fixture.loop.block_pool().in_use() == 0);
}

TEST_CASE("bad requests get a 4xx and leave other connections alone") {
    DispatcherFixture fixture;
    TestConnection good = fixture.client();
    good.send(DispatcherFixture::post("good"));
    TestConnection& runner = fixture.at_runner("good");
    const std::string chunked = "POST /render/k HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 9m\r\n";
    for (const auto& [bad, status] : std::vector<std::pair<std::string, std::string>>{
             {"rubbish\r\n\r\n", "400"},
             {chunked + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
             {DispatcherFixture::post("b", "X-Timeout: soon\r\n"), "400"},
             {DispatcherFixture::post("b", "X-Timeout: 900m\r\n", std::string(65'537, 'b')), "413"},
             {"GET /" + std::string(9000, 'a'), "431"},
             {"POST /odd/k HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 9m\r\n\r\n", "404"},
             {"PUT /render/k HTTP/1.1\r\n\r\n", "405"},
             {"GET / HTTP/3.0\r\n\r\n", "505"},
             {"POST /render/\xff HTTP/1.1\r\n\r\n", "400"},
             {std::string(100, '\n'), "400"},
             {DispatcherFixture::post("b", "X-Timeout: 900m\r\nX-Timeout: 900m\r\n"), "400"},
             {DispatcherFixture::post("b", "X-Timeout: 900m\r\nX-Request-ID: c\r\n"), "400"},
             {DispatcherFixture::post("b c"), "400"},
             {DispatcherFixture::post("b", "X-Timeout: 900m\r\nIdempotency-Key: \xc3\xa9\r\n"), "400"},
             {DispatcherFixture::post("b", "X-Timeout: 36000000m\r\n"), "400"},
             {chunked + "Content-Length: 60000000\r\n\r\n", "413"},
             {chunked + "Content-Length: 3\r\n\r\nscene", "400"},
             {DispatcherFixture::post("b") + DispatcherFixture::post("c"), "400"},
             {DispatcherFixture::post("good"), "409"}}) {
        TestConnection client = fixture.client();
        client.send(bad);
        CHECK_MESSAGE(fixture.until([&] { return client.has("HTTP/1.1 " + status); }), status);
        CHECK(fixture.until([&] { return client.ended(); }));
    }
    runner.send(DispatcherFixture::done("good"));
    CHECK(fixture.until([&] { return good.has("picture"); }));
    CHECK(fixture.until([&] { return fixture.loop.block_pool().in_use() == 0; }));
}

TEST_CASE("bytes behind an open request end it, since its length was not what the client meant") {
    DispatcherFixture fixture;
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("r1"));
    TestConnection& runner = fixture.at_runner("r1");
    client.send("more");
    REQUIRE(fixture.until([&] { return client.ended() && runner.ended(); }));
    CHECK(client.has("HTTP/1.1 400"));
    CHECK(client.has("Connection: close\r\n"));
    CHECK(count(client.got, "HTTP/1.1") == 1);
    CHECK(fixture.loop.block_pool().in_use() == 0);
}

TEST_CASE("silent clients and unfinished requests are closed well within three seconds") {
    DispatcherFixture fixture;
    TestConnection kept = fixture.client(), silent = fixture.client(), head = fixture.client(),
                   body = fixture.client();
    kept.send(DispatcherFixture::post("r1"));
    fixture.at_runner("r1").send(DispatcherFixture::done("r1"));
    head.send("POST /render/key HTTP/1.1\r\n");
    body.send(
        "POST /render/key HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 900m\r\nContent-Length: 99\r\n\r\n");
    for (int i = 0; i < 24; ++i, fixture.pass(100))
        head.send("A: b\r\n"), body.send("c");  // no byte wins time
    CHECK(silent.ended());
    CHECK(silent.got.empty());
    CHECK(head.has("HTTP/1.1 408"));
    CHECK(body.has("HTTP/1.1 408"));
    kept.send(DispatcherFixture::post("r2"));  // a usual client's connection may stand idle
    fixture.at_runner("r2").send(DispatcherFixture::done("r2", "second"));
    CHECK(fixture.until([&] { return kept.has("second"); }));
    kept.send("POST ");
    CHECK(fixture.until([&] { return kept.has("HTTP/1.1 408"); }, 2400));  // from the first byte of this one
}

TEST_CASE("an error reaches a client that goes on sending") {
    DispatcherFixture fixture;
    TestConnection client = fixture.client();
    client.send(
        "POST /render/key HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 9m\r\nContent-Length: 60000000\r\n\r\n");
    for (int i = 0; i < 500; ++i) client.send(std::string(16'384, 'b')), fixture.turn();
    CHECK(client.has("HTTP/1.1 413"));
    CHECK(fixture.loop.block_pool().in_use() == 0);
}

TEST_CASE("a duplicate request id is accepted once, whichever body ends first") {
    DispatcherFixture fixture;
    TestConnection slow = fixture.client(), quick = fixture.client();
    const std::string request = DispatcherFixture::post("r1");
    slow.send(request.substr(0, request.size() - 1));
    fixture.pass(20);
    quick.send(request);
    TestConnection& runner = fixture.at_runner("r1");
    slow.send(request.substr(request.size() - 1));
    CHECK(fixture.until([&] { return slow.has("HTTP/1.1 409"); }));
    runner.send(DispatcherFixture::done("r1"));
    CHECK(fixture.until([&] { return quick.has("picture"); }));
}

TEST_CASE("when descriptors are short, silent and unfinished connections are closed before kept ones") {
    DispatcherFixture fixture;  // 28 for clients
    std::vector<TestConnection> kept, bad;
    for (int i = 0; i < 10; ++i) {
        const std::string id = "k" + std::to_string(i);
        kept.push_back(fixture.client());
        kept.back().send(DispatcherFixture::post(id));
        fixture.at_runner(id).send(DispatcherFixture::done(id));
        REQUIRE(fixture.until([&] { return kept.back().has("picture"); }));
    }
    for (int i = 0; i < 18; ++i)
        bad.push_back(fixture.client()), bad.back().send(i % 2 ? "" : "POST "), fixture.turn();
    fixture.pass(150);
    TestConnection early =
        fixture.client();  // said its request before the loop turns, with twenty silent ones behind it
    early.send(DispatcherFixture::post("early"));
    for (int i = 0; i < 20; ++i) bad.push_back(fixture.client());
    fixture.at_runner("early").send(DispatcherFixture::done("early", "early"));
    CHECK(fixture.until([&] { return early.has("early"); }));
    CHECK(std::none_of(kept.begin(), kept.end(), [](TestConnection& wire) { return wire.ended(); }));
    CHECK(std::count_if(bad.begin(), bad.end(), [](TestConnection& wire) { return wire.ended(); }) >= 18);
}

TEST_CASE("idle connections make room when descriptors are short, and accepting goes on") {
    DispatcherFixture fixture;  // of 64 descriptors 18 are the process's own and 18 the runners'
    std::vector<TestConnection> idle;
    for (int i = 0; i < 45; ++i) idle.push_back(fixture.client()), fixture.turn();
    TestConnection late = fixture.client();
    late.send("GET /healthz HTTP/1.1\r\n\r\n");
    CHECK(fixture.until([&] { return late.has("HTTP/1.1 200"); }));
    CHECK(fixture.until([&] { return idle[0].ended(); }));  // the one idle for longest went
    CHECK_FALSE(idle[44].ended());
}

TEST_CASE("a task beyond what descriptors allow is turned away at once, and those before it are served") {
    DispatcherFixture fixture(1, "pure", "",
                              "\"memory_mb\":64,\"sockets\":28");  // four for runners, six for clients
    std::vector<TestConnection> clients;
    for (int i = 0; i < 6; ++i) {
        clients.push_back(fixture.client());
        clients.back().send(DispatcherFixture::post("r" + std::to_string(i)));
        fixture.at_runner("r0");
    }
    TestConnection& runner = fixture.at_runner("r0");
    TestConnection late = fixture.client();
    late.send(DispatcherFixture::post("late"));
    CHECK(fixture.until([&] { return late.has("HTTP/1.1 503") && late.ended(); }));
    CHECK(late.has("Retry-After: 1.500\r\n"));
    runner.send(DispatcherFixture::done("r0"));
    CHECK(fixture.until([&] { return clients[0].has("picture"); }));
    RunnerLinkFixture s;  // of whose links four may be open
    for (int i = 0; i < 5; ++i) s.assign();
    REQUIRE(s.ended.size() == 1);
    CHECK(s.ended.back().ending == CloseReason::out_of_sockets);
}

TEST_CASE("clients that do not read use a bounded amount of memory") {
    DispatcherFixture fixture;
    TestConnection deaf = fixture.client();
    const std::string ask = "GET /healthz HTTP/1.1\r\n\r\n";
    for (int i = 0; i < 20'000; ++i) {
        deaf.send(ask);
        if (i % 100 == 0) fixture.turn();
    }
    CHECK(fixture.until([&] { return fixture.loop.block_pool().in_use() < 200; }));
    TestConnection other = fixture.client();
    other.send(ask);
    CHECK(fixture.until([&] { return other.has("HTTP/1.1 200"); }));
}

TEST_CASE("a start from the known list serves while discovery is down, and retries discovery") {
    DispatcherFixture fixture;
    CHECK(fixture.until([&] { return !fixture.discovery.connections().empty(); }));
    CHECK(fixture.until([&] {
        return fixture.discovery.connections()[0].has("GET /v1/servers?follow=1&since=7 HTTP/1.1\r\n");
    }));
    fixture.discovery.connections()[0].reset();
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("r1"));
    fixture.at_runner("r1").send(DispatcherFixture::done("r1"));
    CHECK(fixture.until([&] { return client.has("picture"); }));
    CHECK(fixture.until([&] { return fixture.discovery.connections().size() == 2; }));
    fixture.discovery.connections()[1].send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    CHECK(fixture.until([&] { return fixture.discovery.connections().size() == 3; }));
    fixture.discovery.connections()[2].send(DispatcherFixture::taken +
                                            DispatcherFixture::chunk("{\"version\":8,\"full\":fal"));
    fixture.pass(20);
    fixture.discovery.connections()[2].send(DispatcherFixture::chunk("se,\"serv}\n"));
    CHECK(fixture.until([&] { return fixture.discovery.connections().size() == 4; }));
    CHECK(fixture.discovery.connections()[3].has(""));
    CHECK(fixture.said.str().find("a line cannot be read") != std::string::npos);
}

TEST_CASE("a watch is read line by line, and requested again once it is silent") {
    DispatcherFixture fixture(2);
    REQUIRE(fixture.until([&] {
        return !fixture.discovery.connections().empty() && fixture.discovery.connections()[0].has("\r\n\r\n");
    }));
    TestConnection& watch = fixture.discovery.connections()[0];
    watch.send(DispatcherFixture::taken + DispatcherFixture::chunk(fixture.list(9, "SERVING", true) + "\n") +
               DispatcherFixture::chunk("\n"));
    fixture.pass(20);
    std::string gone = fixture.list(10, "DRAINING", false);
    gone = gone.substr(0, gone.find("},{") + 1) + "]}";  // the first only
    watch.send(DispatcherFixture::chunk(gone + "\n"));
    fixture.pass(20);
    TestConnection client = fixture.client();
    for (const std::string id : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
        client.send(DispatcherFixture::post(id));
        fixture.at_runner(id).send(DispatcherFixture::done(id, id));
        REQUIRE(fixture.until([&] { return client.has("\r\n\r\n" + id); }));
    }
    CHECK(fixture.runner_listeners[0]->connections().empty());
    REQUIRE(fixture.until([&] { return fixture.discovery.connections().size() == 2; }, 4500));
    CHECK(fixture.until([&] { return fixture.discovery.connections()[1].has("since=10 HTTP/1.1"); }));
}

TEST_CASE("when discovery pushes changes, the watch is opened at the start, and again when it ends") {
    DispatcherFixture fixture(1, "pure", "", "\"memory_mb\":64,\"sockets\":64", "pushed");
    REQUIRE(fixture.until([&] { return !fixture.discovery.connections().empty(); }));
    CHECK(fixture.until([&] { return fixture.discovery.connections()[0].has("follow=1&since=7 HTTP/1.1"); }));
    fixture.discovery.connections()[0].hang_up();
    CHECK(fixture.until([&] { return fixture.discovery.connections().size() == 2; }));
}

TEST_CASE("a reload moves to another discovery address, and ignores later answers of the old one") {
    DispatcherFixture fixture;
    const auto watched = [](TestListener& listener, const std::string& since) {
        return !listener.connections().empty() &&
               listener.connections()[0].has("follow=1&since=" + since + " HTTP/1.1\r\n");
    };
    REQUIRE(fixture.until([&] { return watched(fixture.discovery, "7"); }));
    TestConnection& old = fixture.discovery.connections()[0];
    old.send(DispatcherFixture::taken + DispatcherFixture::chunk(fixture.list(9, "SERVING", true) + "\n"));
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("r1"));
    TestConnection& runner = fixture.at_runner("r1");
    TestListener moved, again;
    fixture.reload(fixture.with(fixture.discovery.address(), moved.address()));
    REQUIRE(fixture.until([&] { return watched(moved, "0"); }, 200));
    old.send(DispatcherFixture::chunk(fixture.list(10, "DRAINING", true) + "\n"));
    moved.connections()[0].send(
        DispatcherFixture::taken +
        DispatcherFixture::chunk(fixture.list(2, "SERVING", true) + "\n"));  // counts otherwise
    fixture.pass(50);
    old.hang_up();
    runner.send(DispatcherFixture::done("r1"));  // what was under way, and its connections, live on
    REQUIRE(fixture.until([&] { return client.has("picture"); }));
    client.send(DispatcherFixture::post("r2"));
    fixture.at_runner("r2").send(DispatcherFixture::done("r2", "second"));
    REQUIRE(fixture.until([&] { return client.has("second"); }));
    CHECK(fixture.runner_listeners[0]->connections().size() == 1);
    // Any number of times, also while it leaves.
    fixture.dispatcher->shut_down();
    fixture.reload(fixture.with(fixture.discovery.address(), again.address()));
    CHECK(fixture.until([&] { return watched(again, "0") && moved.connections()[0].ended(); }, 200));
    CHECK(fixture.until([&] { return fixture.loop.is_stopping(); }));
}

TEST_CASE("a reload that cannot be read changes nothing, and what needs a restart is named") {
    DispatcherFixture fixture;
    const std::string moved = fixture.with(fixture.discovery.address(), "127.0.0.1:9");
    REQUIRE(fixture.until([&] { return !fixture.discovery.connections().empty(); }));
    for (const auto& [words, why] : std::vector<std::pair<std::string, std::string>>{
             {"", "cannot read the configuration"},
             {moved.substr(0, moved.size() / 2), "is not JSON"},
             {fixture.with(fixture.discovery.address(), "nowhere"), "the discovery address is none: nowhere"},
             {fixture.with("\"due_time_us\":600000", "\"due_time_us\":\"soon\""), "is not a number: soon"}}) {
        fixture.reload(words);
        CHECK_MESSAGE(fixture.said.str().find(why) != std::string::npos, fixture.said.str());
        CHECK(fixture.said.str().ends_with("; the old configuration stays\n"));
        fixture.said.str("");
    }
    fixture.reload(fixture.with("\"sockets\":64", "\"sockets\":65"));
    CHECK(fixture.said.str().find("limits differs, and needs a restart") != std::string::npos);
    fixture.pass(50);
    CHECK_FALSE(fixture.discovery.connections()[0].ended());
    CHECK(fixture.discovery.connections().size() == 1);
}

TEST_CASE("the whole list is asked for once, counted, chunked or to the end of the connection") {
    net::Loop loop(64);
    TestListener discovery;
    std::ostringstream said;
    log::Log log(said, log::Level::debug);
    std::vector<std::uint32_t> versions;
    int failures = 0;
    membership::DiscoveryClient follower(
        loop, *net::Address::parse(discovery.address()), log,
        [&](const membership::EndpointList& listing) { return versions.push_back(listing.version), true; },
        [&] { ++failures; });
    const auto told = [&](const std::string& answer, bool hangs_up) {
        const std::size_t before = discovery.connections().size();
        follower.fetch();
        bool spoken = false;
        for (const Micros end = net::Loop::now() + 300'000; net::Loop::now() < end; usleep(200)) {
            loop.run_once(false);
            if (spoken || discovery.connections().size() == before) continue;
            if (!discovery.connections().back().has("GET /v1/servers HTTP/1.1\r\n")) continue;
            discovery.connections().back().send(answer);
            if (hangs_up) discovery.connections().back().hang_up();
            spoken = true;
        }
        follower.erase_ended();
    };
    const auto list = [](int version) {
        return "{\"version\":" + std::to_string(version) + ",\"full\":true,\"servers\":[]}";
    };
    told("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list(1).size()) + "\r\n\r\n" + list(1),
         false);
    told(lines(list(2) + "\n"), false);
    told("HTTP/1.1 200 OK\r\n\r\n" + list(3), true);
    CHECK(versions == std::vector<std::uint32_t>{1, 2, 3});
    CHECK(failures == 0);
    told("HTTP/1.1 503 Busy\r\n\r\n", true);
    CHECK(versions.size() == 3);
    CHECK(failures == 1);
}

TEST_CASE("peers exchange datagrams, and those from unknown addresses are ignored") {
    const auto free_port = [] {
        return *net::Address::parse("127.0.0.1:" + std::to_string(TestListener(-1).port));
    };
    const peers::PeerAddresses first{free_port(), {}, 0}, second{free_port(), {}, 1},
        unknown_peer{free_port(), {}, 0};
    net::Loop loop(16);
    std::vector<std::string> received;
    const auto make_channel = [&](peers::PeerAddresses addresses) {
        addresses.all = {*first.listen, *second.listen};
        return std::make_unique<peers::PeerChannel>(
            loop, addresses,
            [&received, own_index = addresses.own_index](PeerId from, std::string_view message) {
                received.push_back(std::to_string(static_cast<unsigned>(from)) + ">" +
                                   std::to_string(own_index) + std::string(message));
            });
    };
    const auto first_channel = make_channel(first), second_channel = make_channel(second),
               unknown = make_channel(unknown_peer);
    first_channel->broadcast("a");
    second_channel->send(PeerId{0}, "b");
    second_channel->send(PeerId{7}, "c");
    first_channel->send(PeerId{1}, std::string(300, 'd'));
    unknown->send(PeerId{1}, "e");
    for (int i = 0; i < 100; ++i) loop.run_once(false), usleep(200);
    std::sort(received.begin(), received.end());
    CHECK(received == std::vector<std::string>{"0>1a", "1>0b"});
}

TEST_CASE("a shutdown loses no task: late requests are served, then all connections are closed") {
    DispatcherFixture fixture(2);
    TestConnection kept = fixture.client(), waiting = fixture.client();
    waiting.send(DispatcherFixture::post("r1", "X-Timeout: 20000m\r\n"));
    fixture.at_runner("r1");
    fixture.dispatcher->shut_down();
    fixture.pass(200);
    TestConnection late = fixture.client();
    late.send(DispatcherFixture::post("r2"));
    fixture.at_runner("r2").send(DispatcherFixture::done("r2", "late"));
    CHECK(fixture.until([&] { return late.has("late"); }));
    CHECK(fixture.until([&] { return kept.ended() && late.ended(); },
                        1000));  // idle ones, once nobody new comes
    CHECK_FALSE(fixture.loop.is_stopping());
    // The runner stays silent, so the task is answered before the system would kill the process.
    CHECK(fixture.until([&] { return waiting.has("HTTP/1.1 503"); }, 3000));
    CHECK(waiting.has("Connection: close\r\n"));
    CHECK(fixture.until([&] { return fixture.loop.is_stopping(); }, 500));
}

TEST_CASE("neither a silent client nor half a request delays a shutdown") {
    DispatcherFixture fixture;
    TestConnection silent = fixture.client(), half = fixture.client();
    half.send("POST /render");
    fixture.pass(20);
    fixture.dispatcher->shut_down();
    fixture.pass(600);
    TestConnection late = fixture.client();
    late.send("POST /render");
    CHECK(fixture.until([&] { return fixture.loop.is_stopping(); }, 800));
    CHECK(half.has("HTTP/1.1 408"));
    CHECK(late.has("HTTP/1.1 408"));
}

TEST_CASE(
    "during a shutdown kept connections are served for half of the time, as no other may be ready yet") {
    DispatcherFixture fixture(1, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "3000000");
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("r1"));
    fixture.at_runner("r1").send(DispatcherFixture::done("r1"));
    REQUIRE(fixture.until([&] { return client.has("picture"); }));
    fixture.dispatcher->shut_down();
    fixture.pass(1500);
    client.send(DispatcherFixture::post("r2"));
    fixture.at_runner("r2").send(DispatcherFixture::done("r2", "second"));
    CHECK(fixture.until([&] { return client.has("second"); }));
    CHECK(fixture.until([&] { return client.ended() && fixture.loop.is_stopping(); }, 500));
}
