// Where a peer listens.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>

namespace gannethold::net {

struct Address {
    sockaddr_storage where{};
    socklen_t length = 0;
    std::string text;

    static std::optional<Address> read(const std::string& text);  // "ip:port"
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&where); }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&where); }
};

}  // namespace gannethold::net
