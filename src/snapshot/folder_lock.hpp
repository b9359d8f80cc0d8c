// An advisory lock that lets only one process write a given name in a folder.
#pragma once

#include <string>
#include <utility>

#include "snapshot/file_descriptor.hpp"

namespace gannethold::snapshot {

// The kernel releases the lock when the process ends for any reason.
class FolderLock {
  public:
    explicit FolderLock(std::string path) : path_(std::move(path)) {}

    // Acquires the lock unless it is held already. Returns "" or the reason of the failure in one line. A
    // held lock counts only if it is on the file that has the name now: after the folder was removed and
    // created again, another process may have locked the same name.
    std::string acquire();
    void release() { file_.reset(); }

  private:
    bool is_held() const;

    std::string path_;
    FileDescriptor file_;
};

}  // namespace gannethold::snapshot
