// A core member's durable state in LevelDB: its promises, the newest log entry, and one small record for each
// confirmed configuration number. Every write is synced before it returns; what belongs together stands in
// one batch, so that a torn one is there whole or not at all.
//
// Options, and why: sync on every write (what is said follows from it); paranoid_checks off at opening, since
// a loss of power may tear what was never synced and the log's tail is then cut where its checksums end;
// verify_checksums on every read, since what was synced must be whole. A store that can not be read is a lost
// disk: its owner must not vote as if it had never voted, so it comes back as no member.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/consensus/consensus.hpp"

namespace leveldb {
class DB;
class WriteBatch;
}  // namespace leveldb

namespace gannethold::cluster {

class Store {
  public:
    // The log and its tables stay under a few bodies of a configuration: LevelDB drops what is overwritten.
    static constexpr std::size_t kBuffer = 1U << 20;

    Store();
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;
    // Error: disk_failed. Creates the folder's database where there is none.
    leaf::result<PersistentState> open(const std::string& folder);
    // Error: disk_failed; then nothing may be taken for written, and open() is to be called anew.
    leaf::result<void> write(const PersistentState& state);

  private:
    leaf::result<PersistentState> read();
    leaf::result<std::vector<ConfirmedVersion>> read_confirmed();
    void put_entry(leveldb::WriteBatch& batch, const LogEntry& entry) const;

    std::unique_ptr<leveldb::DB> base_;
    LogPosition written_;
    std::vector<ConfirmedVersion> written_confirmed_;
    bool has_entry_ = false;
};

}  // namespace gannethold::cluster
