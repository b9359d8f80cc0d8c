// Requests to the admin address, and taking the dispatcher out of service and back, on loopback sockets.
#include "helpers.hpp"

using namespace gannethold;

namespace {

bool has_status(const std::string& response, int status) {
    return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}
bool is_ok(const std::string& response) { return has_status(response, 200); }

DispatcherFixture make_fixture(const std::string& limits = "\"memory_mb\":64,\"sockets\":96",
                               const std::string& effect = "pure", const std::string& caps = "") {
    return DispatcherFixture(1, effect, caps, limits, "on_request", "900000", {},
                             DispatcherFixture::with_admin_server());
}

std::string health(DispatcherFixture& fixture) {
    TestConnection load_balancer = fixture.client();
    load_balancer.send("GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n");
    fixture.until([&] { return load_balancer.has("\r\n\r\n"); }, 500);
    return load_balancer.got;
}

double metric(DispatcherFixture& fixture, const std::string& name) {
    const std::string all = fixture.call("GET", "/control/counters");
    const auto at = all.find("\n" + name + " ");
    REQUIRE_MESSAGE(at != std::string::npos, all);
    return std::stod(all.substr(at + name.size() + 2));
}

}  // namespace

TEST_CASE("without an admin address nothing listens beside the clients' address") {
    CHECK(DispatcherFixture().dispatcher->admin_port() == 0);
}

TEST_CASE("an invalid request is rejected and changes nothing") {
    DispatcherFixture fixture = make_fixture();
    CHECK(is_ok(fixture.call("GET", "/control/ready")));
    CHECK(has_status(fixture.call("GET", "/control"), 404));
    CHECK(has_status(fixture.call("POST", "/control/ready"), 405));
    CHECK(has_status(fixture.call("GET", "/control/out-of-service"), 405));
    CHECK(has_status(fixture.call("DELETE", "/control/in-service"), 405));
    for (const std::string words : {"POST /control/out-of-service HTTP/9\r\n\r\n", "\r\r\r\nPOST",
                                    "POST /control/out-of-service HTTP/1.1\r\nContent-Length: -1\r\n\r\n"}) {
        TestConnection wire = fixture.caller(words);
        REQUIRE(fixture.until([&] { return wire.ended(); }, 3000));
        CHECK(wire.got.starts_with("HTTP/1.1 "));
        CHECK(wire.got[9] != '2');
    }
    // An incomplete request has no effect.
    fixture.caller("POST /control/out-of-service HTTP/1.1\r\nContent-Length: 5\r\n\r\n12").hang_up();
    fixture.pass(20);
    CHECK(is_ok(fixture.call("GET", "/control/ready")));
    CHECK(is_ok(health(fixture)));
}

TEST_CASE("a request in any fragments is answered, and only one per connection") {
    DispatcherFixture fixture = make_fixture();
    const std::string words = "GET /control/ready HTTP/1.1\r\nHost: n\r\n\r\n";
    for (std::size_t at = 1; at < words.size(); ++at) {
        TestConnection wire = fixture.caller(words.substr(0, at));
        fixture.turn();
        wire.send(words.substr(at));
        REQUIRE(fixture.until([&] { return wire.ended(); }, 1000));
        CHECK(is_ok(wire.got));
        CHECK(wire.got.find("Connection: close") != std::string::npos);
    }
}

TEST_CASE("silent or incomplete admin requests affect neither other admin requests nor clients") {
    DispatcherFixture fixture = make_fixture("\"memory_mb\":64,\"sockets\":96");
    std::vector<TestConnection> idlers;
    for (int i = 0; i < 120; ++i) {
        idlers.push_back(fixture.caller(i % 2 ? "POST /control/out-of" : ""));
        fixture.turn();
    }
    const Micros requested_at = net::Loop::now();
    CHECK(is_ok(fixture.call("GET", "/control/ready")));
    CHECK(net::Loop::now() - requested_at < 500'000);
    std::vector<TestConnection> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(fixture.client());
        clients.back().send(DispatcherFixture::post("c" + std::to_string(i)));
    }
    REQUIRE(fixture.until([&] { return metric(fixture, "app_outstanding") == 20; }, 900));
    CHECK(fixture.until(
        [&] {
            return std::all_of(idlers.begin(), idlers.end(), [](TestConnection& w) { return w.ended(); });
        },
        3000));
}

