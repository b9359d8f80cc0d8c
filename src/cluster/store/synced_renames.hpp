// LevelDB's environment, with renames that survive a loss of power.
//
// LevelDB names its newest manifest by a rename and then removes the one before, but syncs the folder only
// when a manifest is synced next. A loss of power in between may undo the rename and keep the removal: the
// database then names a manifest that is not there.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace gannethold::cluster {

/// Thread safety: as leveldb::Env, any thread may call.
class SyncedRenames : public leveldb::EnvWrapper {
  public:
    SyncedRenames();

    /// Returns once the rename is durable. IOError: it is not, and may be done or not.
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
};

}  // namespace gannethold::cluster
