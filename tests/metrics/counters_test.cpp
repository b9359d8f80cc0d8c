#include "metrics/counters.hpp"

#include <doctest/doctest.h>

using namespace gannethold;
using metrics::Counters;

TEST_CASE("answers are counted by workload and in total, and a workload added again keeps its counts") {
    Counters counters;
    counters.add_workload("idle");
    counters.on_answered("a", frontend::Answer::finished);
    counters.on_answered("a", frontend::Answer::bounced);
    counters.on_answered("b", frontend::Answer::finished);
    counters.on_answered("b", frontend::Answer::abandoned);
    counters.add_workload("a");
    REQUIRE(counters.answers_by_workload().size() == 3);
    CHECK(counters.answers_by_workload().at("idle").finished == 0);
    CHECK(counters.answers_by_workload().at("a").rejected == 1);
    CHECK(counters.answers_by_workload().at("b").abandoned == 1);
    CHECK(counters.total_answers().finished == 2);
    CHECK(counters.total_answers().rejected == 1);
    CHECK(counters.total_answers().abandoned == 1);
}

TEST_CASE("assignments and reloads are counted separately") {
    Counters counters;
    counters.on_assignment_written();
    counters.on_assignment_written();
    counters.on_reload_applied();
    counters.on_reload_rejected();
    counters.on_reload_rejected();
    counters.on_reload_rejected();
    CHECK(counters.assignments_written() == 2);
    CHECK(counters.reloads_applied() == 1);
    CHECK(counters.reloads_rejected() == 3);
}
