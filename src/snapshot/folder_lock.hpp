// An advisory lock by which one process alone writes a name in a folder.
#pragma once

#include <string>
#include <utility>

#include "snapshot/file_descriptor.hpp"

namespace gannethold::snapshot {

// The kernel releases it when the process ends, however it ends.
class FolderLock {
  public:
    explicit FolderLock(std::string path) : path_(std::move(path)) {}

    // Takes the lock unless it is ours already. Returns "" or, in one line, why it cannot be had. Ours is
    // only a lock on the file that bears the name now: in a folder that was removed and made again, another
    // process may have locked the same name.
    std::string acquire();
    void release() { file_.reset(); }

  private:
    bool is_held() const;

    std::string path_;
    FileDescriptor file_;
};

}  // namespace gannethold::snapshot
