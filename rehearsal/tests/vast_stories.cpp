// A hundred dispatchers and sixty runners in one process and virtual time: what each does alone, counted over
// all.
#include <doctest/doctest.h>

#include <string>

#include "virtual/world.hpp"

using namespace gannethold;
using namespace gannethold::rehearsal;

namespace {

Day vast(const std::string& which) {
    return read_day_file(std::string(REHEARSAL_DAYS) + "/vast-" + which + ".toml");
}

// Tasks in the hands of those runners, in the mean over those seconds.
double held(const Result& r, std::size_t first, std::size_t last, std::size_t from_s, std::size_t to_s) {
    double sum = 0;
    for (std::size_t s = from_s; s < to_s; ++s)
        for (std::size_t n = first; n < last; ++n) sum += r.seconds.at(s).in_flight.at(n);
    return sum / static_cast<double>(to_s - from_s);
}

double share(const Result& r, std::uint64_t Second::*what, std::size_t from_s, std::size_t to_s) {
    double some = 0, all = 0;
    for (std::size_t s = from_s; s < to_s; ++s)
        some += static_cast<double>(r.seconds.at(s).*what),
            all += static_cast<double>(r.seconds.at(s).offered);
    return some / all;
}

}  // namespace

TEST_CASE("a hall that is back cold is used by a hundred dispatchers together, and none of it pushed over") {
    const Result r = play_virtual(vast("zone"), 2, "own");
    const double cold = held(r, 30, 60, 12, 16);  // it died at 6 s and is back, cold, from 11 s on
    MESSAGE("ninety cold slots held ", cold, "; in time ", share(r, &Second::in_time, 12, 18),
            "; probes a task ", static_cast<double>(r.probes) / static_cast<double>(r.tasks),
            "; connections ", r.connections);
    CHECK(r.rules_held());
    CHECK(r.toppled == 0);
    CHECK(cold > 20);
    CHECK(share(r, &Second::in_time, 12, 18) > 0.7);
    CHECK(r.probes < 10 * r.tasks);
    // One failure each at four failing runners, at most two: far from a failure for each rest that passes.
    CHECK(r.abandoned + r.lost < 400);
}

TEST_CASE("six in ten runners replaced within seven seconds are found, warmed and used") {
    const Result r = play_virtual(vast("join"), 1, "own");
    MESSAGE("in time ", share(r, &Second::in_time, 8, 16), "; bounced ", share(r, &Second::bounced, 8, 16));
    CHECK(r.rules_held());
    CHECK(share(r, &Second::in_time, 8, 16) > 0.6);
    CHECK(share(r, &Second::bounced, 8, 16) < 0.05);
}

TEST_CASE(
    "seven in ten dispatchers die in a release, come back to a discovery that is down, and serve by what "
    "they know") {
    const Result r = play_virtual(vast("herd"), 1, "own");
    MESSAGE("in time ", share(r, &Second::in_time, 9, 16), "; probes a task ",
            static_cast<double>(r.probes) / static_cast<double>(r.tasks));
    CHECK(r.rules_held());
    CHECK(share(r, &Second::in_time, 9, 16) > 0.75);
}
