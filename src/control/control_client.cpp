#include "control/control_client.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>

#include "control/control_server.hpp"

namespace gannethold::control {
namespace {
constexpr int kAnswerTimeoutMs = 5'000;
}

ControlClient::ControlClient(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.empty())
        throw ConnectionError(
            "which dispatcher? give --socket PATH, or --operator FILE with control.socket in it");
    if (path.size() >= sizeof address.sun_path) throw ConnectionError(path + " is too long for a socket");
    std::memcpy(address.sun_path, path.data(), path.size());
    socket_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return;
    const int error = errno;
    close(socket_);
    if (error == ENOENT)
        throw ConnectionError("there is no socket " + path +
                              ": is control.socket set, and the dispatcher started with --operator?");
    if (error == EACCES || error == EPERM)
        throw ConnectionError("not permitted on " + path +
                              ": ask as the user that the dispatcher runs as, or as root");
    if (error == ECONNREFUSED)
        throw ConnectionError("nobody serves on " + path +
                              ": the dispatcher that made it is gone; start it again");
    throw ConnectionError("cannot speak to " + path + ": " + std::strerror(error));
}

ControlClient::~ControlClient() { close(socket_); }

std::optional<std::string> ControlClient::read_line(int timeout_ms) {
    using Clock = std::chrono::steady_clock;
    const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
    for (;;) {
        if (const auto end = received_.find('\n'); end != std::string::npos) {
            std::string text = received_.substr(0, end);
            received_.erase(0, end + 1);
            return text;
        }
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        if (remaining <= 0) return std::nullopt;
        pollfd readable{socket_, POLLIN, 0};
        const int ready = poll(&readable, 1, static_cast<int>(remaining));
        if (ready < 0) return std::nullopt;  // interrupted by a signal; the caller checks whether to stop
        if (ready == 0) continue;
        char buffer[65536];
        const ssize_t n = recv(socket_, buffer, sizeof buffer, 0);
        if (n <= 0) throw ConnectionError("the dispatcher has ended the conversation");
        received_.append(buffer, static_cast<std::size_t>(n));
    }
}

json::Value ControlClient::call(json::Object request) {
    request["v"] = json::Value(json::Number{std::to_string(kVersion)});
    const std::string text = json::serialize(json::Value(std::move(request))) + "\n";
    for (std::size_t done = 0; done < text.size();) {
        const ssize_t n = send(socket_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0) break;  // a final response may still be readable
        done += static_cast<std::size_t>(n);
    }
    const auto answer_text = read_line(kAnswerTimeoutMs);
    if (!answer_text) throw ConnectionError("the dispatcher does not answer");
    const json::Value answer = json::parse(*answer_text);
    const json::Value* const ok = answer.find("ok");
    if (ok && ok->get<bool>() && *ok->get<bool>()) return answer;
    const std::string* const reason = answer.find_string("why");
    throw Refused(reason ? *reason : "refused");
}

std::optional<json::Value> ControlClient::next(int timeout_ms) {
    const auto answer_text = read_line(timeout_ms);
    if (!answer_text) return std::nullopt;
    return json::parse(*answer_text);
}

}  // namespace gannethold::control
