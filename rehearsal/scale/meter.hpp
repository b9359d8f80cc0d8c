// Messages and bytes by type, counted by one thread and read by another.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <variant>

#include "cluster/wire/messages.hpp"

namespace gannethold::scale {

constexpr std::size_t kMessageTypes = std::variant_size_v<cluster::Message>;

/// The name of a message's type, by its place among all.
inline const char* message_name(std::size_t type) {
    static constexpr std::array<const char*, kMessageTypes> kNames{
        "VoteRequest",      "VoteResponse",    "AppendRequest",  "AppendResponse",   "RecoveryRequest",
        "RecoveryResponse", "JoinRequest",     "TimeoutNow",     "LeaveRequest",     "LeaveResponse",
        "EntryChunk",       "RegisterRequest", "Redirect",       "RegisterResponse", "ConfigurationUpdate",
        "ConfigurationAck", "RunnerUpdate",    "AcquireRequest", "AcquireGranted",   "AcquireDenied",
        "Release",          "RunnerReachable", "Heartbeat",      "FunctionMode",     "LoadReport",
        "OutstandingReport"};
    return kNames[type];
}

/// Sums of one direction, as read at one moment.
struct Traffic {
    std::array<std::uint64_t, kMessageTypes> messages{}, bytes{};
};

/// Counts one direction.
class Meter {
  public:
    void add(std::size_t type, std::size_t bytes) {
        messages_[type].fetch_add(1, std::memory_order_relaxed);
        bytes_[type].fetch_add(bytes, std::memory_order_relaxed);
    }
    void read_into(Traffic& sum) const {
        for (std::size_t type = 0; type < kMessageTypes; ++type) {
            sum.messages[type] += messages_[type].load(std::memory_order_relaxed);
            sum.bytes[type] += bytes_[type].load(std::memory_order_relaxed);
        }
    }

  private:
    std::array<std::atomic<std::uint64_t>, kMessageTypes> messages_{}, bytes_{};
};

}  // namespace gannethold::scale
