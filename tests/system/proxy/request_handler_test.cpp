// Tests the request handler alone, and together with a slot table: both must agree on the slots in use.
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
    return leaf::try_handle_all([&] { return Configuration::parse(text); },
                                []() -> std::shared_ptr<const Configuration> {
                                    BOOST_FAIL("the configuration can not be read");
                                    return {};
                                });
}

// A proxy and the slot table of the coordinator that it is registered with. Messages are delivered
// immediately, unless a test delays them.
struct ProxyWithCoordinator {
    explicit ProxyWithCoordinator(bool idempotent = true, int attempts = 2)
        : routes(configuration(idempotent, attempts)), handler({"front", "z0"}) {
        handler.configure(routes);
        start_coordinator();
    }
    void start_coordinator() {
        table = std::make_unique<SlotTable>(SlotTable::Options{.retry_budget = 100});
        table->configure(routes);
        ProxyOutbox messages;
        for (const RunnerInfo& runner : runners) table->on_runner_listed(now, runner, false, messages);
    }
    void add_runner(const std::string& name) {
        runners.push_back(
            {name, kService, "10.0.0.1:" + std::to_string(runners.size() + 1), "z0", "w", 1, 0, true});
        ProxyOutbox messages;
        table->on_runner_listed(now, runners.back(), false, messages);
        deliver_to_proxy(messages);
    }
    void deliver_to_proxy(ProxyOutbox& messages) {
        for (const ProxyMessage& outgoing : messages) handler.on_message(now, outgoing.message, actions);
        messages.clear();
        deliver_actions();
    }
    // Delivers the proxy's messages to the coordinator, and the coordinator's replies to the proxy.
    void deliver_actions() {
        while (!actions.messages.empty()) {
            ProxyOutbox messages;
            for (const Message& message : std::exchange(actions.messages, {})) {
                sent_messages.push_back(message);
                if (const auto* acquire = std::get_if<AcquireRequest>(&message))
                    table->on_acquire_request(now, kSession, *acquire, messages);
                if (const auto* release = std::get_if<Release>(&message))
                    table->on_release(now, kSession, *release, messages);
                if (const auto* outstanding = std::get_if<OutstandingReport>(&message))
                    table->on_outstanding_report(now, kSession, *outstanding);
            }
            for (const ProxyMessage& outgoing : messages) handler.on_message(now, outgoing.message, actions);
        }
    }
    // Registers the proxy. Calls before_response() between the registration and the coordinator's response.
    void register_proxy(const std::function<void()>& before_response = [] {}) {
        const RegisterRequest registration = handler.make_registration();
        before_response();
        ProxyOutbox messages;
        table->on_proxy_registered(now, kSession, registration, messages);
        handler.on_message(now, RegisterResponse{1, 0, 1, {}}, actions);
        handler.on_coordinator_registered(now, actions);
        deliver_to_proxy(messages);
    }
    void request(RequestId id) {
        handler.on_request(now, id, "h", "/f/x", 3000, actions);
        deliver_actions();
    }
    void complete_attempt(RequestId id, AttemptResult result) {
        handler.on_attempt_completed(now, id, result, actions);
        deliver_actions();
    }
    void disconnect_client(RequestId id) {
        handler.on_client_disconnected(now, id, actions);
        deliver_actions();
    }
    void disconnect_coordinator() {
        handler.on_coordinator_disconnected(now, actions);
        actions.messages.clear();
    }
    std::uint32_t slots_in_use() const {
        std::uint32_t in_use = 0;
        for (const auto& [number, runner] : table->runners()) in_use += runner.outstanding();
        return in_use;
    }

    Micros now = 10'000'000;
    std::shared_ptr<const Configuration> routes;
    RequestHandler handler;
    std::unique_ptr<SlotTable> table;
    std::vector<RunnerInfo> runners;
    Actions actions;
    std::vector<Message> sent_messages;
};

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_cancelled_when_its_client_disconnects) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    BOOST_REQUIRE(fixture.actions.forwards.size() == 1U);
    BOOST_TEST(fixture.slots_in_use() == 1U);
    fixture.disconnect_client(1);
    BOOST_TEST((fixture.actions.cancelled_attempts == std::vector<RequestId>{1}));
    BOOST_TEST(fixture.slots_in_use() == 0U);
    BOOST_TEST(fixture.handler.pending_requests() == 0U);
    BOOST_TEST(fixture.actions.local_replies.empty());
    fixture.complete_attempt(1, AttemptResult::succeeded);  // completed at the same time as the cancellation
    BOOST_TEST(fixture.actions.relayed_responses.empty());
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_completed_when_its_client_disconnects) {
    ProxyWithCoordinator fixture(false);
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    fixture.disconnect_client(1);
    BOOST_TEST(fixture.actions.cancelled_attempts.empty());
    BOOST_TEST(fixture.slots_in_use() == 1U);
    fixture.complete_attempt(1, AttemptResult::succeeded);
    BOOST_TEST(fixture.slots_in_use() == 0U);
    BOOST_TEST(fixture.actions.relayed_responses.empty());
}

