// A core member's persistent state in LevelDB: its voting state, the newest log entry, and one small record
// for each committed configuration version.
//
// LevelDB options: sync is on for every write, since messages that depend on the write are sent next.
// paranoid_checks is off when opening: a power loss may tear unsynced data, and the log is then truncated at
// the first bad checksum. env is SyncedRenames (synced_renames.hpp). verify_checksums is on for every read,
// since synced data must be intact.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/consensus/persistent_state.hpp"

namespace leveldb {
class DB;
class WriteBatch;
}  // namespace leveldb

namespace gannethold::cluster {

// Not thread-safe: all calls must come from one thread. The database is locked against other processes from a
// successful open() until the destructor, the next open() or a failed write().
class Store {
  public:
    Store();
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // Opens or creates the database in the directory and returns the durable state: that of the last
    // successful write(), or of a later write() that was interrupted. Default values if there is none.
    //
    // An unreadable database is treated as a lost disk and replaced by an empty one. The returned state then
    // has is_member == false, and the caller must not assume that this machine has never voted.
    //
    // Error: disk_failed if the database cannot be opened; every write() then fails. May be called
    // repeatedly; each call closes the database that was open.
    // REQUIRES: the directory exists, and no other process has its database open.
    leaf::result<PersistentState> open(const std::string& directory);

    // Writes the state as one atomic batch and syncs it to disk before it returns. Does not write the entry
    // again if its position is unchanged.
    //
    // Error: disk_failed. The state may or may not be durable, and the store is closed; call open() to read
    // the durable state.
    // REQUIRES: open() has succeeded.
    leaf::result<void> write(const PersistentState& state);

  private:
    leaf::result<PersistentState> read();
    leaf::result<std::vector<ConfirmedVersion>> read_confirmed();
    void put_entry(leveldb::WriteBatch& batch, const LogEntry& entry) const;
    void record_persisted(const LogEntry& entry);

    std::unique_ptr<leveldb::DB> database_;  // nullptr: not open
    // Position of the entry on disk; nullopt if there is none or it is unknown.
    std::optional<LogPosition> persisted_position_;
    std::vector<ConfirmedVersion> persisted_confirmed_;
};

}  // namespace gannethold::cluster