TEST_CASE("the metrics count answers, assignments and reloads") {
    DispatcherFixture fixture(2, "pure", "", "\"memory_mb\":64,\"sockets\":96", "on_request", "900000", {},
                              DispatcherFixture::with_admin_server());
    CHECK(metric(fixture, "app_succeeded_total{service=\"render\"}") == 0);
    CHECK(metric(fixture, "app_discovered") == 2);
    for (int i = 0; i < 5; ++i) {
        const std::string id = "f" + std::to_string(i);
        TestConnection client = fixture.client();
        client.send(DispatcherFixture::post(id));
        fixture.at_runner(id).send(DispatcherFixture::done(id));
        REQUIRE(fixture.until([&] { return client.has("picture"); }));
    }
    TestConnection waits = fixture.client();
    waits.send(DispatcherFixture::post("w"));
    fixture.at_runner("w");
    CHECK(metric(fixture, "app_outstanding") == 1);
    CHECK(metric(fixture, "app_forwards_total") == 6);
    // After its expiry the idempotent task is rejected; a client that disconnected before is not counted.
    REQUIRE(fixture.until([&] { return waits.has("503"); }));
    TestConnection left = fixture.client();
    left.send(DispatcherFixture::post("l"));
    fixture.at_runner("l");
    left.hang_up();
    REQUIRE(fixture.until([&] { return metric(fixture, "app_outstanding") == 0; }));
    CHECK(metric(fixture, "app_succeeded_total{service=\"render\"}") == 5);
    CHECK(metric(fixture, "app_declined_total{service=\"render\"}") == 1);
    CHECK(metric(fixture, "app_aborted_total{service=\"render\"}") == 0);
    const double written = metric(fixture, "app_forwards_total");
    CHECK(written >= 7);
    CHECK(written == static_cast<double>(fixture.dispatcher->counters().assignments_written()));
    fixture.reload(fixture.text);
    fixture.reload("{");
    fixture.reload("");
    CHECK(metric(fixture, "app_sighup_applied_total") == 1);
    CHECK(metric(fixture, "app_sighup_rejected_total") == 2);
    // A runner that cannot be reached is ejected.
    CHECK(metric(fixture, "app_ejected") == 0);
    for (TestConnection& wire : fixture.runner_listeners[0]->connections()) wire.hang_up();
    fixture.runner_listeners[0]->shut();
    std::vector<TestConnection> more;
    for (int i = 0; i < 20 && metric(fixture, "app_ejected") == 0; ++i) {
        more.push_back(fixture.client());
        more.back().send(DispatcherFixture::post("x" + std::to_string(i)));
        fixture.pass(20);
    }
    CHECK(metric(fixture, "app_ejected") == 1);
}

TEST_CASE("an assignment counts once its last byte is written, and a connect that fails never does") {
    DispatcherFixture fixture(1, "side_effect", "", "\"memory_mb\":64,\"sockets\":96", "on_request", "900000",
                              {}, DispatcherFixture::with_admin_server());
    fixture.runner_listeners[0]->shut();
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("a"));
    REQUIRE(fixture.until([&] { return client.has("503") || client.has("502"); }));
    CHECK(metric(fixture, "app_forwards_total") == 0);
    CHECK(metric(fixture, "app_succeeded_total{service=\"render\"}") == 0);
}

