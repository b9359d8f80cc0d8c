// The messages with which an old dispatcher hands its state to the new one at an upgrade, and their encoding.
// No I/O. Each message is a line "KIND LENGTH" followed by LENGTH bytes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "types.hpp"

namespace gannethold::handover {

inline constexpr int kVersion = 1;
inline constexpr std::size_t kMaxMessageBytes = std::size_t{16} << 20;

enum class MessageKind {
    greeting,           // the sender: version, name, and how many other dispatchers of that name are running
    list,               // the list of runners that the old dispatcher holds, in discovery's format
    runner_conditions,  // the runners that are ejected or in slow start, and for how long
    learned,            // the learned state, encoded like a snapshot file
    done                // the new dispatcher has all that it needs before it serves
};
struct Message {
    MessageKind kind{};
    std::string body;
};
// Readers skip messages of an unknown kind, so that a newer version may add kinds.
std::string encode(const Message& message);

// Splits a stream of bytes into messages.
class MessageReader {
  public:
    // Consumes all of the bytes. Returns false once the stream is malformed, and from then on.
    bool feed(std::string_view bytes);
    std::optional<Message> next();

  private:
    bool is_valid_ = true;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

struct Greeting {
    int version = kVersion;
    std::string name;
    std::size_t others = 0;
};
std::string encode(const Greeting& greeting);
std::optional<Greeting> decode_greeting(const std::string& body);

struct RunnerCondition {
    Micros ejected_for = 0;   // 0: not ejected
    Micros warming_for = -1;  // time since it started or was last found failed; -1: warm
};
using RunnerConditions = std::map<std::string, RunnerCondition>;  // by the runner's name
std::string encode(const RunnerConditions& conditions);
RunnerConditions decode_runner_conditions(const std::string& body);  // skips entries that cannot be read

}  // namespace gannethold::handover
