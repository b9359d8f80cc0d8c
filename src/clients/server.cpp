#include "clients/server.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <utility>

#include "http/writer.hpp"

namespace gannethold::clients {
namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;
// For a request to come whole, counted from the connect or, on a kept connection, from its first byte: bytes
// that drip in win no time. At a restart a stalled one holds up the exit no longer than the second.
constexpr Micros kRequestTimeout = 2'000'000, kRequestTimeoutInShutdown = 300'000;
constexpr Micros kStalledCheckInterval = 100'000;
constexpr Micros kIncompleteGrace = 100'000;  // what has come in part for longer may go when room is short

int status_of(http::ReadError fault) {
    switch (fault) {
        case http::ReadError::too_large:
            return 431;
        case http::ReadError::version:
            return 505;
        case http::ReadError::out_of_blocks:
            return 503;
        default:
            return 400;
    }
}

std::string seconds(Micros span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span) / 1e6);
    return text;
}

}  // namespace

Server::Server(net::Loop& loop, const net::ListenAddress& door, const Directory& directory,
               TaskSink& task_sink, Room room, log::Log& log)
    : loop_(loop),
      directory_(directory),
      task_sink_(task_sink),
      room_(room),
      log_(log),
      listener_(
          loop, door, [this](evutil_socket_t socket) { accept(socket); }, [this] { make_room(); }),
      stalled_timer_(loop, [this] { close_stalled(); }) {
    stalled_timer_.set(net::Loop::now() + kStalledCheckInterval);
}

Server::~Server() = default;

void Server::accept(evutil_socket_t socket) {
    if (live() >= room_.sessions) make_room();
    sessions_.push_back(std::make_unique<Session>(*this, socket));
    sessions_.back()->place_ = std::prev(sessions_.end());
}

// Against running out of descriptors, with tasks in the backlog that nobody takes. First goes who has had its
// last answer and only has to close, then who never handed in a task, silent or half said, and last the kept
// connection that was idle for longest: its client opens another when it needs one.
void Server::make_room() {
    using State = Session::State;
    const Micros now = net::Loop::now();
    const auto answered = [](const Session& s) {
        return s.state_ == State::closing && !s.connection_.has_unsent_bytes();
    };
    const auto silent = [](const Session& s) { return s.state_ == State::idle && !s.has_submitted_; };
    const auto incomplete = [now](const Session& s) {
        return s.state_ == State::reading && !s.has_submitted_ && now - s.started_at_ > kIncompleteGrace;
    };
    const auto idle = [](const Session& s) { return s.state_ == State::idle; };
    for (const std::function<bool(const Session&)>& may_close :
         {std::function<bool(const Session&)>(answered), {silent}, {incomplete}, {idle}}) {
        for (const auto& session : sessions_) {
            // Against closing one whose request is here but was not read yet.
            if (!may_close(*session) || (session->state_ == State::idle && session->connection_.is_stale()))
                continue;
            session->connection_.close();
            return session->on_closed(net::CloseReason::closed);
        }
    }
}

void Server::restate(const Room& room) {
    room_ = room;
    for (std::size_t before = live() + 1; live() > room_.sessions && live() < before;)
        before = live(), make_room();
}

// What comes beyond the room is turned away before the module sees it: never sent, so harmless to try again.
// Against a backlog of tasks that are lost because no descriptor is left to take them.
bool Server::is_full() const { return waiting_ >= room_.tasks || live() > room_.sessions; }

// Against clients that say nothing, or begin a request and never end it: each would hold a descriptor and a
// block for ever. One that has been served before may stand idle.
void Server::close_stalled() {
    const Micros now = net::Loop::now();
    for (const auto& session : sessions_) {
        if (now - session->started_at_ <= (leaving_ ? kRequestTimeoutInShutdown : kRequestTimeout)) continue;
        if (session->state_ == Session::State::reading)
            session->refuse(408, "the request came no further");
        else if (session->state_ == Session::State::idle && (leaving_ || !session->has_begun_))
            session->state_ = Session::State::closing, session->connection_.finish();
    }
    stalled_timer_.set(now + kStalledCheckInterval);
}

void Server::leave() {
    leaving_ = bearing_.last_answers = true;
    bearing_.healthy = false;
    for (const auto& session : sessions_) {
        if (session->state_ != Session::State::idle) continue;
        session->state_ = Session::State::closing;
        session->connection_.finish();
    }
}

// Nothing is being read, waited for or still to be written on the others.
std::size_t Server::busy() const {
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
            return session->state_ == Session::State::reading || session->state_ == Session::State::waiting ||
                   session->connection_.has_unsent_bytes();
        }));
}

std::size_t Server::idle() const {
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
            return session->state_ == Session::State::idle && session->has_submitted_;
        }));
}

void Server::keep_idle(std::size_t most) {
    std::size_t open = idle();
    for (const auto& session : sessions_) {
        if (open <= most) return;
        // Against closing one whose request is here but was not read yet.
        if (session->state_ != Session::State::idle || !session->has_submitted_ ||
            session->connection_.is_stale())
            continue;
        session->state_ = Session::State::closing;
        session->connection_.finish();
        --open;
    }
}

void Server::sweep() {
    for (Session* const session : std::exchange(ended_, {})) sessions_.erase(session->place_);
}

Session::Session(Server& server, evutil_socket_t socket)
    : server_(server),
      connection_(server.loop_, *this, socket),
      reader_(http::MessageKind::request, server.loop_.block_pool()),
      body_(server.loop_.block_pool()),
      started_at_(net::Loop::now()) {}

void Session::touch() {
    last_byte_at_ = net::Loop::now();
    server_.sessions_.splice(server_.sessions_.end(), server_.sessions_, place_);
}

