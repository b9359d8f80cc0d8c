#include "cluster/consensus/entry_transfer.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {

void EntrySender::start(LogPosition position, LogPosition base, std::shared_ptr<const std::string> payload,
                        Micros now) {
    position_ = position;
    base_ = base;
    payload_ = std::move(payload);
    started_at_ = now;
    offset_ = 0;
    sent_in_round_ = 0;
}

void EntrySender::stop() {
    payload_.reset();
    position_ = {};
    offset_ = 0;
}

void EntrySender::on_confirmed(ByteCount received, Micros now) {
    offset_ = received;
    const Micros elapsed = now - sent_at_;
    if (elapsed <= kFastConfirmation) chunk_bytes_ = std::min(2 * chunk_bytes_, kMaxChunkBytes);
    if (elapsed > kSlowConfirmation) chunk_bytes_ = std::max(chunk_bytes_ / 2, kMinChunkBytes);
}

EntryChunk EntrySender::chunk(Term term, Round round, Micros now) {
    sent_in_round_ = round;
    sent_at_ = now;
    if (offset_ > payload_->size()) offset_ = 0;
    EntryChunk chunk;
    chunk.term = term;
    chunk.round = round;
    chunk.position = position_;
    chunk.base = base_;
    chunk.offset = offset_;
    chunk.total = payload_->size();
    chunk.bytes = payload_->substr(offset_, chunk_bytes_);
    return chunk;
}

std::optional<std::string> EntryReceiver::add(const EntryChunk& chunk) {
    if (chunk.total > kMaxPayloadBytes) return {};
    if (position_ != chunk.position || base_ != chunk.base || total_ != chunk.total) {
        reset();
        position_ = chunk.position;
        base_ = chunk.base;
        total_ = chunk.total;
    }
    if (chunk.offset != payload_.size()) return {};
    payload_ += chunk.bytes;
    if (payload_.size() != total_) return {};
    std::string complete = std::move(payload_);
    reset();
    return complete;
}

void EntryReceiver::reset() {
    position_ = {};
    base_ = {};
    total_ = 0;
    payload_.clear();
}

}  // namespace gannethold::cluster
