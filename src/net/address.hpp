// A socket address: IP and port.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>

namespace gannethold::net {

struct Address {
    sockaddr_storage storage{};
    socklen_t length = 0;
    std::string text;

    static std::optional<Address> parse(
        const std::string& text);  // from "ip:port"; nullopt: malformed, or port 0
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

}  // namespace gannethold::net
