#include "cluster/store/store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <algorithm>
#include <cstdio>

#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kVotingStateKey[] = "promise";
constexpr char kEntryKey[] = "entry";
constexpr char kConfirmedPrefix[] = "confirmed/";

// Keys sort as the records do: by the index of their log entry, then by version.
std::string confirmed_key(const ConfirmedVersion& record) {
    char key[64];
    std::snprintf(key, sizeof key, "%s%020llu/%020llu", kConfirmedPrefix,
                  static_cast<unsigned long long>(record.index),
                  static_cast<unsigned long long>(record.version));
    return key;
}

std::string digest_text(Number digest) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(digest));
    return text;
}

leaf::result<ConfirmedVersion> confirmed_from(const std::string& key, const std::string& value) {
    unsigned long long index = 0;
    unsigned long long version = 0;
    unsigned long long digest = 0;
    const bool key_read =
        std::sscanf(key.c_str() + sizeof kConfirmedPrefix - 1, "%20llu/%20llu", &index, &version) == 2;
    if (!key_read || std::sscanf(value.c_str(), "%16llx", &digest) != 1)
        return make_error(ErrorCode::disk_failed, "a confirmed version can not be read");
    return ConfirmedVersion{version, digest, index};
}

bool before(const ConfirmedVersion& a, const ConfirmedVersion& b) {
    return std::pair(a.index, a.version) < std::pair(b.index, b.version);
}

std::vector<ConfirmedVersion> sorted(std::vector<ConfirmedVersion> records) {
    std::sort(records.begin(), records.end(), before);
    return records;
}

leveldb::Options database_options() {
    leveldb::Options options;
    options.create_if_missing = true;
    options.write_buffer_size = Store::kBuffer;
    options.max_file_size = Store::kBuffer;
    options.compression = leveldb::kNoCompression;
    return options;
}

leveldb::ReadOptions reading() {
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    return options;
}

}  // namespace

Store::Store() = default;
Store::~Store() = default;

leaf::result<PersistentState> Store::open(const std::string& folder) {
    base_.reset();
    has_entry_ = false;
    written_confirmed_.clear();
    const leveldb::Options options = database_options();
    leveldb::DB* opened = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, folder + "/state", &opened);
    if (status.IsCorruption() || status.IsInvalidArgument()) {
        // Never guessed at: the whole is laid aside, and the machine learns anew from the others.
        leveldb::DestroyDB(folder + "/state", options);
        status = leveldb::DB::Open(options, folder + "/state", &opened);
    }
    if (!status.ok()) return make_error(ErrorCode::disk_failed, status.ToString());
    base_.reset(opened);
    return leaf::try_handle_all([&] { return read(); }, [] { return PersistentState{}; });
}

leaf::result<PersistentState> Store::read() {
    std::string voting_state;
    std::string entry;
    const bool found = base_->Get(reading(), kVotingStateKey, &voting_state).ok() &&
                       base_->Get(reading(), kEntryKey, &entry).ok();
    if (!found) return PersistentState{};
    PersistentState state;
    BOOST_LEAF_ASSIGN(state.voting_state, decode_voting_state(voting_state));
    BOOST_LEAF_ASSIGN(state.entry, decode_entry(entry));
    BOOST_LEAF_ASSIGN(state.entry.confirmed, read_confirmed());
    written_ = state.entry.position;
    written_confirmed_ = state.entry.confirmed;
    has_entry_ = true;
    return state;
}

leaf::result<std::vector<ConfirmedVersion>> Store::read_confirmed() {
    std::vector<ConfirmedVersion> records;
    const std::unique_ptr<leveldb::Iterator> at(base_->NewIterator(reading()));
    for (at->Seek(kConfirmedPrefix); at->Valid() && at->key().starts_with(kConfirmedPrefix); at->Next()) {
        BOOST_LEAF_AUTO(record, confirmed_from(at->key().ToString(), at->value().ToString()));
        records.push_back(record);
    }
    if (!at->status().ok()) return make_error(ErrorCode::disk_failed, at->status().ToString());
    return records;
}

// Only what changed of the confirmed versions is written.
void Store::put_entry(leveldb::WriteBatch& batch, const LogEntry& entry) const {
    LogEntry alone{entry.position, entry.version, entry.members, entry.outgoing_members, {}, entry.body};
    batch.Put(kEntryKey, encode_entry(alone));
    const std::vector<ConfirmedVersion> old_records = sorted(written_confirmed_);
    const std::vector<ConfirmedVersion> new_records = sorted(entry.confirmed);
    for (const ConfirmedVersion& record : old_records)
        if (!std::binary_search(new_records.begin(), new_records.end(), record, before))
            batch.Delete(confirmed_key(record));
    for (const ConfirmedVersion& record : new_records) {
        const auto known = std::lower_bound(old_records.begin(), old_records.end(), record, before);
        if (known == old_records.end() || !(*known == record))
            batch.Put(confirmed_key(record), digest_text(record.digest));
    }
}

leaf::result<void> Store::write(const PersistentState& state) {
    if (!base_) return make_error(ErrorCode::disk_failed, "not open");
    leveldb::WriteBatch batch;
    batch.Put(kVotingStateKey, encode_voting_state(state.voting_state));
    const bool entry_changed = !has_entry_ || written_ != state.entry.position;
    if (entry_changed) put_entry(batch, state.entry);
    leveldb::WriteOptions writing;
    writing.sync = true;
    const leveldb::Status status = base_->Write(writing, &batch);
    if (!status.ok()) {
        base_.reset();
        return make_error(ErrorCode::disk_failed, status.ToString());
    }
    if (entry_changed) {
        written_ = state.entry.position;
        written_confirmed_ = state.entry.confirmed;
        has_entry_ = true;
    }
    return {};
}

}  // namespace gannethold::cluster
