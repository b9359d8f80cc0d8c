// Transfers an encoded log entry to one member in chunks. The next chunk is sent when the previous one has
// been acknowledged, so at most one chunk is queued to a member however slow its link is, and heartbeats are
// not delayed by more than one chunk.
//
// No I/O and no clock: the caller passes the time of its steady clock.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// The chunk size adapts to the link: it doubles when a chunk is acknowledged within kFastConfirmation, and
// halves when that takes longer than kSlowConfirmation, since the heartbeats queued behind it would be late.
constexpr std::size_t kInitialChunkBytes = std::size_t{4} * 1024;
constexpr std::size_t kMinChunkBytes = 1024;
constexpr std::size_t kMaxChunkBytes = std::size_t{32} * 1024;
constexpr Micros kFastConfirmation = 45'000;
constexpr Micros kSlowConfirmation = 90'000;
// Chunks of a payload that is announced as larger than this are ignored.
constexpr std::size_t kMaxPayloadBytes = 64U << 20;

// The sending side at the leader, for one member.
class EntrySender {
  public:
    // Starts a transfer and cancels the one in progress, if any. `base` is the entry to which the payload is
    // a delta; {}: none.
    void start(LogPosition position, LogPosition base, std::shared_ptr<const std::string> payload,
               Micros now);
    void stop();

    bool is_active() const { return payload_ != nullptr; }
    // Whether the payload needs more than one chunk.
    bool is_large() const { return payload_ != nullptr && payload_->size() > chunk_bytes_; }
    // The entry in transfer; {}: none. A newer entry is sent once the member has stored this one.
    const LogPosition& position() const { return position_; }
    const LogPosition& base() const { return base_; }
    // REQUIRES: is_active().
    const std::string& payload() const { return *payload_; }
    Micros started_at() const { return started_at_; }
    std::size_t chunk_bytes() const { return chunk_bytes_; }
    // The offset of the next chunk.
    ByteCount offset() const { return offset_; }
    // The heartbeat round in which the last chunk was sent. If a response to a later round shows no progress,
    // the chunk was lost with its connection.
    Round sent_in_round() const { return sent_in_round_; }

    // Called when the member has acknowledged the first `received` bytes of the payload.
    void on_confirmed(ByteCount received, Micros now);
    // Continues at the offset after the loss of a chunk.
    void restart_at(ByteCount offset) { offset_ = offset; }
    // Returns the chunk at offset() and records it as sent in the round. REQUIRES: is_active().
    EntryChunk chunk(Term term, Round round, Micros now);

  private:
    LogPosition position_;
    LogPosition base_;
    std::shared_ptr<const std::string> payload_;
    Micros started_at_ = 0;
    ByteCount offset_ = 0;
    Round sent_in_round_ = 0;
    std::size_t chunk_bytes_ = kInitialChunkBytes;  // carried over to the next transfer
    Micros sent_at_ = 0;                            // of the last chunk
};

// The receiving side at a member.
class EntryReceiver {
  public:
    // Returns the complete payload when its last chunk is added. A chunk of a different entry, base or total
    // size discards the bytes received so far. A chunk that does not continue them, because it is a duplicate
    // or its predecessor was lost, is ignored.
    std::optional<std::string> add(const EntryChunk& chunk);
    void reset();
    // The entry being received; {}: none.
    const LogPosition& position() const { return position_; }
    ByteCount received() const { return payload_.size(); }

  private:
    LogPosition position_;
    LogPosition base_;
    ByteCount total_ = 0;
    std::string payload_;
};

}  // namespace gannethold::cluster
