// The transfer of a log entry to one member: an encoded payload, cut into chunks. One chunk is under way at a
// time, and the next follows its confirmation. So at most one chunk is queued to a member, however slow its
// link is, and heartbeats are not held up behind it.
//
// No I/O and no clock: the caller passes the time of its steady clock.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// The size of chunks adapts to the link: it doubles when a chunk is confirmed within kFastConfirmation and
// halves when that takes longer than kSlowConfirmation, since heartbeats behind it would come late.
constexpr std::size_t kInitialChunkBytes = std::size_t{4} * 1024;
constexpr std::size_t kMinChunkBytes = 1024;
constexpr std::size_t kMaxChunkBytes = std::size_t{32} * 1024;
constexpr Micros kFastConfirmation = 45'000;
constexpr Micros kSlowConfirmation = 90'000;
// A payload announced as larger than this is not received.
constexpr std::size_t kMaxPayloadBytes = 64U << 20;

// The leader's side, for one member.
class EntrySender {
  public:
    // Starts at the payload's first byte; a transfer under way is dropped. base: the entry to which the
    // payload is a difference; {}: none.
    void start(LogPosition position, LogPosition base, std::shared_ptr<const std::string> payload,
               Micros now);
    void stop();

    bool active() const { return payload_ != nullptr; }
    // Whether the payload needs more than one chunk.
    bool large() const { return payload_ != nullptr && payload_->size() > chunk_bytes_; }
    // The entry under way; a newer one follows once the member has stored this one. {}: none.
    const LogPosition& position() const { return position_; }
    const LogPosition& base() const { return base_; }
    // REQUIRES: active().
    const std::string& payload() const { return *payload_; }
    Micros started_at() const { return started_at_; }
    std::size_t chunk_bytes() const { return chunk_bytes_; }
    // Where the next chunk begins.
    ByteCount offset() const { return offset_; }
    // The heartbeat round in which the last chunk was sent. A response to a later round that shows no
    // progress says that the chunk was lost with its connection.
    Round sent_in_round() const { return sent_in_round_; }

    // The member has received that much of the payload.
    void on_confirmed(ByteCount received, Micros now);
    // A chunk was lost: the next one begins there.
    void restart_at(ByteCount offset) { offset_ = offset; }
    // The chunk at the offset, which counts as sent in that round. REQUIRES: active().
    EntryChunk chunk(Term term, Round round, Micros now);

  private:
    LogPosition position_;
    LogPosition base_;
    std::shared_ptr<const std::string> payload_;
    Micros started_at_ = 0;
    ByteCount offset_ = 0;
    Round sent_in_round_ = 0;
    std::size_t chunk_bytes_ = kInitialChunkBytes;  // kept from one transfer to the next
    Micros sent_at_ = 0;                            // of the last chunk
};

// The member's side.
class EntryReceiver {
  public:
    // The complete payload once its last chunk has come. A chunk of another entry, base or size drops what
    // was received so far; one that doesn't continue it (sent twice, or its predecessor was lost) is ignored.
    std::optional<std::string> add(const EntryChunk& chunk);
    void reset();
    // The entry that is being received; {}: none.
    const LogPosition& position() const { return position_; }
    ByteCount received() const { return payload_.size(); }

  private:
    LogPosition position_;
    LogPosition base_;
    ByteCount total_ = 0;
    std::string payload_;
};

}  // namespace gannethold::cluster
