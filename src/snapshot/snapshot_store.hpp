// Stores snapshots on disk: a file that is either complete or absent, and the previous generation beside it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snapshot/file_system.hpp"
#include "snapshot/snapshot.hpp"

namespace gannethold::snapshot {

class SnapshotStore {
  public:
    // Writes FOLDER/NAME.keep, and NAME.keep.before beside it.
    // REQUIRES: the folder exists; file_system outlives the store and its copies.
    SnapshotStore(std::string folder, const std::string& name, FileSystem& file_system = posix_file_system());

    // Writes a temporary file, syncs it, renames it into place and syncs the folder: after a failure at any
    // step, a reader finds a complete file. Blocks on the disk. Throws std::runtime_error, also if a file of
    // a newer format version is in place, which is never overwritten.
    void write(std::string_view bytes) const;

    struct LoadResult {
        std::optional<Snapshot> snapshot;
        std::string file;                  // the path that it was read from
        std::vector<std::string> skipped;  // one line for each file that could not be read
    };
    // Loads the newest generation that can be read.
    LoadResult load() const;

    const std::string& path() const { return path_; }

  private:
    void refuse_newer_format() const;
    void write_and_sync(const std::string& path, std::string_view bytes) const;

    std::string folder_;
    std::string path_;
    FileSystem* file_system_;
};

// All bytes of a snapshot's file. Throws std::runtime_error if there is none.
std::string read_file(const std::string& path);

}  // namespace gannethold::snapshot
