#include "net/address.hpp"

#include <event2/util.h>
#include <netinet/in.h>

namespace gannethold::net {

std::optional<Address> Address::parse(const std::string& text) {
    Address a;
    int length = sizeof a.storage;
    if (evutil_parse_sockaddr_port(text.c_str(), a.get(), &length) != 0) return std::nullopt;
    const auto port = a.storage.ss_family == AF_INET
                          ? reinterpret_cast<const sockaddr_in*>(&a.storage)->sin_port
                          : reinterpret_cast<const sockaddr_in6*>(&a.storage)->sin6_port;
    if (port == 0) return std::nullopt;
    a.length = static_cast<socklen_t>(length);
    a.text = text;
    return a;
}

}  // namespace gannethold::net
