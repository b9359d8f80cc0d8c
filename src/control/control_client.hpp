// The client of the control socket, for the sub-commands. It waits for each response for a bounded time.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "json/json.hpp"

namespace gannethold::control {

// The dispatcher cannot be reached. The text says what the operator can do.
class ConnectionError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// One connection to a dispatcher.
class ControlClient {
  public:
    // Throws ConnectionError if there is no socket, it is not permitted, or no process listens on it.
    explicit ControlClient(const std::string& path);
    ~ControlClient();
    ControlClient(const ControlClient&) = delete;
    ControlClient& operator=(const ControlClient&) = delete;

    // Sends a request and returns the response. Throws Refused with the dispatcher's reason, ConnectionError
    // if the connection ends or no response arrives in time.
    json::Value call(json::Object request);
    // The next change for a follower; no value if none arrives within that time. Throws ConnectionError once
    // the connection has ended.
    std::optional<json::Value> next(int timeout_ms);

  private:
    std::optional<std::string> read_line(int timeout_ms);

    int socket_ = -1;
    std::string received_;
};

}  // namespace gannethold::control
