#include "cluster/store/store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kPromise[] = "promise", kEntry[] = "entry";

}  // namespace

Store::Store() = default;
Store::~Store() = default;

leaf::result<PersistentState> Store::open(const std::string& folder) {
    base_.reset();
    has_entry_ = false;
    leveldb::Options options;
    options.create_if_missing = true;
    options.write_buffer_size = kBuffer;
    options.max_file_size = kBuffer;
    options.compression = leveldb::kNoCompression;
    leveldb::DB* opened = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, folder + "/state", &opened);
    if (status.IsCorruption() || status.IsInvalidArgument()) {
        // Never guessed at: the whole is laid aside, and the machine learns anew from the others.
        leveldb::DestroyDB(folder + "/state", options);
        status = leveldb::DB::Open(options, folder + "/state", &opened);
    }
    if (!status.ok()) return failure(Kind::disk_failed, status.ToString());
    base_.reset(opened);
    leveldb::ReadOptions reading;
    reading.verify_checksums = true;
    std::string promise, entry;
    const auto first = base_->Get(reading, kPromise, &promise), second = base_->Get(reading, kEntry, &entry);
    if (!first.ok() || !second.ok()) return PersistentState{};
    return leaf::try_handle_all(
        [&]() -> leaf::result<PersistentState> {
            BOOST_LEAF_AUTO(p, decode(std::string_view(promise).substr(4)));
            BOOST_LEAF_AUTO(e, decode(std::string_view(entry).substr(4)));
            const auto* const said = std::get_if<RecoveryResponse>(&p.message);
            auto* const held = std::get_if<RecoveryResponse>(&e.message);
            if (!said || !held) return PersistentState{};
            written_ = held->entry.position;
            has_entry_ = true;
            const auto& last_leader = said->entry.members;
            return PersistentState{
                p.from == "member",     said->term,
                said->leader,           said->nonce,
                std::move(held->entry), last_leader.empty() ? std::string() : last_leader.front()};
        },
        [] { return PersistentState{}; });
}

leaf::result<void> Store::write(const PersistentState& state) {
    if (!base_) return failure(Kind::disk_failed, "not open");
    leveldb::WriteBatch batch;
    // The promise has no entry of its own; who was last_leader stands where that would have its members.
    LogEntry promised;
    if (!state.last_leader.empty()) promised.members = {state.last_leader};
    batch.Put(kPromise,
              encode(RecoveryResponse{state.no_vote_through_term, state.term, state.voted_for, promised},
                     state.member ? "member" : "none"));
    const bool entry = !has_entry_ || written_ != state.entry.position;
    if (entry) batch.Put(kEntry, encode(RecoveryResponse{0, 0, {}, state.entry}));
    leveldb::WriteOptions writing;
    writing.sync = true;
    const leveldb::Status status = base_->Write(writing, &batch);
    if (!status.ok()) {
        base_.reset();
        return failure(Kind::disk_failed, status.ToString());
    }
    if (entry) written_ = state.entry.position, has_entry_ = true;
    return {};
}

}  // namespace gannethold::cluster