TEST_CASE("out of service, clients are notified at once, lose no task, and close within four seconds") {
    DispatcherFixture fixture = make_fixture();
    TestConnection idle = fixture.client();
    TestConnection busy = fixture.client();
    idle.send(DispatcherFixture::post("i"));
    fixture.at_runner("i").send(DispatcherFixture::done("i"));
    REQUIRE(fixture.until([&] { return idle.has("picture"); }));
    busy.send(DispatcherFixture::post("b"));
    TestConnection& runner = fixture.at_runner("b");
    const Micros from = net::Loop::now();
    CHECK(is_ok(fixture.call("POST", "/control/out-of-service")));
    CHECK(has_status(health(fixture), 503));
    CHECK(net::Loop::now() - from < 100'000);
    CHECK(has_status(fixture.call("GET", "/control/ready"), 503));
    CHECK(is_ok(fixture.call("POST", "/control/out-of-service")));  // a repeated request changes nothing
    // Until the load balancer has noticed, new clients are still served.
    TestConnection late = fixture.client();
    late.send(DispatcherFixture::post("l"));
    runner.send(DispatcherFixture::done("b"));
    fixture.at_runner("l").send(DispatcherFixture::done("l"));
    CHECK(fixture.until([&] { return busy.has("picture") && late.has("picture"); }, 300));
    CHECK(fixture.until([&] { return idle.ended() && busy.ended() && late.ended(); }, 1500));
    fixture.pass(static_cast<int>((from + 1'800'000 - net::Loop::now()) / 1000));
    TestConnection after = fixture.client();
    after.send(DispatcherFixture::post("a"));
    CHECK(fixture.until([&] { return after.ended(); }, 300));
    CHECK(after.has("503"));
    CHECK(after.has("Retry-After"));
    CHECK(metric(fixture, "app_declined_total{service=\"render\"}") == 1);
    // Back in service; a repeated request changes nothing.
    CHECK(is_ok(fixture.call("POST", "/control/in-service")));
    CHECK(is_ok(health(fixture)));
    CHECK(is_ok(fixture.call("POST", "/control/in-service")));
    TestConnection again = fixture.client();
    again.send(DispatcherFixture::post("g"));
    fixture.at_runner("g").send(DispatcherFixture::done("g"));
    CHECK(fixture.until([&] { return again.has("picture"); }));
    CHECK_FALSE(again.ended());
}

TEST_CASE(
    "a request that has half arrived when the dispatcher goes out of service is completed and answered") {
    DispatcherFixture fixture = make_fixture();
    TestConnection half = fixture.client();
    const std::string words = DispatcherFixture::post("h");
    half.send(words.substr(0, words.size() - 2));
    fixture.pass(20);
    CHECK(is_ok(fixture.call("POST", "/control/out-of-service")));
    fixture.pass(600);  // connections are being closed by now
    half.send(words.substr(words.size() - 2));
    fixture.at_runner("h").send(DispatcherFixture::done("h"));
    CHECK(fixture.until([&] { return half.has("picture") && half.ended(); }, 500));
}

TEST_CASE("the admin address and the control socket control the same drain, and a signal ends both") {
    DispatcherFixture fixture = make_fixture();
    auto& handler = static_cast<control::RequestHandler&>(*fixture.dispatcher);
    json::Object order;
    order["deadline_s"] = json::Value(json::Number{"60"});
    handler.on_request("drain", json::Value(order), "ada");
    CHECK(is_ok(fixture.call("POST", "/control/out-of-service")));
    const std::string refused = fixture.call("POST", "/control/in-service");
    CHECK(has_status(refused, 409));
    CHECK(refused.find("the order of ada stands") != std::string::npos);
    CHECK(has_status(health(fixture), 503));
    // During a reload, and together with a signal.
    fixture.reload(fixture.text);
    CHECK(has_status(fixture.call("GET", "/control/ready"), 503));
    fixture.dispatcher->shut_down();
    CHECK(is_ok(fixture.call("POST", "/control/out-of-service")));
    CHECK(has_status(fixture.call("POST", "/control/in-service"), 409));
    CHECK(fixture.until([&] { return fixture.loop.is_stopping(); }, 4000));
}
