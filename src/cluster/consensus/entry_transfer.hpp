// How a log entry travels to one member: as an encoded payload, cut into chunks. One chunk is under way at a
// time and the next follows its confirmation, so that at most one chunk is queued to a member however slow
// its link is, and heartbeats go between. No I/O and no clock.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// 64 ms on a link of 2 Mbit/s: well under the shortest time after which a silent leader is voted against.
constexpr std::size_t kChunkBytes = 16 * 1024;
// A payload announced as larger than this is not received.
constexpr std::size_t kMostPayloadBytes = 64U << 20;

// The leader's side, for one member.
class EntrySender {
  public:
    void start(LogPosition position, LogPosition base, std::shared_ptr<const std::string> payload);
    void stop();
    bool sending(const LogPosition& position) const { return payload_ != nullptr && position_ == position; }
    // More than one chunk.
    bool large() const { return payload_ != nullptr && payload_->size() > kChunkBytes; }
    const LogPosition& base() const { return base_; }
    Number offset() const { return offset_; }
    // The heartbeat round in which the last chunk was sent; an answer to a later round without progress says
    // that the chunk was lost with its connection.
    Number sent_in_round() const { return sent_in_round_; }
    void continue_at(Number offset) { offset_ = offset; }
    // The chunk at the offset.
    EntryChunk chunk(Number term, Number round);

  private:
    LogPosition position_, base_;
    std::shared_ptr<const std::string> payload_;
    Number offset_ = 0, sent_in_round_ = 0;
};

// The member's side.
class EntryReceiver {
  public:
    // The whole payload once its last chunk has come.
    std::optional<std::string> add(const EntryChunk& chunk);
    void reset();
    const LogPosition& position() const { return position_; }
    Number received() const { return payload_.size(); }

  private:
    LogPosition position_, base_;
    Number total_ = 0;
    std::string payload_;
};

}  // namespace gannethold::cluster
