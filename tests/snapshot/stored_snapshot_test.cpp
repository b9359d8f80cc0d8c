// Guards the stored format against renames of types and fields: the recorded files of an earlier dispatcher
// are still decoded, and are encoded to the same bytes.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <numeric>

#include "snapshot/snapshot_format.hpp"
#include "snapshot/snapshot_store.hpp"

using namespace gannethold::snapshot;

namespace {

const std::string kFolder = RECORDED_FIXTURES "/keepsake";

std::string bytes_of(const std::string& name) {
    std::ifstream file(std::filesystem::path(kFolder) / name, std::ios::binary);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace

TEST_CASE("the files of an earlier dispatcher are decoded with their values and encoded to the same bytes") {
    for (const std::string& name : std::vector<std::string>{"d-1.keep", "d-1.keep.before"}) {
        const std::string bytes = bytes_of(name);
        const Snapshot snapshot = decode(bytes);
        CHECK(snapshot.dispatcher == "d-1");
        CHECK(snapshot.runners.size() == 8);
        CHECK(snapshot.instance_types.size() == 2);
        CHECK(snapshot.workloads.size() == 1);
        CHECK(encode(snapshot) == bytes);
    }
}

TEST_CASE("the newest file of the folder is loaded") {
    const SnapshotStore::LoadResult loaded = SnapshotStore(kFolder, "d-1").load();
    REQUIRE(loaded.snapshot);
    CHECK(loaded.skipped.empty());
    CHECK(encode(*loaded.snapshot) == bytes_of("d-1.keep"));
    double fractions = 0;
    for (const SavedRunner& runner : loaded.snapshot->runners) {
        CHECK(runner.latency.size() == 20);
        CHECK(runner.min_latency > 0);
        fractions += runner.fraction;
    }
    CHECK(fractions == doctest::Approx(1));
    // The values that the `snapshot show` command printed when the files were written.
    CHECK(loaded.snapshot->written_ms == 1'796'198'195'891);
    CHECK(loaded.snapshot->typical_cost_us == doctest::Approx(86753.9));
    const SavedRunner& first = loaded.snapshot->runners.front();
    CHECK((first.name == "quick-3" && first.instance_type == "m" && first.zone == "a" &&
           first.started_ms == 0));
    CHECK(first.address == "127.179.0.3:21000");
    CHECK(std::accumulate(first.latency.begin(), first.latency.end(), 0.0) == doctest::Approx(117));
    CHECK(first.min_latency == doctest::Approx(0.679379));
    CHECK(first.slots == 1.5);
    CHECK(first.fraction == doctest::Approx(0.652353));
}
