#include "cluster/store/store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <algorithm>
#include <utility>

#include "cluster/store/confirmed_record.hpp"
#include "cluster/store/synced_renames.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kDatabaseName[] = "/state";
constexpr char kVotingStateKey[] = "promise";
constexpr char kEntryKey[] = "entry";
// LevelDB's write buffer and table size. Small, so that overwritten data is compacted soon and the files stay
// smaller than a few configuration bodies.
constexpr std::size_t kBufferBytes = 1U << 20;

leveldb::Slice slice(std::string_view text) { return {text.data(), text.size()}; }

bool is_before(const ConfirmedVersion& left, const ConfirmedVersion& right) {
    return std::pair(left.index, left.version) < std::pair(right.index, right.version);
}

std::vector<ConfirmedVersion> sorted(std::vector<ConfirmedVersion> records) {
    std::sort(records.begin(), records.end(), is_before);
    return records;
}

leveldb::Options database_options() {
    static SyncedRenames environment;
    leveldb::Options options;
    options.env = &environment;
    options.create_if_missing = true;
    options.write_buffer_size = kBufferBytes;
    options.max_file_size = kBufferBytes;
    options.compression = leveldb::kNoCompression;
    return options;
}

leveldb::ReadOptions read_options() {
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    return options;
}

struct OpenResult {
    leveldb::Status status;
    std::unique_ptr<leveldb::DB> database;  // nullptr unless status.ok()
};

OpenResult open_database(const std::string& path) {
    leveldb::DB* database = nullptr;
    const leveldb::Status status = leveldb::DB::Open(database_options(), path, &database);
    return {status, std::unique_ptr<leveldb::DB>(database)};
}

}  // namespace

Store::Store() = default;
Store::~Store() = default;

leaf::result<PersistentState> Store::open(const std::string& directory) {
    database_.reset();
    persisted_position_.reset();
    persisted_confirmed_.clear();
    const std::string path = directory + kDatabaseName;
    OpenResult opened = open_database(path);
    if (opened.status.IsCorruption() || opened.status.IsInvalidArgument()) {
        // Treated as a lost disk: the member recovers its state from the others.
        leveldb::DestroyDB(path, database_options());
        opened = open_database(path);
    }
    if (!opened.status.ok()) return make_error(ErrorCode::disk_failed, opened.status.ToString());
    database_ = std::move(opened.database);
    return leaf::try_handle_all([&] { return read(); }, [] { return PersistentState{}; });
}

leaf::result<PersistentState> Store::read() {
    std::string voting_state;
    std::string entry;
    const bool is_found = database_->Get(read_options(), kVotingStateKey, &voting_state).ok() &&
                          database_->Get(read_options(), kEntryKey, &entry).ok();
    if (!is_found) return PersistentState{};
    PersistentState state;
    BOOST_LEAF_ASSIGN(state.voting_state, decode_voting_state(voting_state));
    BOOST_LEAF_ASSIGN(state.entry, decode_entry(entry));
    BOOST_LEAF_ASSIGN(state.entry.confirmed, read_confirmed());
    record_persisted(state.entry);
    return state;
}

leaf::result<std::vector<ConfirmedVersion>> Store::read_confirmed() {
    std::vector<ConfirmedVersion> records;
    const leveldb::Slice prefix = slice(kConfirmedPrefix);
    const std::unique_ptr<leveldb::Iterator> iterator(database_->NewIterator(read_options()));
    for (iterator->Seek(prefix); iterator->Valid() && iterator->key().starts_with(prefix); iterator->Next()) {
        BOOST_LEAF_AUTO(record, decode_confirmed(iterator->key().ToString(), iterator->value().ToString()));
        records.push_back(record);
    }
    if (!iterator->status().ok()) return make_error(ErrorCode::disk_failed, iterator->status().ToString());
    return records;
}

// Writes only the changed records of confirmed versions: most entries add one record to thousands.
void Store::put_entry(leveldb::WriteBatch& batch, const LogEntry& entry) const {
    LogEntry without_records = entry;
    without_records.confirmed.clear();
    batch.Put(kEntryKey, encode_entry(without_records));
    const std::vector<ConfirmedVersion> persisted = sorted(persisted_confirmed_);
    const std::vector<ConfirmedVersion> current = sorted(entry.confirmed);
    for (const ConfirmedVersion& record : persisted)
        if (!std::binary_search(current.begin(), current.end(), record, is_before))
            batch.Delete(confirmed_key(record));
    for (const ConfirmedVersion& record : current) {
        const auto known = std::lower_bound(persisted.begin(), persisted.end(), record, is_before);
        const bool is_persisted = known != persisted.end() && *known == record;
        if (!is_persisted) batch.Put(confirmed_key(record), confirmed_value(record));
    }
}

leaf::result<void> Store::write(const PersistentState& state) {
    if (!database_) return make_error(ErrorCode::disk_failed, "the store is not open");
    leveldb::WriteBatch batch;
    batch.Put(kVotingStateKey, encode_voting_state(state.voting_state));
    const bool has_new_entry = persisted_position_ != state.entry.position;
    if (has_new_entry) put_entry(batch, state.entry);
    leveldb::WriteOptions options;
    options.sync = true;
    const leveldb::Status status = database_->Write(options, &batch);
    if (!status.ok()) {
        database_.reset();
        return make_error(ErrorCode::disk_failed, status.ToString());
    }
    if (has_new_entry) record_persisted(state.entry);
    return {};
}

void Store::record_persisted(const LogEntry& entry) {
    persisted_position_ = entry.position;
    persisted_confirmed_ = entry.confirmed;
}

}  // namespace gannethold::cluster
