#include "beanstalk/server.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::beanstalk {
namespace {

// Limit for receiving a complete command, from its first byte, and for the first valid command, from the
// connection's start.
constexpr Micros kCommandTimeout = 2'000'000;
constexpr Micros kStallCheckInterval = 100'000;
// Limit of the unprocessed input in addition to one body, and of the unsent replies of a session, for clients
// that keep sending during a reserve or do not read the replies.
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

}  // namespace

// One client connection. Commands are executed in order; none is executed while the session waits in a
// reserve.
class Server::Session final : public net::Connection::Owner {
  public:
    Session(Server& server, SessionId id, std::size_t listener_index, evutil_socket_t socket)
        : server_(server),
          id_(id),
          listener_index_(listener_index),
          idle_since_(net::Loop::now()),
          parser_(server.max_body_bytes_),
          connection_(server.loop_, *this, socket) {}

    void on_bytes(std::string_view bytes) override {
        if (is_closed_) return;
        if (!parser_.has_partial_command() && input_.empty())
            idle_since_ = has_sent_command_ ? net::Loop::now() : idle_since_;
        // Closes a client that sends hundreds of commands and does not read the replies.
        if (input_.size() + bytes.size() >
            kMaxBufferedBytes + server_.max_body_bytes_ + CommandParser::kMaxLineBytes)
            return close();
        input_.append(bytes);
        process_input();
    }
    void process_input() {
        if (is_processing_) return;
        is_processing_ = true;
        std::string_view remaining = input_;
        while (!is_closed_ && !remaining.empty() && connection_.unsent_bytes() < kMaxBufferedBytes &&
               !server_.broker_.is_waiting(id_)) {
            const ParseResult result = parser_.parse(remaining);
            if (result == ParseResult::incomplete) break;
            has_sent_command_ = has_sent_command_ || result == ParseResult::command;
            idle_since_ = net::Loop::now();
            // A client whose first input is invalid is not a beanstalk client: it is closed after the error
            // reply.
            server_.broker_.on_command(net::Loop::now(), id_, result, std::move(parser_.command()));
            if (result != ParseResult::command && !has_sent_command_) finish();
        }
        input_.erase(0, input_.size() - remaining.size());
        is_processing_ = false;
    }
    void on_all_written() override {
        if (!is_closed_ && !input_.empty()) process_input();
    }
    void on_closed(net::CloseReason) override { close(); }
    void send(std::string&& reply) {
        if (is_closed_) return;
        // The broker may still be using this session, so it is closed in the next update().
        if (!connection_.write(reply)) return server_.close_later(id_);
        // The reserve has ended: input received meanwhile is processed in the next update().
        if (!input_.empty() && !is_processing_)
            server_.to_process_.push_back(id_), server_.update_timer_.set(net::Loop::now());
    }
    void finish() {
        if (std::exchange(is_finishing_, true) || is_closed_) return;
        connection_.finish();
    }
    void close() {
        if (std::exchange(is_closed_, true)) return;
        connection_.close();
        server_.closed_.push_back(id_);
        server_.broker_.on_session_closed(net::Loop::now(), id_);
    }
    bool is_stalled(Micros now) const {
        return (!has_sent_command_ || is_finishing_ ||
                (parser_.has_partial_command() && !server_.broker_.is_waiting(id_))) &&
               now - idle_since_ > kCommandTimeout;
    }
    bool has_sent_nothing() const { return !has_sent_command_; }
    bool has_unsent_reply() const { return !is_closed_ && connection_.has_unsent_bytes(); }
    std::size_t listener_index() const { return listener_index_; }

  private:
    Server& server_;
    const SessionId id_;
    const std::size_t listener_index_;
    Micros idle_since_;
    bool is_closed_ = false, is_finishing_ = false, has_sent_command_ = false, is_processing_ = false;
    std::string input_;
    CommandParser parser_;
    net::Connection connection_;
};