BOOST_AUTO_TEST_CASE(a_waiting_request_is_withdrawn_when_its_client_disconnects) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    fixture.request(2);  // waits for the slot of request 1
    fixture.disconnect_client(2);
    BOOST_TEST(fixture.handler.pending_requests() == 1U);
    fixture.complete_attempt(1, AttemptResult::succeeded);
    BOOST_TEST(fixture.slots_in_use() == 0U);
    BOOST_TEST(fixture.actions.forwards.size() == 1U);
}

BOOST_AUTO_TEST_CASE(without_a_coordinator_only_a_function_with_spare_slots_uses_more_than_its_own_share) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);  // so that the proxy knows the runner
    fixture.complete_attempt(1, AttemptResult::succeeded);
    // Gives this proxy the rank, of two, whose share of the only slot is zero.
    const SlotShare first{0, 2};
    const std::uint32_t rank = first.slots_of(fixture.runners[0]) > 0 ? 1 : 0;
    fixture.handler.on_message(fixture.now, RegisterResponse{1, rank, 2, {}}, fixture.actions);
    fixture.disconnect_coordinator();
    fixture.request(2);
    BOOST_TEST(fixture.actions.forwards.size() == 1U);
    fixture.handler.on_message(fixture.now, FunctionMode{kService, false, true}, fixture.actions);
    fixture.request(3);
    BOOST_TEST(fixture.actions.forwards.size() == 2U);
    // After a runner has rejected a request, the proxy uses only its own share until the outage ends.
    const RequestId sent = fixture.actions.forwards.back().request;
    fixture.complete_attempt(sent, AttemptResult::rejected);
    fixture.request(4);
    BOOST_TEST(fixture.actions.forwards.size() == 2U);
}

BOOST_AUTO_TEST_CASE(requests_do_not_wait_for_a_silent_coordinator_if_there_are_spare_slots) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);  // so that the proxy knows the runner
    fixture.complete_attempt(1, AttemptResult::succeeded);
    // The messages of the next request are lost.
    fixture.handler.on_request(fixture.now, 2, "h", "/f/x", 3000, fixture.actions);
    fixture.actions.messages.clear();
    fixture.handler.set_coordinator_silent(fixture.now, true, fixture.actions);
    BOOST_TEST(fixture.actions.forwards.size() == 1U);  // no slots to spare
    fixture.handler.on_message(fixture.now, FunctionMode{kService, false, true}, fixture.actions);
    fixture.handler.set_coordinator_silent(fixture.now, true, fixture.actions);
    BOOST_REQUIRE(fixture.actions.forwards.size() == 2U);
    BOOST_TEST(fixture.actions.forwards.back().request == 2U);
    BOOST_TEST(fixture.handler.has_coordinator());
    // No slot was granted for the request, so that its end releases none.
    fixture.actions.messages.clear();
    fixture.handler.on_attempt_completed(fixture.now, 2, AttemptResult::succeeded, fixture.actions);
    BOOST_TEST(fixture.actions.messages.empty());
    BOOST_TEST(fixture.actions.relayed_responses.back() == 2U);
}

