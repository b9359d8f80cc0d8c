// A core member's persistent state in LevelDB: its promises, the newest log entry, and one small record for
// each committed configuration version.
//
// Options of LevelDB, and why. sync on every write: messages that follow from it are sent next.
// paranoid_checks off while opening: a loss of power may tear what was never synced, and the log is then cut
// where its checksums end. env: synced_renames.hpp. verify_checksums on every read: what was synced must be
// intact.
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

// Thread safety: none; all calls come from one thread. Between a successful open() and the destructor, the
// next open() or a failed write() the database is locked against other processes.
class Store {
  public:
    Store();
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // Opens the database in that folder, or creates it, and returns what is durable: the state of the last
    // write() that succeeded, or of one after it that was not finished. Default values if there is none.
    //
    // A database that can't be read counts as a lost disk: it is never guessed at. The state is then that of
    // no member, whose owner must not vote as if it had never voted.
    //
    // Error: disk_failed if there is no database after the call; then every write() fails. Any number of
    // calls: each closes the database that was open.
    // REQUIRES: the folder exists, and no other process has its database open.
    leaf::result<PersistentState> open(const std::string& folder);

    // Makes the state durable: when it returns without an error, all of it is synced to disk. It is written
    // as one batch, so that after a crash all of it is there or none. The entry is not written again while
    // its position is the same.
    //
    // Error: disk_failed. The state may be durable or not, and the store is closed: call open() for what is.
    // REQUIRES: after an open() without an error.
    leaf::result<void> write(const PersistentState& state);

  private:
    leaf::result<PersistentState> read();
    leaf::result<std::vector<ConfirmedVersion>> read_confirmed();
    void put_entry(leveldb::WriteBatch& batch, const LogEntry& entry) const;
    void remember_persisted(const LogEntry& entry);

    std::unique_ptr<leveldb::DB> database_;  // nullptr: not open
    // Of the entry on disk; nullopt: none, or not known.
    std::optional<LogPosition> persisted_position_;
    std::vector<ConfirmedVersion> persisted_confirmed_;
};

}  // namespace gannethold::cluster
