// How a log entry travels to one member: as an encoded payload, cut into chunks. One chunk is under way at a
// time and the next follows its confirmation, so that at most one chunk is queued to a member however slow
// its link is, and heartbeats go between. No I/O and no clock: times are
// given.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// A chunk is small at first. It grows while chunks are confirmed soon, and shrinks where a link takes so long
// for one that heartbeats behind it would come late: a member on a slow link hears its leader all the while.
constexpr std::size_t kFirstChunkBytes = std::size_t{4} * 1024;
constexpr std::size_t kLeastChunkBytes = 1024;
constexpr std::size_t kMostChunkBytes = std::size_t{32} * 1024;
constexpr Micros kSoonConfirmed = 45'000;
constexpr Micros kLateConfirmed = 90'000;
// A payload announced as larger than this is not received.
constexpr std::size_t kMostPayloadBytes = 64U << 20;

// The leader's side, for one member.
class EntrySender {
  public:
    void start(LogPosition position, LogPosition base, std::shared_ptr<const std::string> payload);
    void stop();
    bool active() const { return payload_ != nullptr; }
    // The entry under way; a newer one follows once the member holds it.
    const LogPosition& position() const { return position_; }
    // More than one chunk.
    bool large() const { return payload_ != nullptr && payload_->size() > chunk_bytes_; }
    std::size_t chunk_bytes() const { return chunk_bytes_; }
    const LogPosition& base() const { return base_; }
    Number offset() const { return offset_; }
    // The heartbeat round in which the last chunk was sent; an answer to a later round without progress says
    // that the chunk was lost with its connection.
    Number sent_in_round() const { return sent_in_round_; }
    // The member has that much of the payload.
    void confirmed(Number received, Micros now);
    // A chunk was lost: the next begins there.
    void restart_at(Number offset) { offset_ = offset; }
    // The chunk at the offset.
    EntryChunk chunk(Number term, Number round, Micros now);

  private:
    LogPosition position_, base_;
    std::shared_ptr<const std::string> payload_;
    Number offset_ = 0, sent_in_round_ = 0;
    std::size_t chunk_bytes_ = kFirstChunkBytes;
    Micros sent_at_ = 0;
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
