#include "admin/admin_requests.hpp"

#include <doctest/doctest.h>

using namespace gannethold;

TEST_CASE("workload names are escaped in metric labels, and a removed workload keeps its counts") {
    metrics::Counters counters;
    counters.add_workload("a\"b\\c\nd");
    counters.on_answered("gone", frontend::Answer::abandoned);
    counters.on_answered("gone", frontend::Answer::finished);
    const std::string all = admin::format_metrics(counters, {3, 2, 1});
    CHECK(all.find("app_succeeded_total{service=\"a\\\"b\\\\c\\nd\"} 0\n") != std::string::npos);
    CHECK(all.find("app_aborted_total{service=\"gone\"} 1\n") != std::string::npos);
    counters.add_workload("gone");
    CHECK(counters.answers_by_workload().at("gone").finished == 1);
    for (const std::string line :
         {"app_outstanding 3\n", "app_discovered 2\n", "app_ejected 1\n", "app_sighup_applied_total 0\n"})
        CHECK(all.find(line) != std::string::npos);
}
