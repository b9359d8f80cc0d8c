// What operators' programs call, and clients sent away and back: on sockets, against scripted peers.
#include "helpers.hpp"
#include "window/words.hpp"

using namespace gannethold;

namespace {

bool yes(const std::string& answer) { return answer.starts_with("HTTP/1.1 200 "); }
bool no(const std::string& answer, int status) {
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

Town a_town(const std::string& limits = "\"memory_mb\":64,\"sockets\":96", const std::string& effect = "pure",
            const std::string& caps = "") {
    return Town(1, effect, caps, limits, "on_request", "900000", {}, Town::with_window());
}

std::string health(Town& town) {
    Wire front = town.client();
    front.say("GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n");
    town.until([&] { return front.has("\r\n\r\n"); }, 500);
    return front.got;
}

double figure(Town& town, const std::string& name) {
    const std::string all = town.call("GET", "/control/counters");
    const auto at = all.find("\n" + name + " ");
    REQUIRE_MESSAGE(at != std::string::npos, all);
    return std::stod(all.substr(at + name.size() + 2));
}

}  // namespace

TEST_CASE("nothing listens beside the clients' address where no second one is named") {
    CHECK(Town().dispatcher->window_port() == 0);
}

TEST_CASE("a call that is none is told so and changes nothing") {
    Town town = a_town();
    CHECK(yes(town.call("GET", "/control/ready")));
    CHECK(no(town.call("GET", "/control"), 404));
    CHECK(no(town.call("POST", "/control/ready"), 405));
    CHECK(no(town.call("GET", "/control/out-of-service"), 405));
    CHECK(no(town.call("DELETE", "/control/in-service"), 405));
    for (const std::string words : {"POST /control/out-of-service HTTP/9\r\n\r\n", "\r\r\r\nPOST",
                                    "POST /control/out-of-service HTTP/1.1\r\nContent-Length: -1\r\n\r\n"}) {
        Wire wire = town.caller(words);
        REQUIRE(town.until([&] { return wire.ended(); }, 3000));
        CHECK(wire.got.starts_with("HTTP/1.1 "));
        CHECK(wire.got[9] != '2');
    }
    // Half a call is none, whatever the rest would have said.
    town.caller("POST /control/out-of-service HTTP/1.1\r\nContent-Length: 5\r\n\r\n12").hang_up();
    town.pass(20);
    CHECK(yes(town.call("GET", "/control/ready")));
    CHECK(yes(health(town)));
}

TEST_CASE("a call in any pieces is heard, and one to a connection") {
    Town town = a_town();
    const std::string words = "GET /control/ready HTTP/1.1\r\nHost: n\r\n\r\n";
    for (std::size_t at = 1; at < words.size(); ++at) {
        Wire wire = town.caller(words.substr(0, at));
        town.turn();
        wire.say(words.substr(at));
        REQUIRE(town.until([&] { return wire.ended(); }, 1000));
        CHECK(yes(wire.got));
        CHECK(wire.got.find("Connection: close") != std::string::npos);
    }
}

TEST_CASE("callers who say nothing, or half a call, cost neither a caller nor a client anything") {
    Town town = a_town("\"memory_mb\":64,\"sockets\":96");
    std::vector<Wire> idlers;
    for (int i = 0; i < 120; ++i) {
        idlers.push_back(town.caller(i % 2 ? "POST /control/out-of" : ""));
        town.turn();
    }
    const Micros asked_at = net::Loop::now();
    CHECK(yes(town.call("GET", "/control/ready")));
    CHECK(net::Loop::now() - asked_at < 500'000);
    std::vector<Wire> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(town.client());
        clients.back().say(Town::post("c" + std::to_string(i)));
    }
    REQUIRE(town.until([&] { return figure(town, "app_outstanding") == 20; }, 900));
    CHECK(town.until(
        [&] { return std::all_of(idlers.begin(), idlers.end(), [](Wire& w) { return w.ended(); }); }, 3000));
}

TEST_CASE("the figures are those of the day that was played") {
    Town town(2, "pure", "", "\"memory_mb\":64,\"sockets\":96", "on_request", "900000", {},
              Town::with_window());
    CHECK(figure(town, "app_succeeded_total{service=\"render\"}") == 0);
    CHECK(figure(town, "app_discovered") == 2);
    for (int i = 0; i < 5; ++i) {
        const std::string id = "f" + std::to_string(i);
        Wire client = town.client();
        client.say(Town::post(id));
        town.at_runner(id).say(Town::done(id));
        REQUIRE(town.until([&] { return client.has("picture"); }));
    }
    Wire waits = town.client();
    waits.say(Town::post("w"));
    town.at_runner("w");
    CHECK(figure(town, "app_outstanding") == 1);
    CHECK(figure(town, "app_forwards_total") == 6);
    // Beyond its time the pure task is bounced; whoever left before is in no count.
    REQUIRE(town.until([&] { return waits.has("503"); }));
    Wire left = town.client();
    left.say(Town::post("l"));
    town.at_runner("l");
    left.hang_up();
    REQUIRE(town.until([&] { return figure(town, "app_outstanding") == 0; }));
    CHECK(figure(town, "app_succeeded_total{service=\"render\"}") == 5);
    CHECK(figure(town, "app_declined_total{service=\"render\"}") == 1);
    CHECK(figure(town, "app_aborted_total{service=\"render\"}") == 0);
    const double written = figure(town, "app_forwards_total");
    CHECK(written >= 7);
    CHECK(written == static_cast<double>(town.dispatcher->tally().written()));
    town.reload(town.text);
    town.reload("{");
    town.reload("");
    CHECK(figure(town, "app_sighup_applied_total") == 1);
    CHECK(figure(town, "app_sighup_rejected_total") == 2);
    // A runner that cannot be reached is avoided, and the module's word for it is the figure.
    CHECK(figure(town, "app_ejected") == 0);
    for (Wire& wire : town.doors[0]->guests()) wire.hang_up();
    town.doors[0]->shut();
    std::vector<Wire> more;
    for (int i = 0; i < 20 && figure(town, "app_ejected") == 0; ++i) {
        more.push_back(town.client());
        more.back().say(Town::post("x" + std::to_string(i)));
        town.pass(20);
    }
    CHECK(figure(town, "app_ejected") == 1);
}

TEST_CASE("an assignment counts once its last byte is written, and a connect that fails never does") {
    Town town(1, "side_effect", "", "\"memory_mb\":64,\"sockets\":96", "on_request", "900000", {},
              Town::with_window());
    town.doors[0]->shut();
    Wire client = town.client();
    client.say(Town::post("a"));
    REQUIRE(town.until([&] { return client.has("503") || client.has("502"); }));
    CHECK(figure(town, "app_forwards_total") == 0);
    CHECK(figure(town, "app_succeeded_total{service=\"render\"}") == 0);
}

TEST_CASE(
    "a workload that ended its quotes would end the figures: it is escaped, and a dropped one keeps its "
    "counts") {
    figures::Tally tally;
    tally.open("a\"b\\c\nd");
    tally.ended("gone", fronts::Answer::abandoned);
    tally.ended("gone", fronts::Answer::finished);
    const std::string all = window::spell(tally, {3, 2, 1});
    CHECK(all.find("app_succeeded_total{service=\"a\\\"b\\\\c\\nd\"} 0\n") != std::string::npos);
    CHECK(all.find("app_aborted_total{service=\"gone\"} 1\n") != std::string::npos);
    tally.open("gone");
    CHECK(tally.ends().at("gone").finished == 1);
    for (const std::string line :
         {"app_outstanding 3\n", "app_discovered 2\n", "app_ejected 1\n", "app_sighup_applied_total 0\n"})
        CHECK(all.find(line) != std::string::npos);
}

TEST_CASE("sent away, clients are told at once, lose nothing, and are gone well inside four seconds") {
    Town town = a_town();
    Wire idle = town.client(), busy = town.client();
    idle.say(Town::post("i"));
    town.at_runner("i").say(Town::done("i"));
    REQUIRE(town.until([&] { return idle.has("picture"); }));
    busy.say(Town::post("b"));
    Wire& runner = town.at_runner("b");
    const Micros from = net::Loop::now();
    CHECK(yes(town.call("POST", "/control/out-of-service")));
    CHECK(no(health(town), 503));
    CHECK(net::Loop::now() - from < 100'000);
    CHECK(no(town.call("GET", "/control/ready"), 503));
    CHECK(yes(town.call("POST", "/control/out-of-service")));  // twice is once
    // Before the front has noticed whoever still comes is served.
    Wire late = town.client();
    late.say(Town::post("l"));
    runner.say(Town::done("b"));
    town.at_runner("l").say(Town::done("l"));
    CHECK(town.until([&] { return busy.has("picture") && late.has("picture"); }, 300));
    CHECK(town.until([&] { return idle.ended() && busy.ended() && late.ended(); }, 1500));
    town.pass(static_cast<int>((from + 1'800'000 - net::Loop::now()) / 1000));
    Wire after = town.client();
    after.say(Town::post("a"));
    CHECK(town.until([&] { return after.ended(); }, 300));
    CHECK(after.has("503"));
    CHECK(after.has("Retry-After"));
    CHECK(figure(town, "app_declined_total{service=\"render\"}") == 1);
    // And back, also twice; an order while it serves is one it carries out already.
    CHECK(yes(town.call("POST", "/control/in-service")));
    CHECK(yes(health(town)));
    CHECK(yes(town.call("POST", "/control/in-service")));
    Wire again = town.client();
    again.say(Town::post("g"));
    town.at_runner("g").say(Town::done("g"));
    CHECK(town.until([&] { return again.has("picture"); }));
    CHECK_FALSE(again.ended());
}

TEST_CASE("a request that is half here when clients are sent away is taken whole and answered") {
    Town town = a_town();
    Wire half = town.client();
    const std::string words = Town::post("h");
    half.say(words.substr(0, words.size() - 2));
    town.pass(20);
    CHECK(yes(town.call("POST", "/control/out-of-service")));
    town.pass(600);  // connections are being closed by now
    half.say(words.substr(words.size() - 2));
    town.at_runner("h").say(Town::done("h"));
    CHECK(town.until([&] { return half.has("picture") && half.ended(); }, 500));
}

TEST_CASE("orders at the window and on the control socket are one drain, and a signal ends both") {
    Town town = a_town();
    auto& office = static_cast<control::Office&>(*town.dispatcher);
    json::Object order;
    order["deadline_s"] = json::Value(json::Number{"60"});
    office.answer("drain", json::Value(order), "ada");
    CHECK(yes(town.call("POST", "/control/out-of-service")));
    const std::string refused = town.call("POST", "/control/in-service");
    CHECK(no(refused, 409));
    CHECK(refused.find("the order of ada stands") != std::string::npos);
    CHECK(no(health(town), 503));
    // In mid-reload, and with a signal beside it.
    town.reload(town.text);
    CHECK(no(town.call("GET", "/control/ready"), 503));
    town.dispatcher->leave();
    CHECK(yes(town.call("POST", "/control/out-of-service")));
    CHECK(no(town.call("POST", "/control/in-service"), 409));
    CHECK(town.until([&] { return town.loop.stopping(); }, 4000));
}
