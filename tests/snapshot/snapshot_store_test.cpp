#include "snapshot/snapshot_store.hpp"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include "snapshot/print_snapshot.hpp"
#include "snapshot/simulated_file_system.hpp"
#include "snapshot/snapshot_fixture.hpp"
#include "snapshot/snapshot_format.hpp"

using namespace gannethold::snapshot;

namespace {

constexpr int kLastGeneration = 3;

// Writes that generation. Returns whether it was written.
bool try_write(const SnapshotStore& store, int generation) {
    try {
        store.write(encode(make_snapshot(generation, 3)));
        return true;
    } catch (const std::runtime_error&) {
        return false;
    }
}

// Checks what a reader finds after a power failure: nothing if nothing was written, else a complete
// generation that is no older than the last one written. Files left over do not prevent later writes.
void check_outcome(SimulatedFileSystem& outcome, int last_written, int last_begun) {
    const SnapshotStore store("d", "n0", outcome);
    const SnapshotStore::LoadResult loaded = store.load();
    if (!loaded.snapshot) {
        CHECK(last_written == 0);
    } else {
        const auto generation = loaded.snapshot->runners[0].started_ms;
        CHECK(generation >= last_written);
        CHECK(generation <= last_begun);
        for (const SavedRunner& runner : loaded.snapshot->runners) CHECK(runner.started_ms == generation);
    }
    store.write(encode(make_snapshot(9, 3)));
    CHECK(store.load().snapshot->runners[0].started_ms == 9);
}

struct PowerFailureCount {
    int failures = 0;
    int outcomes = 0;
};

// Simulates a power failure at the given step of the write of the last generation. False: there are fewer
// steps.
bool fail_power_in_step(int generations, int step, bool folder_syncs, PowerFailureCount& count) {
    SimulatedFileSystem file_system;
    const SnapshotStore store("d", "n0", file_system);
    if (!folder_syncs)
        file_system.step_fails = [&](const char* name) {
            return std::string(name) == "sync folder" && generations < kLastGeneration;
        };
    int last_written = 0;
    for (int generation = 1; generation < generations; ++generation)
        if (try_write(store, generation)) last_written = generation;
    file_system.fail_power_at = file_system.steps + step;
    bool failed = false;
    try {
        if (try_write(store, generations)) last_written = generations;
    } catch (const PowerFailure&) {
        failed = true;
    }
    ++count.failures;
    file_system.for_each_outcome([&](SimulatedFileSystem& outcome) {
        ++count.outcomes;
        check_outcome(outcome, last_written, generations);
    });
    return failed;
}

/// A process that writes generations until it is killed, and announces each one after it is written.
class SnapshotWriterProcess {
  public:
    SnapshotWriterProcess(const SnapshotStore& store, int first_generation) {
        int ends[2];
        REQUIRE(pipe(ends) == 0);
        process_ = fork();
        REQUIRE(process_ >= 0);
        if (process_ == 0) {
            close(ends[0]);
            write_generations(store, first_generation, ends[1]);
        }
        close(ends[1]);
        announcements_ = ends[0];
    }
    ~SnapshotWriterProcess() { close(announcements_); }
    SnapshotWriterProcess(const SnapshotWriterProcess&) = delete;
    SnapshotWriterProcess& operator=(const SnapshotWriterProcess&) = delete;

    /// Waits until that many generations are announced. Returns the last one announced, 0 for none.
    int wait_for_writes(int count) {
        for (int written = 0; written < count; ++written) REQUIRE(read_announcement());
        return last_announced_;
    }

    /// Kills the process. Returns the last generation that it had announced.
    int kill_and_reap() {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
        while (read_announcement()) {
        }
        return last_announced_;
    }

  private:
    [[noreturn]] static void write_generations(const SnapshotStore& store, int generation,
                                               int announcements) {
        for (;; ++generation) {
            store.write(encode(make_snapshot(generation)));
            if (::write(announcements, &generation, sizeof generation) != sizeof generation) _exit(1);
        }
    }

    // False at the end of the pipe, when the process is gone.
    bool read_announcement() { return read(announcements_, &last_announced_, sizeof last_announced_) > 0; }

    pid_t process_ = -1;
    int announcements_ = -1;
    int last_announced_ = 0;
};

}  // namespace

