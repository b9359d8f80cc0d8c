#include "sockets/claim.hpp"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <cstring>
#include <stdexcept>

namespace gannethold::rehearsal {
namespace {
constexpr unsigned kFirst = 16, kParts = 238;
}

Claim::Claim() {
    socket_ = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    for (unsigned n = 0; socket_ >= 0 && n < kParts; ++n) {
        part_ = kFirst + (static_cast<unsigned>(getpid()) + n) % kParts;
        sockaddr_un name{};
        name.sun_family = AF_UNIX;
        const std::string text = "gannethold-rehearsal-" + std::to_string(part_);
        std::memcpy(name.sun_path + 1, text.data(), text.size());
        const auto length = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + text.size());
        if (bind(socket_, reinterpret_cast<sockaddr*>(&name), length) == 0) return;
    }
    if (socket_ >= 0) close(socket_);
    throw std::runtime_error("no part of the loopback range is free: other rehearsals hold all of them");
}

Claim::~Claim() { close(socket_); }

std::string Claim::address(unsigned high, unsigned low, unsigned port) const {
    return "127." + std::to_string(part_) + '.' + std::to_string(high) + '.' + std::to_string(low) + ':' +
           std::to_string(port);
}

}  // namespace gannethold::rehearsal
