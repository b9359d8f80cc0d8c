#include "clients/server.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <utility>

#include "http/writer.hpp"

namespace gannethold::clients {
namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;
// The time for a request to arrive in full, from the connect or, on a reused connection, from its first byte.
// Further bytes do not extend it. In a shutdown the second applies, so that a stalled request delays the exit
// by no more.
constexpr Micros kRequestTimeout = 2'000'000, kRequestTimeoutInShutdown = 300'000;
constexpr Micros kStalledCheckInterval = 100'000;
constexpr Micros kIncompleteGrace =
    100'000;  // an older incomplete request may be closed to free a descriptor

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

std::string format_seconds(Micros micros) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(micros) / 1e6);
    return text;
}

}  // namespace

Server::Server(net::Loop& loop, const net::ListenAddress& address, const Directory& directory,
               TaskSink& task_sink, ServerLimits limits, log::Log& log)
    : loop_(loop),
      directory_(directory),
      task_sink_(task_sink),
      limits_(limits),
      log_(log),
      listener_(
          loop, address, [this](evutil_socket_t socket) { accept(socket); }, [this] { close_one_session(); }),
      stalled_timer_(loop, [this] { close_stalled(); }) {
    stalled_timer_.set(net::Loop::now() + kStalledCheckInterval);
}

Server::~Server() = default;

void Server::accept(evutil_socket_t socket) {
    if (open_count() >= limits_.sessions) close_one_session();
    sessions_.push_back(std::make_unique<Session>(*this, socket));
    sessions_.back()->position_ = std::prev(sessions_.end());
}

// Closes a connection to free a descriptor for those in the backlog. First choice is one that has sent its
// last answer, then one that never submitted a task, silent or with an incomplete request, and last the
// connection that was idle for longest: its client opens another when it needs one.
void Server::close_one_session() {
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
            // A stale connection has a request that was not read yet.
            if (!may_close(*session) || (session->state_ == State::idle && session->connection_.is_stale()))
                continue;
            session->connection_.close();
            return session->on_closed(net::CloseReason::closed);
        }
    }
}

void Server::update_limits(const ServerLimits& limits) {
    limits_ = limits;
    for (std::size_t before = open_count() + 1; open_count() > limits_.sessions && open_count() < before;)
        before = open_count(), close_one_session();
}

// Requests beyond the limits are rejected before the decision module sees them, so they are safe to retry.
// Otherwise tasks in the backlog would be lost, since no descriptor is free to accept them.
bool Server::is_full() const { return waiting_ >= limits_.tasks || open_count() > limits_.sessions; }

// Closes the connections of clients that send nothing, or never complete a request: each would occupy a
// descriptor and a block for ever. A connection that has served a request may be idle.
void Server::close_stalled() {
    const Micros now = net::Loop::now();
    for (const auto& session : sessions_) {
        if (now - session->started_at_ <= (is_shutting_down_ ? kRequestTimeoutInShutdown : kRequestTimeout))
            continue;
        if (session->state_ == Session::State::reading)
            session->refuse(408, "the request came no further");
        else if (session->state_ == Session::State::idle && (is_shutting_down_ || !session->has_begun_))
            session->state_ = Session::State::closing, session->connection_.finish();
    }
    stalled_timer_.set(now + kStalledCheckInterval);
}

void Server::begin_shutdown() {
    is_shutting_down_ = drain_behavior_.closes_after_answer = true;
    drain_behavior_.is_healthy = false;
    for (const auto& session : sessions_) {
        if (session->state_ != Session::State::idle) continue;
        session->state_ = Session::State::closing;
        session->connection_.finish();
    }
}

// Connections on which a request is being read or answered, or an answer written.
std::size_t Server::busy_count() const {
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
            return session->state_ == Session::State::reading || session->state_ == Session::State::waiting ||
                   session->connection_.has_unsent_bytes();
        }));
}

std::size_t Server::idle_count() const {
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
            return session->state_ == Session::State::idle && session->has_submitted_;
        }));
}

void Server::close_idle_beyond(std::size_t max_idle) {
    std::size_t open = idle_count();
    for (const auto& session : sessions_) {
        if (open <= max_idle) return;
        // A stale connection has a request that was not read yet.
        if (session->state_ != Session::State::idle || !session->has_submitted_ ||
            session->connection_.is_stale())
            continue;
        session->state_ = Session::State::closing;
        session->connection_.finish();
        --open;
    }
}

void Server::erase_ended() {
    for (Session* const session : std::exchange(ended_, {})) sessions_.erase(session->position_);
}

Session::Session(Server& server, evutil_socket_t socket)
    : server_(server),
      connection_(server.loop_, *this, socket),
      reader_(http::MessageKind::request, server.loop_.block_pool()),
      body_(server.loop_.block_pool()),
      started_at_(net::Loop::now()) {}

void Session::touch() {
    last_byte_at_ = net::Loop::now();
    server_.sessions_.splice(server_.sessions_.end(), server_.sessions_, position_);
}

void Session::on_bytes(std::string_view bytes) {
    touch();
    // A client that sends a request before it has read the previous answer is disconnected, so that at most
    // one unsent answer is buffered.
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
                // The Content-Length is too small, or a request is smuggled in another: pipelining is not
                // supported, so no bytes may follow.
                if (request_ && (!bytes.empty() || connection_.is_stale()))
                    return refuse(400, "more than the request is long");
                on_request_end();
                break;
            case http::ReadResult::error:
                return refuse(status_of(reader_.error()), "malformed request");
        }
    }
    // The same once the task was submitted. The request is not what the client meant, so it is cancelled.
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
    // Rejected before the body is received, so that the client need not send it.
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
        const bool ready = server_.task_sink_.is_ready() && server_.drain_behavior_.is_healthy;
        return respond(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }
    // Checked again, since another request may have arrived meanwhile: two tasks with one id would look like
    // a repeated assignment to the runners.
    if (server_.task_sink_.is_known_request(request_->id))
        return refuse(409, "a request with this id is under way");
    if (server_.drain_behavior_.rejects_new_tasks) {
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
    respond(503, why, server_.limits_.retry_after);
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
    if (retry_after > 0) head.field("Retry-After", format_seconds(retry_after));
    if (server_.drain_behavior_.closes_after_answer) closes_after_answer_ = true;
    if (closes_after_answer_) head.field("Connection", "close");
    net::BlockBuffer out(server_.loop_.block_pool());
    if (!out.append(head.head()) || !out.append(body)) {
        // There is no buffer for the answer; only closing the connection is possible.
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
    respond(status, std::string(why) + "\n", status == 503 ? server_.limits_.retry_after : 0);
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
