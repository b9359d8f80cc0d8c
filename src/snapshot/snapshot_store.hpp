// Where a keepsake lies: a file that is whole or not there, and the generation before it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "snapshot/file_system.hpp"
#include "snapshot/snapshot_format.hpp"

namespace gannethold::keepsake {

class Shelf {
  public:
    // folder/name.keep, with name.keep.before beside it. The folder must be there; the disk outlives the
    // shelf.
    Shelf(std::string folder, const std::string& name, Disk& disk = system_disk());

    // Writes aside, syncs, puts it in the place of the one before, syncs the folder: whatever happens in
    // between, a reader finds a whole file. Blocks as long as the disk does. Throws std::runtime_error, also
    // where a file of a newer form lies there: that is left alone.
    void put(const std::string& bytes) const;

    struct Found {
        std::optional<Record> record;
        std::string file;                      // that it is from
        std::vector<std::string> passed_over;  // which could not be read, and why
    };
    // The newest that can be read.
    Found take() const;
    const std::string& path() const { return path_; }

  private:
    std::string folder_, path_;
    Disk* disk_;
};

std::string read_whole(const std::string& path);  // throws std::runtime_error

}  // namespace gannethold::keepsake