TEST_CASE(
    "a power failure at any step of a write, whatever unsynced data survives, leaves a complete generation "
    "and "
    "loses none that was written") {
    PowerFailureCount count;
    // The folder may never have been synced since the generation before, and the one before that.
    for (const bool folder_syncs : {true, false})
        for (int generations = 1; generations <= kLastGeneration; ++generations)
            for (int step = 0; fail_power_in_step(generations, step, folder_syncs, count);) ++step;
    CHECK(count.failures > 40);
    CHECK(count.outcomes > 900);
}

TEST_CASE("an error at any step of a write leaves the generation before, and the next write succeeds") {
    for (const char* failing : {"create", "write", "sync", "link", "rename", "remove", "sync folder"}) {
        SimulatedFileSystem file_system;
        const SnapshotStore store("d", "n0", file_system);
        store.write(encode(make_snapshot(1)));
        file_system.step_fails = [&](const char* step) { return std::string(step) == failing; };
        CHECK_THROWS_AS(store.write(encode(make_snapshot(2))), std::runtime_error);
        const SnapshotStore::LoadResult loaded = store.load();
        REQUIRE(loaded.snapshot);
        CHECK(loaded.snapshot->runners[0].started_ms <= 2);
        file_system.step_fails = nullptr;
        store.write(encode(make_snapshot(3)));
        CHECK(store.load().snapshot->runners[0].started_ms == 3);
    }
}

TEST_CASE("a file of a newer format version is reported, skipped and never overwritten") {
    SimulatedFileSystem file_system;
    const SnapshotStore store("d", "n0", file_system);
    std::string newer = encode(make_snapshot(1));
    newer[8] = 2;
    file_system.create(store.path())->append(newer);
    const SnapshotStore::LoadResult loaded = store.load();
    CHECK_FALSE(loaded.snapshot);
    REQUIRE(loaded.skipped.size() == 1);
    CHECK(loaded.skipped[0].find("newer than 1") != std::string::npos);
    CHECK_THROWS_WITH_AS(store.write(encode(make_snapshot(2))), doctest::Contains("left alone"),
                         std::runtime_error);
    CHECK(file_system.read(store.path(), 1 << 20) == newer);
}

TEST_CASE("a process killed at any point of a write leaves a complete file or none") {
    const TemporaryFolder folder;
    const SnapshotStore store(folder.path, "n0");
    int complete = 0;
    int last = 0;
    int last_announced = 0;
    for (int round = 0; round < 40; ++round) {
        SnapshotWriterProcess writer(store, last + 1);
        // The process is killed after a number of writes, during the next one. Counted in writes, not in
        // time, so that a slow disk or a busy machine yields as many complete files.
        last_announced = std::max(last_announced, writer.wait_for_writes(round % 4));
        usleep(static_cast<useconds_t>(300 + 977 * round % 9'000));
        last_announced = std::max(last_announced, writer.kill_and_reap());
        const SnapshotStore::LoadResult loaded = store.load();
        CHECK(loaded.skipped.empty());
        // A generation that was announced as written must not be lost.
        CHECK(loaded.snapshot.has_value() >= (last_announced > 0));
        if (!loaded.snapshot) continue;
        ++complete;
        const auto generation = static_cast<int>(loaded.snapshot->runners[0].started_ms);
        CHECK(generation >= last);
        CHECK(generation >= last_announced);
        for (const SavedRunner& runner : loaded.snapshot->runners) CHECK(runner.started_ms == generation);
        last = generation;
    }
    CHECK(complete > 20);
}

TEST_CASE("if the newest file is corrupt, the previous one is loaded and the reason is reported") {
    const TemporaryFolder folder;
    const SnapshotStore store(folder.path, "n0");
    CHECK_FALSE(store.load().snapshot);
    store.write(encode(make_snapshot(1)));
    store.write(encode(make_snapshot(2)));
    std::ofstream(store.path(), std::ios::trunc) << "GNHKEEP\nhalf";
    const SnapshotStore::LoadResult loaded = store.load();
    REQUIRE(loaded.snapshot);
    CHECK(loaded.snapshot->runners[0].started_ms == 1);
    REQUIRE(loaded.skipped.size() == 1);
    CHECK(loaded.skipped[0].find("cut in its header") != std::string::npos);
    std::ostringstream out;
    std::ostringstream errors;
    CHECK(print_snapshot(store.path(), PrintDetail::summary, {}, out, errors) == 1);
    CHECK(print_snapshot(store.path() + ".before", PrintDetail::full, {}, out, errors) == 0);
    CHECK(out.str().find("50 runners") != std::string::npos);
    CHECK_THROWS_WITH_AS(SnapshotStore("/nowhere", "n0").write("x"), doctest::Contains("cannot write"),
                         std::runtime_error);
}
