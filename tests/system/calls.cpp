// Each call is answered once, to its caller, on every hop: sockets with scripted peers on loopback for the
// transport and for the leader's calls to the platform; the front's state machine against a slot table for
// what two of them believe of one call. Nothing sleeps: the loop is turned, for a bounded time, until what is
// expected holds.
#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE calls
#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.hpp"
#include "cluster/programs/coordinator.hpp"
#include "cluster/programs/run_end.hpp"
#include "cluster/proxy/request_handler.hpp"
#include "cluster/slots/slot_table.hpp"
#include "cluster/transport/http_caller.hpp"
#include "cluster/transport/http_service.hpp"
#include "peers.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMoreThanBuffersTake = 24U
                                             << 20;  // bytes: no pair of sockets on loopback takes so many
constexpr std::size_t kBlocks = 8192;

// ---- proxy to runner ----

HttpMessage request(const std::string& id, const std::string& method = "GET", std::string body = {}) {
    HttpMessage message;
    message.method = method;
    message.target = "/work/" + id;
    if (!id.empty()) message.fields.emplace_back("X-Attempt-Id", id);
    message.body = std::move(body);
    return message;
}

std::string answer(const std::string& id, const std::string& body, const std::string& more = {}) {
    return "HTTP/1.1 200 OK\r\n" + (id.empty() ? std::string() : "X-Attempt-Id: " + id + "\r\n") + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A caller, a scripted runner, and how each call ended.
struct Runner {
    struct ReleaseReason {
        HttpCaller::Call call = 0;
        CallEnd how = CallEnd::broken;
        HttpMessage message;
        bool fresh = false;
        bool within_call = false;  // told before call() had returned
    };

    explicit Runner(int receive_buffer = 0, std::size_t blocks = kBlocks)
        : loop(blocks),
          door(receive_buffer),
          caller(loop, {500'000, 8'000'000, 6, 16U << 20, "X-Attempt-Id"},
                 {[this](HttpCaller::Call call, CallEnd how, HttpMessage&& message, bool fresh) {
                     ended.push_back({call, how, std::move(message), fresh, calling});
                 }}) {}

    void call(const HttpMessage& message, bool on_new_connection = false) {
        calling = true;
        caller.call(++last, door.address(), message, on_new_connection);
        calling = false;
    }
    bool until(const std::function<bool()>& holds) { return turn_until(loop, holds); }
    // The connection on which that request came whole.
    Wire& wire_of(const std::string& id) {
        Wire* found = nullptr;
        BOOST_REQUIRE(until([&] {
            for (Wire& wire : door.guests())
                if (wire.has("/work/" + id + " HTTP/1.1\r\n") && wire.got.ends_with("\r\n\r\n"))
                    found = &wire;
            return found != nullptr;
        }));
        return *found;
    }
    const ReleaseReason& end_of(HttpCaller::Call call) {
        const ReleaseReason* found = nullptr;
        BOOST_REQUIRE(until([&] {
            for (const ReleaseReason& one : ended)
                if (one.call == call) found = &one;
            return found != nullptr;
        }));
        return *found;
    }
    // How a new call ends after the runner has said that and then done so.
    ReleaseReason after(
        const std::string& words, const std::function<void(Wire&)>& then = [](Wire&) {}) {
        const std::string id = "id" + std::to_string(last + 1);
        call(request(id));
        Wire& wire = wire_of(id);
        wire.say(words);
        then(wire);
        return end_of(last);
    }
    // A whole exchange, after which the connection is kept.
    Wire& exchange_before() {
        call(request("before"));
        Wire& wire = wire_of("before");
        wire.say(answer("before", "first"));
        BOOST_REQUIRE((end_of(last).how == CallEnd::answered));
        wire.got.clear();
        return wire;
    }

    net::Loop loop;
    Door door;
    bool calling = false;
    HttpCaller::Call last = 0;
    std::deque<ReleaseReason> ended;
    HttpCaller caller;
};

const auto kHangUp = [](Wire& wire) { wire.hang_up(); };
const auto kReset = [](Wire& wire) { wire.reset(); };

BOOST_AUTO_TEST_CASE(once_a_whole_head_may_have_arrived_a_call_is_never_unsent) {
    // A runner that begins with the head has begun, whatever became of the body.
    Runner runner(4096);
    runner.call(request("long", "POST", std::string(kMoreThanBuffersTake, 'x')));
    BOOST_REQUIRE(runner.until([&] {
        return !runner.door.guests().empty() &&
               runner.door.guests()[0].look(1024).got.find("\r\n\r\n") != std::string::npos;
    }));
    runner.door.guests()[0].reset();
    BOOST_TEST((runner.end_of(1).how == CallEnd::broken));
}

BOOST_AUTO_TEST_CASE(a_call_whose_head_was_cut_is_unsent) {
    Runner runner(4096);
    HttpMessage message = request("long");
    message.fields.emplace_back("X-Long", std::string(kMoreThanBuffersTake, 'x'));
    runner.call(message);
    BOOST_REQUIRE(runner.until(
        [&] { return !runner.door.guests().empty() && !runner.door.guests()[0].look(1024).got.empty(); }));
    runner.door.guests()[0].reset();
    BOOST_TEST((runner.end_of(1).how == CallEnd::unsent));
}

BOOST_AUTO_TEST_CASE(where_nobody_listens_nothing_was_sent) {
    Runner runner;
    runner.door.shut();
    runner.call(request("a"));
    BOOST_TEST((runner.end_of(1).how == CallEnd::unreachable));
}

BOOST_AUTO_TEST_CASE(a_call_that_went_out_and_got_no_answer_is_not_sent_again) {
    for (const bool kept : {false, true})
        for (const bool reset : {false, true}) {
            Runner runner;
            if (kept) runner.exchange_before();
            runner.call(request("once", "POST", ""));
            Wire& wire = runner.wire_of("once");
            if (reset)
                wire.reset();
            else
                wire.hang_up();
            BOOST_TEST((runner.end_of(runner.last).how == CallEnd::broken));
            runner.until([&, end = net::Loop::now() + 50'000] { return net::Loop::now() > end; });
            std::size_t times = 0;
            for (Wire& one : runner.door.guests()) times += count(one.look().got, "/work/once");
            BOOST_TEST(times == 1U);
            BOOST_TEST(runner.door.guests().size() == 1U);
        }
}

BOOST_AUTO_TEST_CASE(a_kept_connection_that_the_peer_has_ended_is_not_used) {
    for (const bool reset : {false, true}) {
        Runner runner;
        Wire& wire = runner.exchange_before();
        if (reset)
            wire.reset();
        else
            wire.hang_up();
        runner.call(request("next"));  // before the loop has come to the end of the connection
        runner.wire_of("next").say(answer("next", "second"));
        BOOST_TEST((runner.end_of(runner.last).how == CallEnd::answered));
    }
}

BOOST_AUTO_TEST_CASE(an_answer_that_was_cut_never_looks_whole) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\n";
    for (const auto& then : {std::function<void(Wire&)>(kHangUp), std::function<void(Wire&)>(kReset)}) {
        BOOST_TEST((Runner().after("HTTP/1.1 200", then).how == CallEnd::broken));
        BOOST_TEST((Runner().after(head, then).how == CallEnd::broken));
        BOOST_TEST((Runner().after(head + "Content-Length: 5\r\n\r\nhalf", then).how == CallEnd::broken));
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (const char* const cut : {"", "5\r\nhal", "5\r\nwhole", "5\r\nwhole\r\n", "5\r\nwhole\r\n0\r\n"})
            BOOST_TEST((Runner().after(chunked + cut, then).how == CallEnd::broken), cut);
    }
    // Without a length the end of the connection may as well be a cut.
    BOOST_TEST((Runner().after(head + "\r\nwhole", kHangUp).how == CallEnd::malformed));
    BOOST_TEST((Runner().after("SSH-2.0\r\n\r\n").how == CallEnd::malformed));
    BOOST_TEST((Runner().after(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole").how ==
                CallEnd::malformed));
}

BOOST_AUTO_TEST_CASE(an_answer_after_its_call_was_abandoned_reaches_nobody) {
    Runner runner;
    runner.call(request("silent"));
    Wire& silent = runner.wire_of("silent");
    runner.caller.abandon(1);
    runner.call(request("next"));
    Wire& next = runner.wire_of("next");
    BOOST_TEST(&silent != &next);
    silent.say(answer("silent", "late"));
    next.say(answer("next", "mine"));
    BOOST_TEST(runner.end_of(2).message.body == "mine");
    BOOST_TEST(runner.ended.size() == 1U);
    BOOST_TEST(silent.look().closed);
}

BOOST_AUTO_TEST_CASE(a_connection_that_said_more_than_its_answer_is_not_used_again) {
    // In one piece with the answer, or after it and before the next call.
    for (const bool at_once : {true, false}) {
        Runner runner;
        const std::string extra = answer("id1", "extra");
        runner.after(answer("id1", "first") + (at_once ? extra : std::string()),
                     [&](Wire&) { runner.until([&] { return !runner.ended.empty(); }); });
        Wire& old = runner.door.guests()[0];
        if (!at_once) old.say(extra);
        runner.call(request("next"));
        Wire& next = runner.wire_of("next");
        BOOST_TEST(&next != &old);
        next.say(answer("next", "mine"));
        BOOST_TEST(runner.end_of(2).message.body == "mine");
    }
}

BOOST_AUTO_TEST_CASE(an_answer_too_many_where_the_next_is_due_is_passed_over_and_ends_the_connection) {
    Runner runner;
    Wire& wire = runner.exchange_before();
    runner.call(request("next"));
    BOOST_TEST(&runner.wire_of("next") == &wire);
    wire.say(answer("before", "extra") + answer("next", "mine"));
    BOOST_TEST(runner.end_of(2).message.body == "mine");
    // What came once out of its turn may do so again.
    runner.call(request("third"));
    BOOST_TEST(&runner.wire_of("third") != &wire);
}

BOOST_AUTO_TEST_CASE(a_call_without_an_id_takes_no_answer_that_bears_one) {
    Runner runner;
    Wire& wire = runner.exchange_before();
    HttpMessage message = request("");
    message.target = "/work/nameless";
    runner.call(message);
    BOOST_TEST(&runner.wire_of("nameless") == &wire);
    wire.say(answer("before", "of another"));
    wire.say(answer("", "mine"));
    BOOST_TEST(runner.end_of(2).message.body == "mine");
}

BOOST_AUTO_TEST_CASE(an_answer_without_an_id_counts_as_no_promise_on_a_connection_that_served_others) {
    const std::string not_run = "HTTP/1.1 503 x\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    Runner fresh;
    const Runner::ReleaseReason first = fresh.after(not_run);
    BOOST_TEST((judge(first.how, first.message, first.fresh) == AttemptResult::not_run));
    Runner kept;
    kept.exchange_before();
    const Runner::ReleaseReason second = kept.after(not_run);
    BOOST_TEST((judge(second.how, second.message, second.fresh) == AttemptResult::may_have_run));
    // Nor on one where another's answer came first.
    Runner strange;
    const Runner::ReleaseReason third = strange.after(answer("another", "x") + not_run);
    BOOST_TEST((judge(third.how, third.message, third.fresh) == AttemptResult::may_have_run));
}

BOOST_AUTO_TEST_CASE(only_what_the_runner_states_is_a_promise) {
    const auto judged = [](int status, std::vector<std::pair<std::string, std::string>> fields) {
        HttpMessage message;
        message.status = status;
        message.fields = std::move(fields);
        return judge(CallEnd::answered, message, false);
    };
    const std::pair<std::string, std::string> id{"X-Attempt-Id", "a"}, not_run{"X-Request-Not-Run", "full"};
    BOOST_TEST((judged(200, {id}) == AttemptResult::answered));
    BOOST_TEST((judged(404, {id}) == AttemptResult::answered));
    BOOST_TEST((judged(200, {}) == AttemptResult::may_have_run));
    BOOST_TEST((judged(200, {id, {"Content-Encoding", "gzip"}}) == AttemptResult::may_have_run));
    BOOST_TEST((judged(500, {id}) == AttemptResult::failed));
    for (const int status : {408, 429, 503})
        BOOST_TEST((judged(status, {id}) == AttemptResult::may_have_run));
    for (const int status : {400, 429, 503})
        BOOST_TEST((judged(status, {id, not_run}) == AttemptResult::not_run));
    BOOST_TEST((judged(421, {id}) == AttemptResult::misdirected));
    BOOST_TEST((judge(CallEnd::broken, {}, true) == AttemptResult::may_have_run));
    BOOST_TEST((judge(CallEnd::malformed, {}, true) == AttemptResult::may_have_run));
    BOOST_TEST((judge(CallEnd::unsent, {}, true) == AttemptResult::unsent));
    BOOST_TEST((judge(CallEnd::unreachable, {}, true) == AttemptResult::unreachable));
}

BOOST_AUTO_TEST_CASE(after_an_answer_that_came_before_the_request_was_written_the_connection_is_not_used) {
    Runner runner(4096);
    runner.call(request("long", "POST", std::string(kMoreThanBuffersTake, 'x')));
    BOOST_REQUIRE(runner.until([&] {
        return !runner.door.guests().empty() &&
               runner.door.guests()[0].look(1024).got.find("\r\n\r\n") != std::string::npos;
    }));
    runner.door.guests()[0].say(answer("long", "early"));
    BOOST_TEST(runner.end_of(1).message.body == "early");
    runner.call(request("next"));
    BOOST_REQUIRE(runner.until([&] { return runner.door.guests().size() == 2; }));
    // Nothing of the next request stands behind the rest of the long one.
    BOOST_TEST(count(runner.door.guests()[0].look().got, "/work/next") == 0U);
    runner.wire_of("next").say(answer("next", "mine"));
    BOOST_TEST(runner.end_of(2).message.body == "mine");
}

BOOST_AUTO_TEST_CASE(interim_answers_are_no_answers) {
    const Runner::ReleaseReason one =
        Runner().after("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: id1\r\n\r\n" +
                       answer("id1", "mine"));
    BOOST_TEST(one.message.body == "mine");
    BOOST_TEST(one.message.status == 200);
    BOOST_TEST((Runner().after("HTTP/1.1 101 x\r\nX-Attempt-Id: id1\r\n\r\n").how == CallEnd::malformed));
    BOOST_TEST((Runner().after("HTTP/1.1 100 Continue\r\n\r\n", kHangUp).how == CallEnd::broken));
}

BOOST_AUTO_TEST_CASE(answers_that_have_no_body_by_rule_wait_for_none) {
    for (const char* const status : {"204 No Content", "304 Not Modified"}) {
        Runner runner;
        const Runner::ReleaseReason one = runner.after("HTTP/1.1 " + std::string(status) +
                                                       "\r\nX-Attempt-Id: id1\r\nContent-Length: 5\r\n\r\n");
        BOOST_TEST((one.how == CallEnd::answered));
        BOOST_TEST(one.message.body.empty());
    }
    Runner runner;
    runner.call(request("head", "HEAD"));
    Wire& wire = runner.wire_of("head");
    wire.say("HTTP/1.1 200 OK\r\nX-Attempt-Id: head\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST((runner.end_of(1).how == CallEnd::answered));
    // The next one on this connection has its body.
    runner.call(request("next"));
    BOOST_TEST(&runner.wire_of("next") == &wire);
    wire.say(answer("next", "mine"));
    BOOST_TEST(runner.end_of(2).message.body == "mine");
}

BOOST_AUTO_TEST_CASE(a_peer_that_half_closes_has_ended_the_connection) {
    const auto half = [](Wire& wire) { wire.half_close(); };
    BOOST_TEST((Runner().after("", half).how == CallEnd::broken));
    Runner runner;
    BOOST_TEST((runner.after(answer("id1", "whole"), half).how == CallEnd::answered));
    runner.call(request("next"));
    BOOST_TEST(&runner.wire_of("next") != &runner.door.guests()[0]);
}

BOOST_AUTO_TEST_CASE(a_second_sending_to_one_address_has_a_connection_of_its_own) {
    // An answer too many to the first sending bears the same id: it would be taken for the second's.
    Runner runner;
    const std::string not_run =
        "HTTP/1.1 503 x\r\nX-Attempt-Id: same\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    runner.call(request("same"));
    Wire& first = runner.wire_of("same");
    first.say(not_run);
    runner.end_of(1);
    runner.call(request("same"), true);
    BOOST_REQUIRE(runner.until([&] { return runner.door.guests().size() == 2; }));
    first.say(not_run);
    Wire& second = runner.door.guests()[1];
    BOOST_REQUIRE(runner.until([&] { return second.has("/work/same"); }));
    second.say(answer("same", "mine"));
    BOOST_TEST(runner.end_of(2).message.body == "mine");
}

BOOST_AUTO_TEST_CASE(no_call_ends_before_it_was_made) {
    Runner runner(0, 1);
    HttpMessage message = request("a", "POST", std::string(100'000, 'x'));  // more than the pool has
    runner.caller.preconnect(runner.door.address());
    BOOST_REQUIRE(runner.until([&] { return !runner.door.guests().empty(); }));
    runner.until([&, end = net::Loop::now() + 20'000] { return net::Loop::now() > end; });
    runner.call(message);
    BOOST_TEST((runner.end_of(1).how == CallEnd::unsent));
    BOOST_TEST(!runner.ended[0].within_call);
    runner.calling = true;
    runner.caller.call(++runner.last, "nowhere", message);
    runner.calling = false;
    BOOST_TEST((runner.end_of(2).how == CallEnd::unreachable));
    BOOST_TEST(!runner.ended[1].within_call);
    // One that is abandoned before it could be told has no event.
    runner.caller.call(++runner.last, "nowhere", message);
    runner.caller.abandon(runner.last);
    runner.until([&, end = net::Loop::now() + 20'000] { return net::Loop::now() > end; });
    BOOST_TEST(runner.ended.size() == 2U);
}

// ---- client to proxy ----

// A service, and what it was asked.
struct Served {
    explicit Served(bool answers_at_once = false)
        : port(free_port()),
          service(loop, *net::Address::read("127.0.0.1:" + std::to_string(port)),
                  {[this, answers_at_once](HttpService::Exchange exchange, HttpMessage&& message) {
                       asked.emplace_back(exchange, std::move(message));
                       if (answers_at_once) answer(exchange, asked.back().second.target);
                   },
                   [this](HttpService::Exchange exchange) { left.push_back(exchange); }},
                  64) {}
    void answer(HttpService::Exchange exchange, const std::string& body) {
        HttpMessage message;
        message.status = 200;
        message.body = body;
        service.answer(exchange, message);
    }
    bool until(const std::function<bool()>& holds) { return turn_until(loop, holds); }
    static std::string ask(const std::string& path, const std::string& method = "GET") {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    net::Loop loop{kBlocks};
    std::uint16_t port;
    std::deque<std::pair<HttpService::Exchange, HttpMessage>> asked;
    std::vector<HttpService::Exchange> left;
    HttpService service;
};

BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_answered_one_by_one_in_their_order) {
    Served served;
    Wire client = Wire::to(served.port);
    client.say(Served::ask("/1") + Served::ask("/2") + Served::ask("/3"));
    for (std::size_t n = 1; n <= 3; ++n) {
        BOOST_REQUIRE(served.until([&] { return served.asked.size() == n; }));
        BOOST_TEST(served.service.under_way() == 1U);
        served.answer(served.asked.back().first, "answer to " + served.asked.back().second.target);
    }
    BOOST_REQUIRE(served.until([&] { return client.has("answer to /3"); }));
    BOOST_TEST(client.got.find("answer to /1") < client.got.find("answer to /2"));
    BOOST_TEST(client.got.find("answer to /2") < client.got.find("answer to /3"));
    BOOST_TEST(count(client.got, "HTTP/1.1 200") == 3U);
}

constexpr std::size_t kManyAhead = 4'000;
constexpr std::size_t kFewBlocks = 256;  // of which one answer that is not yet written takes one

std::string many_ahead() {
    std::string all;
    for (std::size_t n = 0; n < kManyAhead; ++n) all += "GET /p HTTP/1.1\r\n\r\n";
    return all;
}

BOOST_AUTO_TEST_CASE(many_requests_sent_ahead_and_answered_at_once_do_not_nest) {
    Served served(true);
    Wire client = Wire::to(served.port);
    const std::string all = many_ahead();
    std::size_t said = 0;
    BOOST_TEST(served.until([&] {
        said += client.say(std::string_view(all).substr(said));
        client.look();
        return served.asked.size() == kManyAhead;
    }));
    BOOST_TEST(served.until([&] { return count(client.look().got, "HTTP/1.1 200") == kManyAhead; }));
}

BOOST_AUTO_TEST_CASE(what_waited_behind_a_slow_request_does_not_nest_either) {
    net::Loop loop(kFewBlocks);
    const std::uint16_t port = free_port();
    std::size_t asked = 0, depth = 0, deepest = 0;
    HttpService::Exchange first = 0;
    HttpService* there = nullptr;
    const auto reply = [&](HttpService::Exchange exchange) {
        HttpMessage message;
        message.status = 200;
        there->answer(exchange, message);
    };
    HttpService service(loop, *net::Address::read("127.0.0.1:" + std::to_string(port)),
                        {[&](HttpService::Exchange exchange, HttpMessage&&) {
                            deepest = std::max(deepest, ++depth);
                            if (++asked == 1)
                                first = exchange;
                            else
                                reply(exchange);
                            --depth;
                        }},
                        64);
    there = &service;
    Wire client = Wire::to(port);
    const std::string all = many_ahead();
    std::size_t said = 0;
    BOOST_REQUIRE(turn_until(loop, [&] {
        said += client.say(std::string_view(all).substr(said));
        return first != 0 && said == all.size();
    }));
    reply(first);
    BOOST_TEST(turn_until(loop, [&] {
        client.look();
        return asked == kManyAhead || client.closed;
    }));
    BOOST_TEST(turn_until(loop, [&] { return count(client.look().got, "HTTP/1.1 200") == kManyAhead; }));
    BOOST_TEST(deepest == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_to_a_client_that_left_reaches_no_other) {
    Served served;
    {
        Wire gone = Wire::to(served.port);
        gone.say(Served::ask("/gone"));
        BOOST_REQUIRE(served.until([&] { return served.asked.size() == 1; }));
        gone.reset();
    }
    BOOST_REQUIRE(served.until([&] { return served.left.size() == 1; }));
    Wire next = Wire::to(served.port);
    next.say(Served::ask("/next"));
    BOOST_REQUIRE(served.until([&] { return served.asked.size() == 2; }));
    BOOST_TEST(served.asked[0].first != served.asked[1].first);
    served.answer(served.asked[0].first, "of another");
    served.answer(served.asked[1].first, "mine");
    served.answer(served.asked[1].first, "twice");
    BOOST_REQUIRE(served.until([&] { return next.has("mine"); }));
    served.until([end = net::Loop::now() + 20'000] { return net::Loop::now() > end; });
    BOOST_TEST(count(next.look().got, "HTTP/1.1") == 1U);
    BOOST_TEST(served.left.size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_answer_to_a_head_request_has_no_body) {
    Served served;
    Wire client = Wire::to(served.port);
    client.say(Served::ask("/1", "HEAD") + Served::ask("/2"));
    BOOST_REQUIRE(served.until([&] { return served.asked.size() == 1; }));
    served.service.answer(served.asked[0].first, ErrorCode::no_slot, {}, 100);
    BOOST_REQUIRE(served.until([&] { return served.asked.size() == 2; }));
    served.answer(served.asked[1].first, "mine");
    BOOST_REQUIRE(served.until([&] { return client.has("mine"); }));
    const std::size_t end = client.got.find("\r\n\r\n") + 4;
    BOOST_TEST(client.got.substr(end, 12) == "HTTP/1.1 200");
}

// ---- proxy and coordinator ----

constexpr Session kSession = 1;
constexpr char kService[] = "f";

std::shared_ptr<const Configuration> configuration(bool idempotent, int attempts) {
    const std::string text =
        std::string(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/f/","route_kind":")") +
        (idempotent ? "idempotent" : "non_idempotent") +
        R"(","timeout_ms":4000,"target_latency_ms":1500,"priority":1,"service":"f","max_attempts":)" +
        std::to_string(attempts) +
        R"(}],"services":[{"name":"f","connection_limit":20,"memory_mb":128,"boot_duration_ms":600,"max_concurrency":1}]})";
    return leaf::try_handle_all([&] { return Configuration::read(text); },
                                []() -> std::shared_ptr<const Configuration> {
                                    BOOST_FAIL("the configuration can not be read");
                                    return {};
                                });
}

// One front and the slot tables of the coordinators that it meets, with no network between but what a test
// holds back.
struct Together {
    explicit Together(bool idempotent = true, int attempts = 2)
        : routes(configuration(idempotent, attempts)), handler({"front", "z0"}) {
        handler.configure(routes);
        open_coordinator();
    }
    void open_coordinator() {
        table = std::make_unique<SlotTable>(SlotTable::Options{.retry_budget = 100});
        table->configure(routes);
        ProxyOutbox mail;
        for (const RunnerInfo& runner : runners) table->on_runner_listed(now, runner, false, mail);
    }
    void add_runner(const std::string& name) {
        runners.push_back(
            {name, kService, "10.0.0.1:" + std::to_string(runners.size() + 1), "z0", "w", 1, 0, true});
        ProxyOutbox mail;
        table->on_runner_listed(now, runners.back(), false, mail);
        deliver(mail);
    }
    void deliver(ProxyOutbox& mail) {
        for (const ProxyMessage& one : mail) handler.said(now, one.message, actions);
        mail.clear();
        carry();
    }
    // What the front says reaches the coordinator, as long as there is one.
    void carry() {
        while (!actions.mails.empty()) {
            ProxyOutbox mail;
            for (const Message& message : std::exchange(actions.mails, {})) {
                said.push_back(message);
                if (const auto* ask = std::get_if<AcquireRequest>(&message))
                    table->on_acquire_request(now, kSession, *ask, mail);
                if (const auto* release = std::get_if<Release>(&message))
                    table->on_release(now, kSession, *release, mail);
                if (const auto* outs = std::get_if<OutstandingReport>(&message))
                    table->on_outstanding_report(now, kSession, *outs);
            }
            for (const ProxyMessage& one : mail) handler.said(now, one.message, actions);
        }
    }
    // The greeting is on its way; meanwhile may happen what the test does; then the answer comes.
    void greet(const std::function<void()>& meanwhile = [] {}) {
        const Register registration = handler.registration();
        meanwhile();
        ProxyOutbox mail;
        table->on_proxy_registered(now, kSession, registration, mail);
        handler.said(now, Registered{1, 0, 1, {}}, actions);
        handler.on_coordinator_registered(now, actions);
        deliver(mail);
    }
    void request(RequestId id) {
        handler.arrived(now, id, "h", "/f/x", 3000, actions);
        carry();
    }
    void end(RequestId id, AttemptResult how) {
        handler.ended(now, id, how, actions);
        carry();
    }
    void lose_coordinator() {
        handler.on_coordinator_disconnected(now, actions);
        actions.mails.clear();
    }
    std::uint32_t out() const {
        std::uint32_t all = 0;
        for (const auto& [number, runner] : table->runners()) all += runner.outstanding();
        return all;
    }

    Micros now = 10'000'000;
    std::shared_ptr<const Configuration> routes;
    RequestHandler handler;
    std::unique_ptr<SlotTable> table;
    std::vector<RunnerInfo> runners;
    Actions actions;
    std::vector<Message> said;
};

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_never_refused_with_a_promise) {
    // It may be repeated, and no second runner is found for it.
    Together together;
    together.add_runner("i-1");
    together.greet();
    together.request(1);
    BOOST_REQUIRE(together.actions.forwards.size() == 1U);
    together.end(1, AttemptResult::may_have_run);
    BOOST_TEST(together.actions.forwards.size() == 2U);
    together.end(1, AttemptResult::not_run);
    BOOST_REQUIRE(together.actions.replies.size() == 1U);
    BOOST_TEST(!error_response(together.actions.replies[0].kind).guarantees_not_run);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_and_then_finds_no_slot_in_time_has_no_promise) {
    Together together;
    together.add_runner("i-1");
    together.greet();
    together.request(1);
    together.request(2);  // waits behind it
    together.end(1, AttemptResult::may_have_run);
    // The second has the slot now, and the first waits for a second runner until its time is over.
    together.now += 3'100'000;
    together.handler.tick(together.now, together.actions);
    for (const Actions::Reply& reply : together.actions.replies)
        if (reply.request == 1) BOOST_TEST(!error_response(reply.kind).guarantees_not_run);
    BOOST_TEST(together.actions.replies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(what_may_not_be_repeated_is_sent_once_after_it_may_have_run_and_again_after_a_promise) {
    for (const AttemptResult how : {AttemptResult::may_have_run, AttemptResult::failed}) {
        Together together(false, 3);
        together.add_runner("i-1");
        together.greet();
        together.request(1);
        together.end(1, how);
        BOOST_TEST(together.actions.forwards.size() == 1U);
        BOOST_TEST(together.actions.replies.size() + together.actions.relays.size() == 1U);
        for (const Actions::Reply& reply : together.actions.replies)
            BOOST_TEST(!error_response(reply.kind).guarantees_not_run);
    }
    Together together(false, 3);
    together.add_runner("i-1");
    together.greet();
    together.request(1);
    together.end(1, AttemptResult::unsent);
    BOOST_TEST(together.actions.forwards.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_grant_of_an_earlier_session_sends_nothing) {
    Together together;
    together.greet();
    together.request(1);  // waits: there is no runner
    BOOST_REQUIRE(!together.said.empty());
    const auto* const ask = std::get_if<AcquireRequest>(&together.said.back());
    BOOST_REQUIRE(ask != nullptr);
    const std::uint32_t old_ask = ask->id;
    together.lose_coordinator();
    together.open_coordinator();
    together.greet();
    together.add_runner("i-1");
    BOOST_TEST(together.actions.forwards.size() == 1U);
    together.handler.said(together.now, AcquireGranted{old_ask, 1}, together.actions);
    BOOST_TEST(together.actions.forwards.size() == 1U);
    together.carry();
    BOOST_TEST(together.out() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_coordinator_counts_what_ended_while_it_was_greeted) {
    Together together;
    together.add_runner("i-1");
    together.greet();
    together.request(1);
    BOOST_REQUIRE(together.actions.forwards.size() == 1U);
    together.lose_coordinator();
    together.open_coordinator();
    together.greet(
        [&] { together.handler.ended(together.now, 1, AttemptResult::answered, together.actions); });
    BOOST_TEST(together.out() == 0U);
    together.request(2);
    BOOST_TEST(together.actions.forwards.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_new_coordinator_counts_what_began_while_it_was_greeted) {
    Together together;
    together.add_runner("i-1");
    together.greet();
    together.request(1);
    together.end(1, AttemptResult::answered);
    together.lose_coordinator();
    together.open_coordinator();
    together.greet([&] {
        together.handler.arrived(together.now, 2, "h", "/f/x", 3000, together.actions);
        BOOST_REQUIRE(together.actions.forwards.size() == 2U);  // of its own part
    });
    BOOST_TEST(together.out() == 1U);
    together.end(2, AttemptResult::answered);
    BOOST_TEST(together.out() == 0U);
}

BOOST_AUTO_TEST_CASE(what_a_front_that_comes_back_has_out_at_a_retired_runner_is_released) {
    Together together;
    together.add_runner("i-1");
    together.greet();
    together.request(1);
    BOOST_REQUIRE(together.out() == 1U);
    const std::uint32_t number = together.table->runners().begin()->first;
    ProxyOutbox mail;
    together.lose_coordinator();
    together.table->on_proxy_disconnected(together.now, kSession, mail);
    together.table->drain_runner(together.now, number, mail);
    mail.clear();
    together.greet();
    BOOST_TEST(together.out() == 1U);
    BOOST_TEST(!together.table->drain_runner(together.now, number, mail));
    together.end(1, AttemptResult::answered);
    // Nothing is under way there any more: it may be stopped.
    BOOST_TEST(together.out() == 0U);
    BOOST_TEST(together.table->drain_runner(together.now, number, mail));
    together.request(2);
    BOOST_TEST(together.actions.forwards.size() == 1U);
}

// ---- leader to platform ----

// Answers the lists; keeps the nonces of the starts that it was asked for, and ends those calls as it is
// told.
struct Platform {
    enum class Start { answered, silent, cut };

    void serve() {
        for (Wire& wire : door.guests()) {
            wire.look();
            for (std::size_t end; (end = wire.got.find("\r\n\r\n")) != std::string::npos;) {
                std::size_t length = 0;
                if (const std::size_t at = wire.got.find("Content-Length: "); at < end)
                    length = std::stoul(wire.got.substr(at + 16));
                if (wire.got.size() < end + 4 + length) break;
                const std::string head = wire.got.substr(0, end), body = wire.got.substr(end + 4, length);
                wire.got.erase(0, end + 4 + length);
                take(wire, head, body);
            }
        }
    }
    void take(Wire& wire, const std::string& head, const std::string& body) {
        if (head.starts_with("GET /runners"))
            return void(wire.say(answer({}, R"({"instances":[],"next_page_token":null})")));
        if (head.starts_with("GET /v1/workers"))
            return void(wire.say(answer(
                {},
                R"({"workers":[{"name":"w","zone":"z0","memory_mb":4096,"free_memory_mb":4096,"state":"ready"}]})")));
        const std::string key = "\"request_nonce\":\"";
        const std::size_t at = body.find(key) + key.size();
        nonces.push_back(body.substr(at, body.find('"', at) - at));
        const std::string whole = answer({}, R"({"runner_id":"i-1","address":"127.0.0.1:1"})");
        if (start == Start::answered) wire.say(whole);
        if (start == Start::cut) {
            wire.say(std::string_view(whole).substr(0, whole.size() - 1));
            wire.hang_up();
        }
    }
    Door door;
    Start start = Start::answered;
    std::vector<std::string> nonces;
};

// A coordinator with one front that asks for a runner.
struct Leader {
    Leader(net::Loop& loop, Platform& platform, const std::string& node, Number term)
        : loop(loop), platform(platform) {
        settings.node_name = node;
        settings.platform = platform.door.address();
        settings.list_rate_per_s = 50;
        settings.duty_per_s = 50;
        coordinator.emplace(loop, settings, term, [](Session, const Message&) {});
        LogEntry entry;
        entry.version = 1;
        coordinator->committed(entry, configuration(true, 2));
        coordinator->came(kSession, Register{"front", "z0", 1, 1, {}, {}});
        coordinator->said(kSession, AcquireRequest{1, 0, kService, 1500, 60'000, 1, 1, false});
    }
    bool until_asked(std::size_t times) {
        return turn_until(loop, [&] {
            coordinator->tick(net::Loop::now());
            platform.serve();
            return platform.nonces.size() >= times;
        });
    }
    net::Loop& loop;
    Platform& platform;
    Settings settings;
    std::optional<Coordinator> coordinator;
};

BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_asked_for_again_under_its_nonce) {
    for (const Platform::Start how : {Platform::Start::silent, Platform::Start::cut}) {
        net::Loop loop(kBlocks);
        Platform platform;
        platform.start = how;
        Leader leader(loop, platform, "core-1", 7);
        BOOST_REQUIRE(leader.until_asked(2));
        BOOST_TEST(platform.nonces[0] == platform.nonces[1]);
    }
}

BOOST_AUTO_TEST_CASE(a_nonce_is_of_one_coordinator_also_where_its_term_is_opened_twice) {
    net::Loop loop(kBlocks);
    Platform platform;
    const std::string long_name(80, 'n');
    for (int opened = 0; opened < 2; ++opened) {
        Leader leader(loop, platform, long_name, 7);
        BOOST_REQUIRE(leader.until_asked(platform.nonces.size() + 1));
    }
    BOOST_TEST(platform.nonces[0] != platform.nonces[1]);
    for (const std::string& nonce : platform.nonces) BOOST_TEST(nonce.size() <= 64U);
}

}  // namespace
}  // namespace gannethold::cluster