BOOST_AUTO_TEST_CASE(attempts_sent_while_a_coordinator_was_silent_are_counted_by_the_next_one) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    fixture.complete_attempt(1, AttemptResult::succeeded);
    fixture.handler.on_message(fixture.now, FunctionMode{kService, false, true}, fixture.actions);
    fixture.handler.set_coordinator_silent(fixture.now, true, fixture.actions);
    fixture.handler.on_request(fixture.now, 2, "h", "/f/x", 3000, fixture.actions);
    BOOST_REQUIRE(fixture.actions.forwards.size() == 2U);
    fixture.disconnect_coordinator();
    fixture.start_coordinator();
    fixture.register_proxy();
    BOOST_TEST(fixture.slots_in_use() == 1U);
    fixture.complete_attempt(2, AttemptResult::succeeded);
    BOOST_TEST(fixture.slots_in_use() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_never_rejected_as_not_run) {
    // The request is retried, and the second attempt is rejected.
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    BOOST_REQUIRE(fixture.actions.forwards.size() == 1U);
    fixture.complete_attempt(1, AttemptResult::outcome_unknown);
    BOOST_TEST(fixture.actions.forwards.size() == 2U);
    fixture.complete_attempt(1, AttemptResult::rejected);
    BOOST_REQUIRE(fixture.actions.local_replies.size() == 1U);
    BOOST_TEST(!error_response(fixture.actions.local_replies[0].error).guarantees_not_run);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_and_gets_no_other_slot_is_not_reported_as_not_run) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    fixture.request(2);  // waits for the slot of request 1
    fixture.complete_attempt(1, AttemptResult::outcome_unknown);
    // Request 2 has the slot now, and request 1 waits for another slot until its deadline.
    fixture.now += 3'100'000;
    fixture.handler.tick(fixture.now, fixture.actions);
    for (const Actions::LocalReply& reply : fixture.actions.local_replies)
        if (reply.request == 1) BOOST_TEST(!error_response(reply.error).guarantees_not_run);
    BOOST_TEST(fixture.actions.local_replies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_retried_only_if_it_has_not_run) {
    for (const AttemptResult result : {AttemptResult::outcome_unknown, AttemptResult::runner_error}) {
        ProxyWithCoordinator fixture(false, 3);
        fixture.add_runner("i-1");
        fixture.register_proxy();
        fixture.request(1);
        fixture.complete_attempt(1, result);
        BOOST_TEST(fixture.actions.forwards.size() == 1U);
        BOOST_TEST(fixture.actions.local_replies.size() + fixture.actions.relayed_responses.size() == 1U);
        for (const Actions::LocalReply& reply : fixture.actions.local_replies)
            BOOST_TEST(!error_response(reply.error).guarantees_not_run);
    }
    ProxyWithCoordinator fixture(false, 3);
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    fixture.complete_attempt(1, AttemptResult::not_sent);
    BOOST_TEST(fixture.actions.forwards.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_grant_of_an_earlier_session_forwards_nothing) {
    ProxyWithCoordinator fixture;
    fixture.register_proxy();
    fixture.request(1);  // waits, because there is no runner
    BOOST_REQUIRE(!fixture.sent_messages.empty());
    const auto* const acquire = std::get_if<AcquireRequest>(&fixture.sent_messages.back());
    BOOST_REQUIRE(acquire != nullptr);
    const std::uint32_t old_id = acquire->id;
    fixture.disconnect_coordinator();
    fixture.start_coordinator();
    fixture.register_proxy();
    fixture.add_runner("i-1");
    BOOST_TEST(fixture.actions.forwards.size() == 1U);
    fixture.handler.on_message(fixture.now, AcquireGranted{old_id, 1}, fixture.actions);
    BOOST_TEST(fixture.actions.forwards.size() == 1U);
    fixture.deliver_actions();
    BOOST_TEST(fixture.slots_in_use() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_coordinator_counts_an_attempt_that_ended_during_the_registration) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    BOOST_REQUIRE(fixture.actions.forwards.size() == 1U);
    fixture.disconnect_coordinator();
    fixture.start_coordinator();
    fixture.register_proxy([&] {
        fixture.handler.on_attempt_completed(fixture.now, 1, AttemptResult::succeeded, fixture.actions);
    });
    BOOST_TEST(fixture.slots_in_use() == 0U);
    fixture.request(2);
    BOOST_TEST(fixture.actions.forwards.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_new_coordinator_counts_an_attempt_that_started_during_the_registration) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    fixture.complete_attempt(1, AttemptResult::succeeded);
    fixture.disconnect_coordinator();
    fixture.start_coordinator();
    fixture.register_proxy([&] {
        fixture.handler.on_request(fixture.now, 2, "h", "/f/x", 3000, fixture.actions);
        BOOST_REQUIRE(fixture.actions.forwards.size() == 2U);  // from its own share
    });
    BOOST_TEST(fixture.slots_in_use() == 1U);
    fixture.complete_attempt(2, AttemptResult::succeeded);
    BOOST_TEST(fixture.slots_in_use() == 0U);
}

BOOST_AUTO_TEST_CASE(attempts_of_a_reconnected_proxy_at_a_retired_runner_are_released) {
    ProxyWithCoordinator fixture;
    fixture.add_runner("i-1");
    fixture.register_proxy();
    fixture.request(1);
    BOOST_REQUIRE(fixture.slots_in_use() == 1U);
    const std::uint32_t number = fixture.table->runners().begin()->first;
    ProxyOutbox messages;
    fixture.disconnect_coordinator();
    fixture.table->on_proxy_disconnected(fixture.now, kSession, messages);
    fixture.table->drain_runner(fixture.now, number, messages);
    messages.clear();
    fixture.register_proxy();
    BOOST_TEST(fixture.slots_in_use() == 1U);
    BOOST_TEST(!fixture.table->drain_runner(fixture.now, number, messages));
    fixture.complete_attempt(1, AttemptResult::succeeded);
    // No attempt is in flight at the runner, so that it may be stopped.
    BOOST_TEST(fixture.slots_in_use() == 0U);
    BOOST_TEST(fixture.table->drain_runner(fixture.now, number, messages));
    fixture.request(2);
    BOOST_TEST(fixture.actions.forwards.size() == 1U);
}

constexpr char kOneSlowRoute[] =
    R"({"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","route_kind":"non_idempotent",)"
    R"("timeout_ms":8000,"target_latency_ms":2000,"priority":0,"service":"a","max_attempts":1}],)"
    R"("services":[{"name":"a","connection_limit":20,"memory_mb":128,"boot_duration_ms":900,"max_concurrency":1}]})";

// A proxy with a configuration and a coordinator. Its requests wait for slots, because it knows no runner.
struct WaitingProxy {
    WaitingProxy() : handler({"front-0", "z0", 1, 7}) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(configuration, Configuration::parse(kOneSlowRoute));
                handler.configure(configuration);
                return {};
            },
            [] { BOOST_FAIL("the configuration can not be read"); });
        Actions ignored;
        handler.on_coordinator_registered(kStart, ignored);
    }

    Actions request(Micros now, RequestId id) {
        Actions actions;
        handler.on_request(now, id, "h.example", "/a/x", 8000, actions);
        return actions;
    }

    Actions tick(Micros now) {
        Actions actions;
        handler.tick(now, actions);
        return actions;
    }

    static constexpr Micros kStart = 1'000'000;
    static constexpr Micros kResponseDeadline = kStart + 5'600'000;
    RequestHandler handler;
};