Server::Server(net::Loop& loop, std::vector<ListenerSettings> listeners, std::size_t max_connections,
               BrokerSettings settings, TubeBroker::TubeMapping mapping, ServerCallbacks& callbacks,
               log::Log& log)
    : loop_(loop),
      callbacks_(callbacks),
      log_(log),
      max_connections_(max_connections),
      max_body_bytes_(settings.max_body_bytes),
      broker_(std::move(settings), std::move(mapping), *this),
      update_timer_(loop, [this] { update(); }),
      stall_timer_(loop, [this] { close_stalled(); }) {
    for (ListenerSettings& listener : listeners) {
        const std::size_t listener_index = listeners_.size();
        listeners_.push_back(
            {listener, std::make_unique<net::Listener>(
                           loop, listener.address,
                           [this, listener_index](evutil_socket_t socket) { accept(listener_index, socket); },
                           [this] { evict_silent_session(); })});
        log_.info(net::Loop::now(), "beanstalkd's protocol on ",
                  log::field("address", listener.address.text));
    }
    stall_timer_.set(net::Loop::now() + kStallCheckInterval);
}

Server::~Server() = default;

void Server::accept(std::size_t listener_index, evutil_socket_t socket) {
    // Accepting never stops: a connection over the limit is closed at once, so that clients do not wait in
    // the accept backlog.
    if (is_shutting_down_ ||
        (sessions_.size() - closed_.size() >= max_connections_ && !evict_silent_session())) {
        evutil_closesocket(socket);
        return;
    }
    const SessionId id{++last_session_id_};
    sessions_.emplace(id, std::make_unique<Session>(*this, id, listener_index, socket));
    broker_.on_session_opened(net::Loop::now(), id);
}

// Closes the oldest session that has not sent a valid command yet. Without this, silent connections (500 of
// them, for example) would use up the limit and keep active clients out.
bool Server::evict_silent_session() {
    Session* oldest = nullptr;
    SessionId oldest_id{};
    for (const auto& [id, session] : sessions_)
        if (session->has_sent_nothing() && std::find(closed_.begin(), closed_.end(), id) == closed_.end() &&
            (!oldest || id < oldest_id))
            oldest = session.get(), oldest_id = id;
    if (oldest) oldest->close();
    return oldest != nullptr;
}

void Server::close_stalled() {
    const Micros now = net::Loop::now();
    std::vector<Session*> stalled;
    for (const auto& [id, session] : sessions_)
        if (session->is_stalled(now)) stalled.push_back(session.get());
    for (Session* const session : stalled) session->close();
    stall_timer_.set(now + kStallCheckInterval);
}

void Server::update() {
    for (const SessionId id : std::exchange(to_close_, {})) close(id);
    for (const SessionId id : std::exchange(to_process_, {}))
        if (const auto found = sessions_.find(id); found != sessions_.end()) found->second->process_input();
    const Micros next = broker_.advance(net::Loop::now());
    if (!to_process_.empty() || !to_close_.empty())
        update_timer_.set(net::Loop::now());
    else if (next > 0)
        update_timer_.set(next);
}

void Server::shut_down() {
    if (std::exchange(is_shutting_down_, true)) return;
    broker_.set_rejects_puts(true);
    broker_.set_dispatches_jobs(false);
    if (const std::size_t queued = broker_.queued_jobs(); queued > 0)
        log_.warning(net::Loop::now(), "leaving, and ", log::field("jobs", queued),
                     " jobs that wait in tubes are lost with this process");
    std::vector<Session*> open;
    for (const auto& [id, session] : sessions_) open.push_back(session.get());
    for (Session* const session : open) session->finish();
}

bool Server::is_idle() const {
    return broker_.tasks_in_flight() == 0 &&
           std::none_of(sessions_.begin(), sessions_.end(),
                        [](const auto& s) { return s.second->has_unsent_reply(); });
}

void Server::close_later(SessionId id) {
    to_close_.push_back(id);
    update_timer_.set(net::Loop::now());
}

void Server::destroy_closed_sessions() {
    for (const SessionId id : std::exchange(closed_, {})) sessions_.erase(id);
}

void Server::send(SessionId session, std::string&& reply) {
    if (const auto found = sessions_.find(session); found != sessions_.end())
        found->second->send(std::move(reply));
}

void Server::close(SessionId session) {
    if (const auto found = sessions_.find(session); found != sessions_.end()) found->second->close();
}

RunnerId Server::add_worker(SessionId session, const WorkloadSet& serves, bool cold) {
    return callbacks_.add_worker(listeners_[sessions_.at(session)->listener_index()].settings, serves, cold);
}

}  // namespace gannethold::beanstalk
