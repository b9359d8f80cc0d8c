#include "control/control_server.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <pwd.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace gannethold::control {
namespace {

sockaddr_un address(const std::string& path) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    if (path.size() >= sizeof at.sun_path)
        throw std::runtime_error("the control socket's path is too long: " + path);
    std::memcpy(at.sun_path, path.data(), path.size());
    return at;
}

// Whether a process listens on the socket.
bool has_listener(const sockaddr_un& at) {
    const int probe = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const bool is_listening =
        connect(probe, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 || errno == EAGAIN;
    close(probe);
    return is_listening;
}

json::Value number(std::uint64_t value) { return json::Value(json::Number{std::to_string(value)}); }

std::string refusal(const std::string& why) {
    json::Object response;
    response["v"] = number(kVersion);
    response["ok"] = json::Value(false);
    response["why"] = json::Value(why);
    return json::serialize(json::Value(std::move(response))) + "\n";
}

std::string name_of(uid_t user) {
    char space[4096];
    passwd entry{};
    passwd* found = nullptr;
    if (getpwuid_r(user, &entry, space, sizeof space, &found) == 0 && found) return found->pw_name;
    return "user " + std::to_string(user);
}

}  // namespace

class ControlServer::Session {
  public:
    Session(ControlServer& server, evutil_socket_t socket, std::string by)
        : server_(server),
          by_(std::move(by)),
          limit_(server.loop_, [this] { end(); }),
          stream_(bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE),
                  &bufferevent_free) {
        bufferevent_setcb(
            stream_.get(), [](bufferevent*, void* self) { static_cast<Session*>(self)->read(); },
            [](bufferevent*, void* self) { static_cast<Session*>(self)->written(); },
            [](bufferevent*, short, void* self) { static_cast<Session*>(self)->end(); }, this);
        bufferevent_setwatermark(stream_.get(), EV_READ, 0, server.options_.max_line_bytes + 2);
        bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
        wait();
    }

    void send_line(const std::string& line) {
        if (is_over) return;
        // A client that does not read is disconnected; it notices the gap by the sequence numbers.
        evbuffer* const out = bufferevent_get_output(stream_.get());
        if (evbuffer_get_length(out) + line.size() > server_.options_.max_unsent_bytes) return end();
        evbuffer_add(out, line.data(), line.size());
    }

    bool is_over = false, follows = false;

  private:
    void wait() {
        if (follows)
            limit_.cancel();
        else
            limit_.set(net::Loop::now() + server_.options_.line_timeout);
    }
    void read() {
        evbuffer* const in = bufferevent_get_input(stream_.get());
        while (!is_over && !closing_) {
            std::size_t length = 0;
            const evbuffer_ptr end_of_line = evbuffer_search_eol(in, nullptr, &length, EVBUFFER_EOL_LF);
            if (end_of_line.pos < 0) {
                if (evbuffer_get_length(in) > server_.options_.max_line_bytes)
                    refuse_and_close("a line is too long");
                return;
            }
            std::string line(static_cast<std::size_t>(end_of_line.pos), '\0');
            evbuffer_remove(in, line.data(), line.size());
            evbuffer_drain(in, length);
            if (line.size() > server_.options_.max_line_bytes) return refuse_and_close("a line is too long");
            on_line(line);
        }
    }
    void on_line(const std::string& line) {
        json::Value request;
        try {
            request = json::parse(line);
        } catch (const json::ParseError& e) {
            return refuse_and_close(std::string("not JSON: ") + e.what());
        }
        const std::string* const command = request.find_string("do");
        const auto version = request.find_number("v");
        if (!version || !command) return send_line(refusal("a request is an object with \"v\" and \"do\""));
        if (*version != kVersion)
            return send_line(refusal("version " + std::to_string(static_cast<long>(*version)) +
                                     " is not spoken here, " + std::to_string(kVersion) + " is"));
        if (*command == "follow") return follow(request);
        try {
            json::Object response = server_.handler_.on_request(*command, request, by_);
            response["v"] = number(kVersion);
            response["ok"] = json::Value(true);
            send_line(json::serialize(json::Value(std::move(response))) + "\n");
        } catch (const Refused& e) {
            send_line(refusal(e.what()));
        }
        if (!is_over) wait();
    }
    void follow(const json::Value& request) {
        const auto after = request.find_number("after");
        const std::uint64_t from =
            after && *after >= 0 ? static_cast<std::uint64_t>(*after) : server_.published_;
        const std::uint64_t first =
            server_.changes_.empty() ? server_.published_ + 1 : server_.changes_.front().first;
        json::Object response;
        response["v"] = number(kVersion);
        response["ok"] = json::Value(true);
        response["seq"] = number(server_.published_);
        // A sequence number ahead of ours is from an earlier process: all changes were missed.
        const bool is_other_process = from > server_.published_;
        response["missed"] =
            is_other_process ? json::Value(true) : number(from + 1 < first ? first - from - 1 : 0);
        send_line(json::serialize(json::Value(std::move(response))) + "\n");
        follows = true;
        wait();
        for (const auto& [sequence, line] : server_.changes_)
            if (sequence > from || is_other_process) send_line(line);
    }
    void refuse_and_close(const std::string& why) {
        send_line(refusal(why));
        closing_ = true;
        bufferevent_disable(stream_.get(), EV_READ);
        limit_.set(net::Loop::now() + 1'000'000);
        if (!is_over && evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0) end();
    }
    void written() {
        if (closing_) end();
    }
    void end() {
        if (std::exchange(is_over, true)) return;
        limit_.cancel();
        // Freed in erase_ended(): this may be called from one of the stream's callbacks.
        bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    }

    ControlServer& server_;
    const std::string by_;
    net::Timer limit_;
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)> stream_;
    bool closing_ = false;
};

