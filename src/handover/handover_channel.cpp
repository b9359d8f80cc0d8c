#include "handover/handover_channel.hpp"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

namespace gannethold::handover {
namespace {

constexpr Micros kStateTimeout = 500'000;  // for the predecessor to send its state: it may be busy or stopped
constexpr std::size_t kMaxSuccessors = 3;

std::optional<net::Address> unix_address(const std::string& path) {
    net::Address address;
    auto* const unix_part = reinterpret_cast<sockaddr_un*>(&address.storage);
    if (path.size() >= sizeof unix_part->sun_path) return std::nullopt;
    unix_part->sun_family = AF_UNIX;
    std::memcpy(unix_part->sun_path, path.data(), path.size());
    address.length = sizeof *unix_part;
    address.text = path;
    return address;
}

// Replaces characters of the dispatcher's name that a file name may not contain.
std::string socket_path(const std::string& folder, std::string name) {
    std::replace_if(
        name.begin(), name.end(), [](unsigned char c) { return !std::isalnum(c) && c != '-' && c != '_'; },
        '_');
    return folder + "/gannethold-" + name.substr(0, 40);
}

}  // namespace

class HandoverChannel::Session final : public net::Connection::Owner {
  public:
    Session(HandoverChannel& channel, evutil_socket_t accepted)
        : channel_(channel), connection_(channel.loop_, *this, accepted) {}
    Session(HandoverChannel& channel, const net::Address& to)
        : channel_(channel), connection_(channel.loop_, *this, to, kStateTimeout) {}

    void send(const Message& message) { connection_.write(encode(message)); }
    void close() { connection_.close(); }

  private:
    void on_bytes(std::string_view bytes) override {
        if (!reader_.feed(bytes)) return fail();
        while (const auto message = reader_.next()) channel_.on_message(*this, *message);
        if (!reader_.feed({})) fail();
    }
    void on_closed(net::CloseReason) override { channel_.on_ended(*this); }
    void fail() {
        connection_.close();
        channel_.on_ended(*this);
    }

    HandoverChannel& channel_;
    MessageReader reader_;
    net::Connection connection_;
};

HandoverChannel::HandoverChannel(net::Loop& loop, const std::string& folder, std::string name,
                                 HandoverHandler& handler, log::Log& log)
    : loop_(loop),
      path_(socket_path(folder, name)),
      name_(std::move(name)),
      handler_(handler),
      log_(log),
      timeout_(loop, [this] {
          if (settled_) return;
          log_.warning(net::Loop::now(),
                       "handover: the old dispatcher says no more; served by what is known");
          settle();
      }) {
    if (const auto address = unix_address(path_); address && access(path_.c_str(), F_OK) == 0)
        predecessor_ = std::make_unique<Session>(*this, *address);
    if (!predecessor_) settled_ = true;
    timeout_.set(net::Loop::now() + kStateTimeout);
    open();
}

HandoverChannel::~HandoverChannel() = default;

// Listens at a temporary path and renames it, so that there is a socket at the path at all times. Connections
// made to the old socket stay in the old dispatcher's queue.
void HandoverChannel::open() {
    const auto new_address = unix_address(path_ + ".new");
    try {
        if (!new_address) throw std::runtime_error("the path is too long: " + path_);
        unlink(new_address->text.c_str());
        listener_ = std::make_unique<net::Listener>(
            loop_, *new_address, [this](evutil_socket_t socket) { accept(socket); }, [] {});
        if (std::rename(new_address->text.c_str(), path_.c_str()) != 0)
            throw std::runtime_error("cannot name it " + path_);
    } catch (const std::exception& e) {
        // The folder may not be writable, or the system may not support such sockets: the next upgrade then
        // happens without a handover.
        listener_.reset();
        log_.warning(net::Loop::now(), "handover: ", e.what(),
                     "; an upgrade will begin from the configuration");
    }
}

void HandoverChannel::accept(evutil_socket_t socket) {
    ucred credentials{};
    socklen_t length = sizeof credentials;
    const bool is_same_user = getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &credentials, &length) == 0 &&
                              credentials.uid == geteuid();
    if (!is_same_user || successors_.size() >= kMaxSuccessors) {
        close(socket);
        return;
    }
    successors_.push_back(std::make_unique<Session>(*this, socket));
    Session& session = *successors_.back();
    session.send({MessageKind::greeting, encode(Greeting{kVersion, name_, others() - 1})});
    for (const Message& message : handler_.collect_handover()) session.send(message);
    session.send({MessageKind::done, ""});
    log_.info(net::Loop::now(), "handover: told a new dispatcher what is known");
    handler_.on_dispatcher_count(others());
}

void HandoverChannel::on_message(Session& session, const Message& message) {
    if (&session != predecessor_.get()) return;  // successors send nothing
    if (message.kind == MessageKind::greeting) {
        const auto greeting = decode_greeting(message.body);
        // The socket may belong to another program or use an unknown version.
        if (!greeting || greeting->name != name_ || greeting->version != kVersion) {
            log_.warning(net::Loop::now(), "handover: whoever answers at ", path_,
                         " is no dispatcher of this name");
            session.close();
            return on_ended(session);
        }
        greeted_ = true;
        predecessors_others_ = greeting->others;
        return handler_.on_dispatcher_count(others());
    }
    if (!greeted_) return;
    if (message.kind == MessageKind::done) {
        log_.info(net::Loop::now(), "handover: heard what the old dispatcher knows");
        return settle();
    }
    handler_.on_handover_message(message);
}

void HandoverChannel::on_ended(Session& session) {
    if (&session == predecessor_.get()) {
        ended_.push_back(std::move(predecessor_));
        predecessors_others_ = 0;
        if (greeted_) log_.info(net::Loop::now(), "handover: the old dispatcher is gone");
        greeted_ = false;
        settle();
    } else {
        const auto successor = std::find_if(successors_.begin(), successors_.end(),
                                            [&](const auto& h) { return h.get() == &session; });
        if (successor == successors_.end()) return;
        ended_.splice(ended_.end(), successors_, successor);
        // The successor had replaced our socket: listen at the path again for the next one.
        log_.info(net::Loop::now(), "handover: the new dispatcher is gone");
        open();
    }
    handler_.on_dispatcher_count(others());
}

void HandoverChannel::settle() {
    settled_ = true;
    timeout_.cancel();
}

void HandoverChannel::send(const Message& message) {
    for (const auto& successor : successors_) successor->send(message);
}

std::size_t HandoverChannel::others() const {
    return successors_.size() + (greeted_ ? 1 + predecessors_others_ : 0);
}

void HandoverChannel::erase_ended_sessions() { ended_.clear(); }

}  // namespace gannethold::handover
