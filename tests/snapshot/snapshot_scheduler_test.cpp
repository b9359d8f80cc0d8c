#include "snapshot/snapshot_scheduler.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <set>

#include "snapshot/snapshot_fixture.hpp"

using namespace gannethold;
using namespace gannethold::snapshot;

namespace {

// A scheduler that writes snapshots of a given number of runners, on a loop of its own.
class SchedulerFixture {
  public:
    explicit SchedulerFixture(const std::string& folder, std::size_t runners = 100, Micros interval = 20'000)
        : runners_(runners),
          scheduler(
              loop_, SnapshotStore(folder, "n0"), interval,
              [this](std::size_t offset, std::size_t max) { return collect_part(offset, max); },
              [this](const std::string& line, bool is_working) {
                  reports.push_back((is_working ? "+" : "-") + line);
              }) {}
    // Runs the loop, for a bounded time, until the condition is met.
    bool run_until(const std::function<bool()>& condition) {
        for (const Micros end = net::Loop::now() + 5'000'000; net::Loop::now() < end; usleep(500)) {
            loop_.run_once(false);
            if (condition()) return true;
        }
        return false;
    }

  private:
    SnapshotScheduler::Part collect_part(std::size_t offset, std::size_t max_runners) const {
        SnapshotScheduler::Part part{make_snapshot(generation, 0), 0};
        if (offset > 0) part.snapshot.overrides.clear();
        for (std::size_t i = offset; i < runners_ && i - offset < max_runners; ++i) {
            part.snapshot.runners.push_back(
                {"s-" + std::to_string(i), "m", "a", "x", generation, HistogramBins(20, 1.5F), 0.5, 4, 0.02});
            if (i + 1 < runners_ && i + 1 - offset == max_runners) part.next_offset = i + 1;
        }
        return part;
    }

    net::Loop loop_{16};
    const std::size_t runners_;

  public:
    std::vector<std::string> reports;
    int generation = 1;
    SnapshotScheduler scheduler;
};

std::optional<Snapshot> load(const TemporaryFolder& folder) {
    return SnapshotStore(folder.path, "n0").load().snapshot;
}

}  // namespace

TEST_CASE("a snapshot sent in parts is written complete, and a writer killed in the middle is replaced") {
    const TemporaryFolder folder;
    SchedulerFixture fixture(folder.path, 500);
    SnapshotScheduler& scheduler = fixture.scheduler;
    REQUIRE(fixture.run_until([&] { return scheduler.stats().written == 1; }));
    CHECK(load(folder)->runners.size() == 500);
    CHECK(load(folder)->overrides.size() == 1);
    std::set<pid_t> killed;
    for (int round = 0; round < 30; ++round) {
        fixture.generation = round + 2;
        scheduler.start();
        const Micros kill_at = net::Loop::now() + Micros{4'000} * round;
        fixture.run_until([&] { return net::Loop::now() >= kill_at; });
        if (scheduler.writer_process() > 0) {
            kill(scheduler.writer_process(), SIGKILL);
            killed.insert(scheduler.writer_process());
        }
        REQUIRE(fixture.run_until([&] { return !scheduler.is_writing(); }));
        const SnapshotStore::LoadResult loaded = SnapshotStore(folder.path, "n0").load();
        REQUIRE(loaded.snapshot);
        CHECK(loaded.skipped.empty());
        CHECK(loaded.snapshot->runners.size() == 500);
        for (const SavedRunner& runner : loaded.snapshot->runners)
            CHECK(runner.started_ms == loaded.snapshot->runners[0].started_ms);
    }
    CHECK(killed.size() > 20);
    const auto written_before = scheduler.stats().written;
    CHECK(fixture.run_until([&] { return scheduler.stats().written > written_before; }));
}

TEST_CASE(
    "of two dispatchers with the same name and folder, the second reports the conflict and writes only after "
    "the first has exited") {
    const TemporaryFolder folder;
    auto first = std::make_unique<SchedulerFixture>(folder.path);
    first->generation = 1;
    REQUIRE(first->run_until([&] { return first->scheduler.stats().written > 0; }));
    SchedulerFixture second(folder.path);
    second.generation = 2;
    REQUIRE(second.reports.size() == 1);
    CHECK(second.reports[0].find("another dispatcher of this name") != std::string::npos);
    second.run_until([&] { return second.scheduler.stats().failed > 2; });
    second.scheduler.write_final();
    CHECK(second.scheduler.stats().written == 0);
    CHECK(second.reports.size() == 1);
    CHECK(load(folder)->runners[0].started_ms == 1);
    first.reset();
    second.scheduler.start();
    CHECK(second.run_until([&] { return second.scheduler.stats().written > 0; }));
    CHECK(load(folder)->runners[0].started_ms == 2);
    CHECK(second.reports.back() == "+snapshot: written again");
}

TEST_CASE("a folder that vanishes and returns is reported once each way, with backoff in between") {
    namespace files = std::filesystem;
    const TemporaryFolder folder;
    SchedulerFixture fixture(folder.path);
    const SnapshotStats& stats = fixture.scheduler.stats();
    REQUIRE(fixture.run_until([&] { return stats.written > 0; }));
    files::remove_all(folder.path);
    REQUIRE(fixture.run_until([&] { return stats.consecutive_failures >= 3; }));
    CHECK(fixture.reports.size() == 1);
    files::create_directory(folder.path);
    REQUIRE(fixture.run_until([&] { return stats.consecutive_failures == 0; }));
    CHECK(fixture.reports.size() == 2);
    CHECK(load(folder));
    CHECK(SnapshotScheduler::backoff(30, 0) == 30);
    CHECK(SnapshotScheduler::backoff(30, 1) == 60);
    CHECK(SnapshotScheduler::backoff(30, 900) == 480);
    // A folder in place of the temporary file simulates missing write permission, which root would ignore.
    files::create_directory(folder.path + "/n0.keep.new");
    REQUIRE(fixture.run_until([&] { return stats.consecutive_failures > 0; }));
    CHECK(fixture.reports.back().find("cannot write") != std::string::npos);
}
