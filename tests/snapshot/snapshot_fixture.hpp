// Shared helpers of the snapshot tests.
#pragma once

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <string>

#include "snapshot/snapshot.hpp"

namespace gannethold::snapshot {

// A temporary folder, removed with its content at the end of a test.
class TemporaryFolder {
  public:
    TemporaryFolder() { std::filesystem::create_directory(path); }
    ~TemporaryFolder() {
        std::filesystem::permissions(path, std::filesystem::perms::owner_all);
        std::filesystem::remove_all(path);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string path = "snapshot-" + std::to_string(getpid());
};

// Every runner's start time is the generation's number, so that a mixture of two generations is detected.
inline Snapshot make_snapshot(int generation, std::size_t runners = 50) {
    Snapshot snapshot;
    snapshot.written_ms = 1'700'000'000'000 + generation;
    snapshot.dispatcher = "n0";
    for (std::size_t i = 0; i < runners; ++i)
        snapshot.runners.push_back({"s-" + std::to_string(i), "m", "a", "127.0.0.1:6000", generation,
                                    HistogramBins(20, 1.5F), 0.5, 4, 0.02});
    snapshot.overrides.push_back({"s-1", "ada", "rewiring", 1'700'000'000'000});
    return snapshot;
}

}  // namespace gannethold::snapshot
