#include "sockets/gate.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace gannethold::rehearsal {

Gate::Gate(net::Loop& loop, const net::Address& at, std::function<void(evutil_socket_t)> accepted)
    : loop_(loop), at_(at), accepted_(std::move(accepted)) {}

Gate::~Gate() { empty(); }

void Gate::set(State state) {
    if (state == state_) return;
    listener_.reset();
    empty();
    state_ = state;
    if (state == State::open) listener_ = std::make_unique<net::Listener>(loop_, at_, accepted_, [] {});
    if (state == State::silent) fill();
}

// The system drops the first packet of a connect where the queue of connections not yet accepted is full. So
// the queue is made as short as it can be, and filled by ourselves.
void Gate::fill() {
    const int door = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(door, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    plug_.push_back(door);
    if (bind(door, at_.get(), at_.length) != 0 || listen(door, 0) != 0)
        throw std::runtime_error("cannot listen on " + at_.text);
    for (int i = 0; i < 3; ++i) {
        const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (one < 0) throw std::runtime_error("no descriptor left to make " + at_.text + " silent");
        plug_.push_back(one);
        (void)!connect(one, at_.get(), at_.length);
    }
}

void Gate::empty() {
    // Those who wait first, so that the door's end is not a reset that they would see.
    while (!plug_.empty()) {
        close(plug_.back());
        plug_.pop_back();
    }
}

}  // namespace gannethold::rehearsal
