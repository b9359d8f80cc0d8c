#include "retry/execution_log.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace gannethold;
using namespace gannethold::retry;

namespace {

constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE(
    "what ended is evicted by its age, the oldest first where there is too much, and what is in flight never "
    "is") {
    ExecutionLog log({true, false, 10 * kSecond, 3, 1 << 20, 4});
    log.on_started(0, "in flight", TaskId{1});
    for (unsigned i = 0; i < 5; ++i) {
        log.on_started(0, "e" + std::to_string(i), TaskId{10 + i});
        log.on_finished(kSecond * i, "e" + std::to_string(i), TaskId{10 + i}, i == 4 ? "too long" : "ok");
    }
    CHECK(log.size() == 4);
    CHECK(log.evicted_early() == 2);
    CHECK_FALSE(log.find(5 * kSecond, "e1"));
    CHECK(*log.find(5 * kSecond, "e2")->result == "ok");
    CHECK(log.find(5 * kSecond, "e4")->result == nullptr);
    CHECK_FALSE(log.find(12 * kSecond, "e2"));
    CHECK(log.find(3'600 * kSecond, "in flight")->state == ExecutionState::in_flight);
    CHECK(log.find(3'600 * kSecond, "in flight")->task == TaskId{1});
    CHECK(log.size() == 1);
    // Of two executions with one key the later one counts; the end of the earlier one does not affect it.
    log.on_started(0, "in flight", TaskId{2});
    log.on_may_have_run(0, "in flight", TaskId{1});
    CHECK(log.find(0, "in flight")->state == ExecutionState::in_flight);
    log.on_never_ran("in flight", TaskId{2});
    CHECK(log.size() == 0);
    CHECK(log.bytes() == 0);
}

TEST_CASE("a million executions stay within the bound on bytes") {
    ExecutionLog log({true, false, 3'600 * kSecond, 100'000'000, 2 << 20, 8'192});
    std::size_t max_bytes = 0;
    for (unsigned i = 0; i < 1'000'000; ++i) {
        const std::string key = "0/0/k" + std::to_string(i);
        log.on_started(i, key, TaskId{i + 1});
        i % 2 ? log.on_may_have_run(i, key, TaskId{i + 1})
              : log.on_finished(i, key, TaskId{i + 1}, "a result");
        max_bytes = std::max(max_bytes, log.bytes());
    }
    CHECK(max_bytes < (2 << 20) + 300);
    CHECK(log.size() > 5'000);
    CHECK(log.find(1'000'000, "0/0/k999999")->state == ExecutionState::may_have_run);
}
