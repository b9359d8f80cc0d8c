// A LevelDB environment whose renames survive a power loss.
//
// LevelDB installs a new manifest with a rename and then removes the previous manifest, but does not sync the
// directory until the next manifest is synced. A power loss in between may undo the rename and keep the
// removal; the database then refers to a manifest that does not exist.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace gannethold::cluster {

/// Thread-safe, as leveldb::Env requires.
class SyncedRenames : public leveldb::EnvWrapper {
  public:
    SyncedRenames();

    /// Renames the file and syncs the directory of `to`. After an IOError the rename may or may not be done.
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
};

}  // namespace gannethold::cluster
