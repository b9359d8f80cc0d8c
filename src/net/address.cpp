#include "net/address.hpp"

#include <event2/util.h>
#include <netinet/in.h>

namespace gannethold::net {

std::optional<Address> Address::read(const std::string& text) {
    Address a;
    int length = sizeof a.where;
    if (evutil_parse_sockaddr_port(text.c_str(), a.get(), &length) != 0) return std::nullopt;
    const auto port = a.where.ss_family == AF_INET
                          ? reinterpret_cast<const sockaddr_in*>(&a.where)->sin_port
                          : reinterpret_cast<const sockaddr_in6*>(&a.where)->sin6_port;
    if (port == 0) return std::nullopt;
    a.length = static_cast<socklen_t>(length);
    a.text = text;
    return a;
}

}  // namespace gannethold::net
