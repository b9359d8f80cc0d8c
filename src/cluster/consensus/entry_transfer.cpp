#include "cluster/consensus/entry_transfer.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {

void EntrySender::start(LogPosition position, LogPosition base, std::shared_ptr<const std::string> payload) {
    position_ = position;
    base_ = base;
    payload_ = std::move(payload);
    offset_ = 0;
    sent_in_round_ = 0;
}

void EntrySender::stop() {
    payload_.reset();
    position_ = {};
    offset_ = 0;
}

void EntrySender::confirmed(Number received, Micros now) {
    offset_ = received;
    const Micros took = now - sent_at_;
    if (took <= kSoonConfirmed) chunk_bytes_ = std::min(2 * chunk_bytes_, kMostChunkBytes);
    if (took > kLateConfirmed) chunk_bytes_ = std::max(chunk_bytes_ / 2, kLeastChunkBytes);
}

EntryChunk EntrySender::chunk(Number term, Number round, Micros now) {
    sent_in_round_ = round;
    sent_at_ = now;
    if (offset_ > payload_->size()) offset_ = 0;
    return {
        term, round, position_, base_, offset_, payload_->size(), payload_->substr(offset_, chunk_bytes_)};
}

std::optional<std::string> EntryReceiver::add(const EntryChunk& chunk) {
    if (chunk.total_bytes > kMostPayloadBytes) return {};
    if (position_ != chunk.position || base_ != chunk.base || total_ != chunk.total_bytes) {
        reset();
        position_ = chunk.position;
        base_ = chunk.base;
        total_ = chunk.total_bytes;
    }
    if (chunk.offset != payload_.size()) return {};  // a chunk sent twice, or one whose predecessor was lost
    payload_ += chunk.bytes;
    if (payload_.size() != total_) return {};
    std::string whole = std::move(payload_);
    reset();
    return whole;
}

void EntryReceiver::reset() {
    position_ = {};
    base_ = {};
    total_ = 0;
    payload_.clear();
}

}  // namespace gannethold::cluster
