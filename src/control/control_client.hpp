// The other side of the control socket, for the sub-commands: waits for each answer, for a bounded time.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "json/json.hpp"

namespace gannethold::control {

// Nobody to speak to; the text names the cure.
class ConnectionError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

class ControlClient {
  public:
    // Throws ConnectionError: no socket, not permitted, nobody serving.
    explicit ControlClient(const std::string& path);
    ~ControlClient();
    ControlClient(const ControlClient&) = delete;
    ControlClient& operator=(const ControlClient&) = delete;

    // Throws Refused with the dispatcher's word, ConnectionError where the connection ends or no answer
    // comes.
    json::Value call(json::Object request);
    // The next line of a follower; none within that time. Throws ConnectionError once the connection has
    // ended.
    std::optional<json::Value> next(int milliseconds);

  private:
    std::optional<std::string> read_line(int milliseconds);

    int socket_ = -1;
    std::string received_;
};

}  // namespace gannethold::control
