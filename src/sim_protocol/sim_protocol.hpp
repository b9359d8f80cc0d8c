// The binary protocol of the simulation host. Decodes frames into events for the decision module and encodes
// its actions into replies.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

#include "types.hpp"

namespace gannethold::sim_protocol {

enum class InstanceId : std::uint16_t {};

// Creates an instance of the decision module.
struct Created {
    std::uint64_t seed;
    SettingsMap settings;
};
// Removes an instance.
struct Killed {};
// One record of a frame.
struct Record {
    InstanceId instance;
    std::size_t offset;  // of the record in the stream, in bytes
    std::variant<Created, Killed, Event> body;
};
// A decoded frame: records of one time.
struct Batch {
    Micros now = 0;
    std::vector<Record> records;
};

// The frame is malformed. The text states the byte offset in the stream.
class BadFrame : public std::runtime_error {
  public:
    BadFrame(const std::string& what, std::size_t offset)
        : std::runtime_error(what + " at byte " + std::to_string(offset)) {}
};

inline constexpr std::size_t kHeaderBytes = 16;
struct Header {
    Micros now;
    std::uint32_t length;
    std::uint32_t records;
};

// stream_at: the offset of the bytes in the stream, for errors.
Header read_header(std::string_view bytes, std::size_t stream_at);
Batch read_batch(const Header& header, std::string_view body, std::size_t stream_at);

// Encodes the reply to one frame.
class ReplyWriter {
  public:
    // The actions and failures that follow belong to this instance.
    void instance(InstanceId instance);
    void action(const Action& action);
    void failure(const std::string& text);
    // The reply with its length in front.
    std::string frame() const;

  private:
    std::string body_;
};

}  // namespace gannethold::sim_protocol