BOOST_AUTO_TEST_CASE(a_proxy_that_shuts_down_rejects_only_requests_that_can_not_complete_in_time) {
    WaitingProxy proxy;
    const Actions requested = proxy.request(WaitingProxy::kStart, 1);
    BOOST_REQUIRE(requested.messages.size() == 1U);
    const auto* const request = std::get_if<AcquireRequest>(&requested.messages.front());
    BOOST_REQUIRE(request != nullptr);
    Actions begun;
    proxy.handler.begin_shutdown(WaitingProxy::kStart, WaitingProxy::kResponseDeadline, begun);
    BOOST_TEST(begun.local_replies.empty());
    // The estimated work time is the latency target, 2 s: the request can complete if sent before 3.6 s.
    BOOST_TEST(proxy.tick(WaitingProxy::kStart + 3'500'000).local_replies.empty());
    const Actions late = proxy.tick(WaitingProxy::kStart + 3'700'000);
    BOOST_REQUIRE(late.local_replies.size() == 1U);
    BOOST_TEST((late.local_replies.front().error == ErrorCode::shutting_down));
    BOOST_TEST(late.local_replies.front().retry_after_ms > 0U);
    // The coordinator is notified that the slot is no longer needed.
    BOOST_REQUIRE(late.messages.size() == 1U);
    const auto* const release = std::get_if<Release>(&late.messages.front());
    BOOST_REQUIRE(release != nullptr);
    BOOST_TEST((release->id == request->id && release->reason == ReleaseReason::unused));
    // Requests that arrive now are rejected at once.
    const Actions rejected = proxy.request(WaitingProxy::kStart + 3'800'000, 2);
    BOOST_REQUIRE(rejected.local_replies.size() == 1U);
    BOOST_TEST((rejected.local_replies.front().error == ErrorCode::shutting_down));
    BOOST_TEST(rejected.messages.empty());
    BOOST_TEST(proxy.handler.pending_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(a_slot_granted_too_late_to_a_proxy_that_shuts_down_is_released_unused) {
    WaitingProxy proxy;
    const Actions requested = proxy.request(WaitingProxy::kStart, 1);
    const std::uint32_t id = std::get<AcquireRequest>(requested.messages.front()).id;
    RunnerUpdate runner;
    runner.number = 3;
    runner.state = RunnerState::ready;
    runner.runner = {"i-1", "a", "10.1.0.1:80", "z0", "w-0", 1, 0, true};
    Actions announced;
    proxy.handler.on_message(WaitingProxy::kStart, runner, announced);
    Actions begun;
    proxy.handler.begin_shutdown(WaitingProxy::kStart, WaitingProxy::kResponseDeadline, begun);
    Actions granted;
    proxy.handler.on_message(WaitingProxy::kStart + 3'700'000, AcquireGranted{id, 3}, granted);
    BOOST_TEST(granted.forwards.empty());
    BOOST_REQUIRE(granted.local_replies.size() == 1U);
    BOOST_TEST((granted.local_replies.front().error == ErrorCode::shutting_down));
    BOOST_REQUIRE(granted.messages.size() == 1U);
    const auto& release = std::get<Release>(granted.messages.front());
    BOOST_TEST((release.id == id && release.runner == 3U && release.reason == ReleaseReason::unused));
}

}  // namespace
}  // namespace gannethold::cluster
