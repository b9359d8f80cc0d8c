// What the system's own words cost, counted from the bytes as they are encoded: a table by number of fronts.
//   cluster_costs
#include <cstdio>
#include <string>

#include "cluster/configuration/delta.hpp"
#include "cluster/wire/codec.hpp"

using namespace gannethold::cluster;

int main() {
    const double ask =
        static_cast<double>(encode(AcquireRequest{123456, 7001, "huvo11a", 1500, 4000, 2, 9, false}).size());
    const double grant = static_cast<double>(encode(AcquireGranted{123456, 7001}).size());
    const double release =
        static_cast<double>(encode(Release{123456, 7001, ReleaseReason::answered, 61}).size());
    const double told = static_cast<double>(
        encode(RunnerUpdate{7001,
                            RunnerState::ready,
                            {"i-7f3a91c2ab", "huvo11a", "10.128.0.9:8080", "isan-hall-a", "w-33", 4, 0, true},
                            false})
            .size());
    const double beat = static_cast<double>(encode(Heartbeat{}).size());
    LoadReport loads{1000, {}};
    for (int i = 0; i < 10; ++i) loads.loads.push_back({"huvo11a", 3, 200});
    const double report = static_cast<double>(encode(loads).size());
    const double order = static_cast<double>(encode(AppendRequest{7, 900, {7, 40}, {7, 40}}).size());
    const double receipt = static_cast<double>(encode(AppendResponse{7, 900, {7, 40}}).size());
    std::string old_text = "{\"version\":7,\"routes\":[";
    for (int i = 0; i < 1000; ++i)
        old_text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"host\":\"dese" +
                    std::to_string(i % 40) + ".example\",\"path_prefix\":\"/g" + std::to_string(i * 104729) +
                    "/\",\"route_kind\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":1500,"
                    "\"priority\":2,\"service\":\"s" +
                    std::to_string(i) + "\",\"max_attempts\":2},";
    std::string text = old_text;
    text.replace(text.find("4000", text.size() / 2), 4, "3500");
    const double whole =
        static_cast<double>(encode(ConfigurationUpdate{8, {0, make_delta({}, text)}}).size());
    const double change =
        static_cast<double>(encode(ConfigurationUpdate{8, {7, make_delta(old_text, text)}}).size());
    std::printf(
        "bytes: ask %.0f, grant %.0f, release %.0f, a runner told %.0f, beat %.0f, report of ten functions "
        "%.0f, order %.0f, receipt %.0f,\n1,000 routes whole %.0f, one of them changed %.0f\n\n",
        ask, grant, release, told, beat, report, order, receipt, whole, change);
    std::printf(
        "fronts  requests/s  coordinator: messages/s  KB/s   a front: KB/s of 250   one change to all, KB   "
        "whole to all, KB\n");
    for (const int fronts : {10, 65, 500}) {
        // 18 requests a second a front, a fifth of them to kept functions; a runner in a hundred of those is
        // new to five fronts.
        const double all = 18.0 * fronts;
        const double kept = all / 5;
        const double messages = kept * 3 + fronts * 1.0;
        const double bytes =
            kept * (ask + grant + release) + kept / 100 * 5 * told * 2 + fronts * (report + beat);
        std::printf("%6d  %10.0f  %18.0f  %5.1f  %20.2f  %22.1f  %16.0f\n", fronts, all, messages,
                    bytes / 1e3, bytes / fronts / 1e3, change * fronts / 1e3, whole * fronts / 1e3);
    }
}