void Session::on_bytes(std::string_view bytes) {
    touch();
    // Against a client that asks on and on and reads no answer: one that has not had the last answer whole
    // has nothing to ask, and what it is owed stays one answer.
    if (state_ == State::idle && connection_.has_unsent_bytes()) {
        state_ = State::closing;
        return connection_.finish();
    }
    while (state_ == State::idle || state_ == State::reading) {
        const bool waits = state_ == State::idle;
        switch (reader_.read(bytes)) {
            case http::ReadResult::nothing:
                if (waits && reader_.has_started()) begin();
                return;
            case http::ReadResult::head:
                if (waits) begin();
                if (!on_head()) return;
                break;
            case http::ReadResult::body:
                if (body_.size() + reader_.body_piece().size() > kMaxBodyBytes)
                    return refuse(413, "body too large");
                if (server_.loop_.block_pool().is_scarce() || !body_.append(reader_.body_piece()))
                    return refuse(503, "no buffer left");
                break;
            case http::ReadResult::end:
                // Against a length that is too small: what is behind the end is the rest of the body, or one
                // request hides in another. A client sends one at a time here.
                if (request_ && (!bytes.empty() || connection_.is_stale()))
                    return refuse(400, "more than the request is long");
                on_request_end();
                break;
            case http::ReadResult::error:
                return refuse(status_of(reader_.error()), "malformed request");
        }
    }
    // The same once the task is out already. It was never what the client meant, so it is not served.
    if (state_ == State::waiting && !bytes.empty()) {
        set_waiting(false);
        server_.task_sink_.on_client_disconnected(task_);
        refuse(400, "more than the request is long");
    }
}

void Session::begin() {
    state_ = State::reading;
    if (has_begun_) started_at_ = net::Loop::now();
    has_begun_ = true;
}

bool Session::on_head() {
    const http::Head& head = reader_.head();
    closes_after_answer_ = !head.is_keep_alive;
    request_.reset();
    if (head.method == "GET" && head.path() == "/healthz") return true;
    auto read = read_request(head, server_.directory_);
    if (const auto* refused = std::get_if<Refused>(&read)) {
        refuse(refused->status, refused->why);
        return false;
    }
    request_ = std::move(std::get<Request>(read));
    // Said before the body has come: nobody is to send in vain what will not be taken.
    if (reader_.body_length() > kMaxBodyBytes) {
        refuse(413, "body too large");
        return false;
    }
    if (server_.task_sink_.is_known_request(request_->id)) {
        refuse(409, "a request with this id is under way");
        return false;
    }
    if (http::equals_ignoring_case(head.field("Expect"), "100-continue"))
        connection_.write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

void Session::on_request_end() {
    reader_.restart();
    if (!request_) {
        body_.clear();
        state_ = State::idle;
        const bool ready = server_.task_sink_.is_ready() && server_.bearing_.healthy;
        return respond(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }
    // One id twice at once would look like a second copy at the runners; another may have come meanwhile.
    if (server_.task_sink_.is_known_request(request_->id))
        return refuse(409, "a request with this id is under way");
    if (server_.bearing_.turns_away) {
        return reject("drained\n");
    }
    if (server_.is_full()) {
        server_.log_.warning(last_byte_at_, "clients: no room, turned away ",
                             log::field("request", request_->id), "; ", server_.waiting_, " tasks wait on ",
                             server_.sessions_.size(), " connections");
        return reject("no room\n");
    }
    has_submitted_ = true;
    set_waiting(true);
    task_ = server_.task_sink_.submit(*this, std::move(*request_), std::move(body_), last_byte_at_);
}

void Session::reject(std::string_view why) {
    closes_after_answer_ = true;
    body_.clear();
    server_.task_sink_.on_rejected(request_->workload);
    respond(503, why, server_.room_.retry_after);
}

void Session::on_answer(TaskId, Answer answer, std::string_view result, Micros retry_after) {
    if (state_ != State::waiting) return;
    set_waiting(false);
    switch (answer) {
        case Answer::finished:
            return respond(200, result);
        case Answer::bounced:
            return respond(503, "try again\n", retry_after);
        case Answer::abandoned:
            return respond(502, "given up\n");
    }
}

void Session::respond(int status, std::string_view body, Micros retry_after) {
    auto head = http::Writer::response(status);
    head.content_length(body.size());
    if (retry_after > 0) head.field("Retry-After", seconds(retry_after));
    if (server_.bearing_.last_answers) closes_after_answer_ = true;
    if (closes_after_answer_) head.field("Connection", "close");
    net::BlockBuffer out(server_.loop_.block_pool());
    if (!out.append(head.head()) || !out.append(body)) {
        // No buffer for the answer: a connection that ends is all that can still be said.
        connection_.close();
        return on_closed(net::CloseReason::closed);
    }
    connection_.write(std::move(out));
    if (closes_after_answer_) {
        state_ = State::closing;
        connection_.finish();
    }
}

void Session::set_waiting(bool waits) {
    server_.waiting_ += static_cast<std::size_t>(waits) - static_cast<std::size_t>(state_ == State::waiting);
    state_ = waits ? State::waiting : State::idle;
}

void Session::refuse(int status, std::string_view why) {
    server_.log_.debug(net::Loop::now(), "clients: refused with ", log::field("status", status), ": ", why);
    closes_after_answer_ = true;
    reader_.restart();
    body_.clear();
    respond(status, std::string(why) + "\n", status == 503 ? server_.room_.retry_after : 0);
}

void Session::on_closed(net::CloseReason) {
    if (state_ == State::over) return;
    const bool waited = state_ == State::waiting;
    set_waiting(false);
    state_ = State::over;
    server_.ended_.push_back(this);
    if (waited) server_.task_sink_.on_client_disconnected(task_);
}

}  // namespace gannethold::clients
