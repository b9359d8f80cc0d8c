// The request handler alone, and against a slot table for what the two hold about one request.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.hpp"
#include "cluster/proxy/request_handler.hpp"
#include "cluster/slots/slot_table.hpp"

namespace gannethold::cluster {
namespace {

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
        table = std::make_unique<SlotTable>(SlotTable::Options{.budget_slack = 100});
        table->configure(routes);
        std::vector<ProxyMessage> mail;
        for (const RunnerInfo& runner : runners) table->listed(now, runner, false, mail);
    }
    void add_runner(const std::string& name) {
        runners.push_back(
            {name, kService, "10.0.0.1:" + std::to_string(runners.size() + 1), "z0", "w", 1, 0, true});
        std::vector<ProxyMessage> mail;
        table->listed(now, runners.back(), false, mail);
        deliver(mail);
    }
    void deliver(std::vector<ProxyMessage>& mail) {
        for (const ProxyMessage& one : mail) handler.said(now, one.message, actions);
        mail.clear();
        carry();
    }
    // What the front says reaches the coordinator, as long as there is one.
    void carry() {
        while (!actions.mails.empty()) {
            std::vector<ProxyMessage> mail;
            for (const Message& message : std::exchange(actions.mails, {})) {
                said.push_back(message);
                if (const auto* ask = std::get_if<AcquireRequest>(&message))
                    table->ask(now, kSession, *ask, mail);
                if (const auto* release = std::get_if<Release>(&message))
                    table->release(now, kSession, *release, mail);
                if (const auto* outs = std::get_if<OutstandingReport>(&message))
                    table->outs(now, kSession, *outs);
            }
            for (const ProxyMessage& one : mail) handler.said(now, one.message, actions);
        }
    }
    // The greeting is on its way; meanwhile may happen what the test does; then the answer comes.
    void greet(const std::function<void()>& meanwhile = [] {}) {
        const Register registration = handler.registration();
        meanwhile();
        std::vector<ProxyMessage> mail;
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
        for (const auto& [number, runner] : table->runners()) all += runner.out();
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
    std::vector<ProxyMessage> mail;
    together.lose_coordinator();
    together.table->on_proxy_disconnected(together.now, kSession, mail);
    together.table->retire(together.now, number, mail);
    mail.clear();
    together.greet();
    BOOST_TEST(together.out() == 1U);
    BOOST_TEST(!together.table->retire(together.now, number, mail));
    together.end(1, AttemptResult::answered);
    // Nothing is under way there any more: it may be stopped.
    BOOST_TEST(together.out() == 0U);
    BOOST_TEST(together.table->retire(together.now, number, mail));
    together.request(2);
    BOOST_TEST(together.actions.forwards.size() == 1U);
}

constexpr char kOneSlowRoute[] =
    R"({"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","route_kind":"non_idempotent",)"
    R"("timeout_ms":8000,"target_latency_ms":2000,"priority":0,"service":"a","max_attempts":1}],)"
    R"("services":[{"name":"a","connection_limit":20,"memory_mb":128,"boot_duration_ms":900,"max_concurrency":1}]})";

// A front that has its configuration and its coordinator, and whose requests wait for slots.
struct WaitingFront {
    WaitingFront() : handler({"front-0", "z0", 1, 800'000, 7}) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(configuration, Configuration::read(kOneSlowRoute));
                handler.configure(configuration);
                return {};
            },
            [] { BOOST_FAIL("the configuration can not be read"); });
        Actions ignored;
        handler.on_coordinator_registered(kStart, ignored);
    }

    Actions arrive(Micros now, RequestId id) {
        Actions out;
        handler.arrived(now, id, "h.example", "/a/x", 8000, out);
        return out;
    }

    Actions tick(Micros now) {
        Actions out;
        handler.tick(now, out);
        return out;
    }

    static constexpr Micros kStart = 1'000'000;
    static constexpr Micros kAnswerBy = kStart + 5'600'000;
    RequestHandler handler;
};

BOOST_AUTO_TEST_CASE(a_front_that_ends_refuses_what_it_can_not_end_and_no_more) {
    WaitingFront front;
    const Actions asked = front.arrive(WaitingFront::kStart, 1);
    BOOST_REQUIRE(asked.mails.size() == 1U);
    const auto* const request = std::get_if<AcquireRequest>(&asked.mails.front());
    BOOST_REQUIRE(request != nullptr);
    Actions begun;
    front.handler.begin_shutdown(WaitingFront::kStart, WaitingFront::kAnswerBy, begun);
    BOOST_TEST(begun.replies.empty());
    // The aim stands for the time of the work, 2 s: until 3.6 s it can still end here.
    BOOST_TEST(front.tick(WaitingFront::kStart + 3'500'000).replies.empty());
    const Actions late = front.tick(WaitingFront::kStart + 3'700'000);
    BOOST_REQUIRE(late.replies.size() == 1U);
    BOOST_TEST((late.replies.front().kind == ErrorCode::leaving));
    BOOST_TEST(late.replies.front().retry_ms > 0U);
    // The coordinator is told that the slot is not wanted any more.
    BOOST_REQUIRE(late.mails.size() == 1U);
    const auto* const release = std::get_if<Release>(&late.mails.front());
    BOOST_REQUIRE(release != nullptr);
    BOOST_TEST((release->id == request->id && release->how == ReleaseReason::unused));
    // What comes now is refused at once.
    const Actions refused = front.arrive(WaitingFront::kStart + 3'800'000, 2);
    BOOST_REQUIRE(refused.replies.size() == 1U);
    BOOST_TEST((refused.replies.front().kind == ErrorCode::leaving));
    BOOST_TEST(refused.mails.empty());
    BOOST_TEST(front.handler.open() == 0U);
}

BOOST_AUTO_TEST_CASE(a_slot_granted_too_late_to_a_front_that_ends_is_given_back_unused) {
    WaitingFront front;
    const Actions asked = front.arrive(WaitingFront::kStart, 1);
    const std::uint32_t id = std::get<AcquireRequest>(asked.mails.front()).id;
    RunnerUpdate runner;
    runner.number = 3;
    runner.state = RunnerState::ready;
    runner.runner = {"i-1", "a", "10.1.0.1:80", "z0", "w-0", 1, 0, true};
    Actions told;
    front.handler.said(WaitingFront::kStart, runner, told);
    Actions begun;
    front.handler.begin_shutdown(WaitingFront::kStart, WaitingFront::kAnswerBy, begun);
    Actions granted;
    front.handler.said(WaitingFront::kStart + 3'700'000, AcquireGranted{id, 3}, granted);
    BOOST_TEST(granted.forwards.empty());
    BOOST_REQUIRE(granted.replies.size() == 1U);
    BOOST_TEST((granted.replies.front().kind == ErrorCode::leaving));
    BOOST_REQUIRE(granted.mails.size() == 1U);
    const auto& release = std::get<Release>(granted.mails.front());
    BOOST_TEST((release.id == id && release.runner == 3U && release.how == ReleaseReason::unused));
}

}  // namespace
}  // namespace gannethold::cluster
