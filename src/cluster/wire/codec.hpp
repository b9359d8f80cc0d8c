// Bytes of a message: its length (4 bytes, lowest first), then a packed Cap'n Proto Envelope.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster/base/error.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

struct ReceivedMessage {
    std::string from;  // empty unless the sender named itself
    Message message;
};

std::string encode(const Message& message, std::string_view from = {});
// Error: bytes_malformed.
leaf::result<ReceivedMessage> decode(std::string_view packed);

// An entry as it travels, and as it stands on disk; a member's promises on disk. Errors of reading:
// bytes_malformed.
std::string encode_payload(const EntryPayload& payload);
leaf::result<EntryPayload> decode_payload(std::string_view bytes);
std::string encode_entry(const LogEntry& entry);
leaf::result<LogEntry> decode_entry(std::string_view bytes);
std::string encode_promise(const Promise& promise);
leaf::result<Promise> decode_promise(std::string_view bytes);

// Cuts a stream into messages. A length over the bound is an error: against memory taken by a stranger's
// word.
class Frames {
  public:
    static constexpr std::size_t kMost = 16U << 20;
    void add(std::string_view bytes) { held_.append(bytes); }
    // The next whole message's packed bytes, good until the next call; nothing yet: nullopt.
    leaf::result<std::optional<std::string_view>> next();

  private:
    std::string held_;
    std::size_t read_ = 0;
};

}  // namespace gannethold::cluster
