#include "peers/post.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace gannethold::peers {
namespace {

constexpr std::size_t kLongestWords = 256;  // what the module may say at once
constexpr int kMostATurn = 256;             // against peers that leave no time for anything else

bool same(const net::Address& a, const sockaddr_storage& b) {
    if (a.storage.ss_family != AF_INET || b.ss_family != AF_INET) return false;
    const auto* const one = reinterpret_cast<const sockaddr_in*>(&a.storage);
    const auto* const other = reinterpret_cast<const sockaddr_in*>(&b);
    return one->sin_addr.s_addr == other->sin_addr.s_addr && one->sin_port == other->sin_port;
}

}  // namespace

Post::Post(net::Loop& loop, const Neighbours& neighbours, Heard heard)
    : neighbours_(neighbours), heard_(std::move(heard)) {
    if (!neighbours_.listen) return;
    const net::Address& at = *neighbours_.listen;
    socket_ = ::socket(at.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_ < 0 || bind(socket_, at.get(), at.length) != 0)
        throw std::runtime_error("cannot hear peers on " + at.text);
    const auto call = [](evutil_socket_t, short, void* self) { static_cast<Post*>(self)->read(); };
    readable_.reset(event_new(loop.base(), socket_, EV_READ | EV_PERSIST, call, this));
    event_add(readable_.get(), nullptr);
}

Post::~Post() {
    readable_.reset();
    if (socket_ >= 0) close(socket_);
}

void Post::tell(PeerId to, std::string_view words) {
    const auto place = static_cast<std::size_t>(to);
    if (socket_ < 0 || place >= neighbours_.all.size() || place == neighbours_.me) return;
    const net::Address& at = neighbours_.all[place];
    // What cannot be sent now is as good as lost on the way: newer words follow within a period.
    (void)!sendto(socket_, words.data(), words.size(), MSG_NOSIGNAL, at.get(), at.length);
}

void Post::tell_all(std::string_view words) {
    for (std::size_t i = 0; i < neighbours_.all.size(); ++i) tell(static_cast<PeerId>(i), words);
}

void Post::read() {
    char words[kLongestWords + 1];
    for (int n = 0; n < kMostATurn; ++n) {
        sockaddr_storage from{};
        socklen_t length = sizeof from;
        const auto got =
            recvfrom(socket_, words, sizeof words, 0, reinterpret_cast<sockaddr*>(&from), &length);
        if (got < 0) return;
        if (static_cast<std::size_t>(got) > kLongestWords) continue;
        // Words of strangers are not heard: only of those whose address was told.
        for (std::size_t i = 0; i < neighbours_.all.size(); ++i)
            if (i != neighbours_.me && same(neighbours_.all[i], from))
                heard_(static_cast<PeerId>(i), {words, static_cast<std::size_t>(got)});
    }
}

}  // namespace gannethold::peers
