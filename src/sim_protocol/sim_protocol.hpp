// The bench's wire: frames of bytes on one side, our own words on the other. Decides nothing.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

#include "types.hpp"

namespace gannethold::sim_protocol {

enum class InstanceId : std::uint16_t {};

struct Created {
    std::uint64_t seed;
    SettingsMap settings_map;
};
struct Killed {};
struct Record {
    InstanceId instance;
    std::size_t at;  // byte in the stream where the record begins
    std::variant<Created, Killed, Event> what;
};
struct Batch {
    Micros now = 0;
    std::vector<Record> records;
};

class BadFrame : public std::runtime_error {
  public:
    BadFrame(const std::string& what, std::size_t byte)
        : std::runtime_error(what + " at byte " + std::to_string(byte)) {}
};

inline constexpr std::size_t kHeaderBytes = 16;
struct Header {
    Micros now;
    std::uint32_t length;
    std::uint32_t records;
};

Header read_header(std::string_view bytes, std::size_t stream_at);
Batch read_batch(const Header& header, std::string_view body, std::size_t stream_at);

class ReplyWriter {
  public:
    void instance(InstanceId instance);
    void action(const Action& action);
    void failure(const std::string& text);
    std::string frame() const;

  private:
    std::string body_;
};

}  // namespace gannethold::sim_protocol
