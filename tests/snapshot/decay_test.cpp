#include "snapshot/decay.hpp"

#include <doctest/doctest.h>

#include <numeric>

using namespace gannethold::snapshot;

namespace {

constexpr std::int64_t kHourMs = 3'600'000;

}  // namespace

TEST_CASE("estimates lose weight with age, with tolerance for clock skew") {
    const DecayPolicy policy;
    const std::int64_t now = 1'700'000'000'000;
    CHECK(weight_by_age(now, now, policy) == 1);
    CHECK(weight_by_age(now - kHourMs * 12, now, policy) == doctest::Approx(0.5));
    CHECK(weight_by_age(now - kHourMs * 24 * 7, now, policy) == 0);
    CHECK(weight_by_age(now + 60'000, now, policy) == 1);        // a clock a little behind
    CHECK(weight_by_age(now + kHourMs * 24, now, policy) == 0);  // from the future: of unknown age
    CHECK(weight_by_age(0, now, policy) == 0);
}

TEST_CASE("estimates lose weight if their runner was restarted, moved or has another instance type") {
    SavedRunner saved;
    saved.instance_type = "m";
    saved.zone = "a";
    saved.address = "x";
    saved.started_ms = 5;
    CHECK(weight_of_runner(saved, {"m", "a", "x", 5}, 1) == 1);
    CHECK(weight_of_runner(saved, {"m", "a", "x", 6}, 1) == doctest::Approx(0.5));
    CHECK(weight_of_runner(saved, {"m", "b", "x", 5}, 1) == doctest::Approx(0.25));
    CHECK(weight_of_runner(saved, {"n", "a", "x", 5}, 1) == 0);
}

TEST_CASE("a restored histogram has at most the maximum of samples, times the weight") {
    const HistogramBins bins = decayed(HistogramBins(20, 10.0F), 0.5, 8);
    CHECK(std::accumulate(bins.begin(), bins.end(), 0.0) == doctest::Approx(4));
}
