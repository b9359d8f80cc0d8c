#include "post/store/store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include "post/wire/codec.hpp"

namespace gannethold::post {
namespace {

constexpr char kPromise[] = "promise", kEntry[] = "entry";

}  // namespace

Store::Store() = default;
Store::~Store() = default;

leaf::result<Durable> Store::open(const std::string& folder) {
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
    if (!first.ok() || !second.ok()) return Durable{};
    return leaf::try_handle_all(
        [&]() -> leaf::result<Durable> {
            BOOST_LEAF_AUTO(p, decode(std::string_view(promise).substr(4)));
            BOOST_LEAF_AUTO(e, decode(std::string_view(entry).substr(4)));
            const auto* const said = std::get_if<Recollection>(&p.message);
            auto* const held = std::get_if<Recollection>(&e.message);
            if (!said || !held) return Durable{};
            written_ = held->entry.stamp;
            has_entry_ = true;
            const auto& followed = said->entry.members;
            return Durable{p.from == "member", said->term, said->leader, said->nonce, std::move(held->entry), followed.empty() ? std::string() : followed.front()};
        },
        [] { return Durable{}; });
}

leaf::result<void> Store::write(const Durable& durable) {
    if (!base_) return failure(Kind::disk_failed, "not open");
    leveldb::WriteBatch batch;
    // The promise has no entry of its own; who was followed stands where that would have its members.
    Entry promised;
    if (!durable.followed.empty()) promised.members = {durable.followed};
    batch.Put(kPromise, encode(Recollection{durable.abstains, durable.term, durable.voted_for, promised}, durable.member ? "member" : "none"));
    const bool entry = !has_entry_ || written_ != durable.entry.stamp;
    if (entry) batch.Put(kEntry, encode(Recollection{0, 0, {}, durable.entry}));
    leveldb::WriteOptions writing;
    writing.sync = true;
    const leveldb::Status status = base_->Write(writing, &batch);
    if (!status.ok()) {
        base_.reset();
        return failure(Kind::disk_failed, status.ToString());
    }
    if (entry) written_ = durable.entry.stamp, has_entry_ = true;
    return {};
}

}  // namespace gannethold::post
