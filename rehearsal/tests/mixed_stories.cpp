// Both protocols on one real dispatcher, in little.
#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>

#include "tubes/mixed_rehearsal.hpp"

using namespace gannethold::rehearsal;

TEST_CASE(
    "a short day of both protocols with crashes, hangs, breaks and a drain: one final state a job, one "
    "answer a task") {
    const auto folder =
        std::filesystem::temp_directory_path() / ("gannethold-mixed-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    MixedPlan plan;
    plan.duration = 5'000'000;
    plan.jobs_per_second = 60, plan.tasks_per_second = 40;
    const MixedResult r =
        run_mixed_rehearsal(plan, DISPATCHER_PROGRAM, folder.string(), [] { return false; });
    std::filesystem::remove_all(folder);
    CHECK(r.error == "");
    for (const std::string& b : r.violations) CHECK_MESSAGE(false, b);
    // Whatever it is that was counted, there was some of it.
    CHECK(r.put > 100);
    CHECK(r.jobs_done > 50);
    CHECK(r.tasks_by_workers > 10);
    CHECK(r.jobs_by_runners > 5);
    CHECK(r.answered[0] > 50);
}
