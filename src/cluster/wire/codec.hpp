// Encodes and decodes messages and stored records. The functions are stateless and thread-safe.
#pragma once

#include <string>
#include <string_view>

#include "cluster/base/error.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// A decoded message and its sender.
struct ReceivedMessage {
    std::string from;  // the sender's control_plane address; empty unless the message contains it
    Message message;
};

// Returns a frame (frames.hpp) that contains a packed Cap'n Proto Envelope (cluster.capnp).
std::string encode(const Message& message, std::string_view from = {});
// Decodes the message in a frame's content. Error: bytes_malformed.
leaf::result<ReceivedMessage> decode(std::string_view packed);

// Records are packed Cap'n Proto structures without a frame: the payload that is sent in chunks, and the
// state that a controller stores. Error of each decode function: bytes_malformed.
std::string encode_payload(const EntryPayload& payload);
leaf::result<EntryPayload> decode_payload(std::string_view bytes);
std::string encode_entry(const LogEntry& entry);
leaf::result<LogEntry> decode_entry(std::string_view bytes);
std::string encode_voting_state(const VotingState& voting_state);
leaf::result<VotingState> decode_voting_state(std::string_view bytes);

}  // namespace gannethold::cluster