ControlServer::ControlServer(net::Loop& loop, const ControlOptions& options, RequestHandler& handler,
                             log::Log& log)
    : loop_(loop), options_(options), handler_(handler), log_(log) {
    const sockaddr_un at = address(options_.path);
    const int listener = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener < 0) throw std::runtime_error("no descriptor for the control socket");
    struct stat before {};
    if (lstat(options_.path.c_str(), &before) == 0) {
        // Only a socket without a listener may be replaced: no other file, and no socket in use.
        if (!S_ISSOCK(before.st_mode) || has_listener(at)) {
            close(listener);
            throw std::runtime_error(S_ISSOCK(before.st_mode) ? "another process serves on " + options_.path
                                                              : options_.path + " is there and is no socket");
        }
        unlink(options_.path.c_str());
    }
    // Created with the final permissions: a chmod after the bind would leave a gap in which others can
    // connect.
    const mode_t previous_mask = umask(0177);
    const bool bound = bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    umask(previous_mask);
    if (!bound || listen(listener, 16) != 0) {
        const std::string why = std::strerror(errno);
        close(listener);
        throw std::runtime_error("cannot listen on " + options_.path + ": " + why);
    }
    listener_.reset(evconnlistener_new(
        loop.base(),
        [](evconnlistener*, evutil_socket_t s, sockaddr*, int, void* self) {
            static_cast<ControlServer*>(self)->accept(s);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, listener));
    if (!listener_) throw std::runtime_error("cannot listen on " + options_.path);
}

ControlServer::~ControlServer() {
    if (listener_) unlink(options_.path.c_str());
}

void ControlServer::accept(evutil_socket_t socket) {
    ucred peer{};
    socklen_t length = sizeof peer;
    const bool known = getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &length) == 0;
    const auto refuse = [&](const std::string& why) {
        const std::string line = refusal(why);
        (void)!send(socket, line.data(), line.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        close(socket);
    };
    if (!known || (peer.uid != geteuid() && peer.uid != 0)) {
        log_.warning(net::Loop::now(), "control: turned away ",
                     log::field("user", known ? name_of(peer.uid) : "somebody"));
        return refuse("only the user that the dispatcher runs as, or root, may ask");
    }
    const auto live = static_cast<std::size_t>(std::count_if(
        sessions_.begin(), sessions_.end(), [](const auto& session) { return !session->is_over; }));
    if (live >= options_.max_clients) return refuse("too many are asking at once; try again");
    sessions_.push_back(std::make_unique<Session>(*this, socket, name_of(peer.uid)));
}

void ControlServer::publish(json::Object change) {
    change["seq"] = number(++published_);
    changes_.emplace_back(published_, json::serialize(json::Value(std::move(change))) + "\n");
    if (changes_.size() > options_.max_remembered_changes) changes_.pop_front();
    for (auto& session : sessions_)
        if (session->follows) session->send_line(changes_.back().second);
}

void ControlServer::erase_ended() {
    std::erase_if(sessions_, [](const auto& session) { return session->is_over; });
}

}  // namespace gannethold::control
