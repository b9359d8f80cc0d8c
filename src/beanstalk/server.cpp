#include "beanstalk/server.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::beanstalk {
namespace {

// For a command to come whole, counted from its first byte, and for a first valid one, from the connect.
constexpr Micros kPatience = 2'000'000;
constexpr Micros kLookForStalled = 100'000;
constexpr std::size_t kMostUnread =
    64 * 1024;  // beside one body, of whoever goes on while it waits or does not read

}  // namespace

// One client's connection. Commands are obeyed in their order; none while it waits in a reserve.
class Server::Session final : public net::Connection::Owner {
  public:
    Session(Server& server, SessionId id, std::size_t door, evutil_socket_t socket)
        : server_(server),
          id_(id),
          door_(door),
          since_(net::Loop::now()),
          reader_(server.longest_body_),
          connection_(server.loop_, *this, socket) {}

    void on_bytes(std::string_view bytes) override {
        if (over_) return;
        if (!reader_.half_said() && unread_.empty()) since_ = spoke_ ? net::Loop::now() : since_;
        // Against hundreds of commands piled up by who does not read the answers.
        if (unread_.size() + bytes.size() > kMostUnread + server_.longest_body_ + Reader::kLongestLine)
            return close();
        unread_.append(bytes);
        obey();
    }
    void obey() {
        if (obeying_) return;
        obeying_ = true;
        std::string_view left = unread_;
        while (!over_ && !left.empty() && connection_.unsent_bytes() < kMostUnread &&
               !server_.exchange_.waits(id_)) {
            const Found found = reader_.read(left);
            if (found == Found::nothing) break;
            spoke_ = spoke_ || found == Found::command;
            since_ = net::Loop::now();
            // Once nothing valid was ever said, the first fault is the last.
            server_.exchange_.heard(net::Loop::now(), id_, found, std::move(reader_.command()));
            if (found != Found::command && !spoke_) finish();
        }
        unread_.erase(0, unread_.size() - left.size());
        obeying_ = false;
    }
    void on_all_written() override {
        if (!over_ && !unread_.empty()) obey();
    }
    void on_closed(net::CloseReason) override { close(); }
    void say(std::string&& words) {
        if (over_) return;
        // Against a session that goes while the exchange is still busy with it: ended in the next look.
        if (!connection_.write(words)) return server_.end_soon(id_);
        // Its reserve is over: what came meanwhile may be read, in the next turn.
        if (!unread_.empty() && !obeying_) server_.again_.push_back(id_), server_.wake_.set(net::Loop::now());
    }
    void finish() {
        if (std::exchange(finishing_, true) || over_) return;
        connection_.finish();
    }
    void close() {
        if (std::exchange(over_, true)) return;
        connection_.close();
        server_.ended_.push_back(id_);
        server_.exchange_.closed(net::Loop::now(), id_);
    }
    bool stalled(Micros now) const {
        return (!spoke_ || finishing_ || (reader_.half_said() && !server_.exchange_.waits(id_))) &&
               now - since_ > kPatience;
    }
    bool never_spoke() const { return !spoke_; }
    bool owed() const { return !over_ && connection_.has_unsent_bytes(); }
    std::size_t door() const { return door_; }

  private:
    Server& server_;
    const SessionId id_;
    const std::size_t door_;
    Micros since_;
    bool over_ = false, finishing_ = false, spoke_ = false, obeying_ = false;
    std::string unread_;
    Reader reader_;
    net::Connection connection_;
};

Server::Server(net::Loop& loop, std::vector<Entrance> entrances, std::size_t most, Trade trade,
               Exchange::Places places, House& house, log::Log& log)
    : loop_(loop),
      house_(house),
      log_(log),
      most_(most),
      longest_body_(trade.longest_body),
      exchange_(std::move(trade), std::move(places), *this),
      wake_(loop, [this] { look(); }),
      stalled_(loop, [this] { check_stalled(); }) {
    for (Entrance& e : entrances) {
        const std::size_t door = doors_.size();
        doors_.push_back({e, std::make_unique<net::Listener>(
                                 loop, e.at, [this, door](evutil_socket_t socket) { accept(door, socket); },
                                 [this] { make_room(); })});
        log_.info(net::Loop::now(), "beanstalkd's protocol on ", log::field("address", e.at.text));
    }
    stalled_.set(net::Loop::now() + kLookForStalled);
}

Server::~Server() = default;

void Server::accept(std::size_t door, evutil_socket_t socket) {
    // Accepting never stops: who finds no room is closed at once, so that nobody waits in a backlog unheard.
    if (leaving_ || (sessions_.size() - ended_.size() >= most_ && !make_room())) {
        evutil_closesocket(socket);
        return;
    }
    const SessionId id{++opened_};
    sessions_.emplace(id, std::make_unique<Session>(*this, id, door, socket));
    exchange_.opened(net::Loop::now(), id);
}

// Against 500 silent connections that keep out who has something to say.
bool Server::make_room() {
    Session* oldest = nullptr;
    SessionId oldest_id{};
    for (const auto& [id, session] : sessions_)
        if (session->never_spoke() && std::find(ended_.begin(), ended_.end(), id) == ended_.end() &&
            (!oldest || id < oldest_id))
            oldest = session.get(), oldest_id = id;
    if (oldest) oldest->close();
    return oldest != nullptr;
}

void Server::check_stalled() {
    const Micros now = net::Loop::now();
    std::vector<Session*> stalled;
    for (const auto& [id, session] : sessions_)
        if (session->stalled(now)) stalled.push_back(session.get());
    for (Session* const one : stalled) one->close();
    stalled_.set(now + kLookForStalled);
}

void Server::look() {
    for (const SessionId id : std::exchange(doomed_, {})) close(id);
    for (const SessionId id : std::exchange(again_, {}))
        if (const auto found = sessions_.find(id); found != sessions_.end()) found->second->obey();
    const Micros next = exchange_.pass(net::Loop::now());
    if (!again_.empty() || !doomed_.empty())
        wake_.set(net::Loop::now());
    else if (next > 0)
        wake_.set(next);
}

void Server::leave() {
    if (std::exchange(leaving_, true)) return;
    exchange_.turn_away(true);
    exchange_.hand_out(false);
    if (const std::size_t lost = exchange_.waiting_jobs(); lost > 0)
        log_.warning(net::Loop::now(), "leaving, and ", log::field("jobs", lost),
                     " jobs that wait in tubes are lost with this process");
    std::vector<Session*> all;
    for (const auto& [id, session] : sessions_) all.push_back(session.get());
    for (Session* const one : all) one->finish();
}

bool Server::quiet() const {
    return exchange_.tasks_out() == 0 &&
           std::none_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s.second->owed(); });
}

void Server::end_soon(SessionId id) {
    doomed_.push_back(id);
    wake_.set(net::Loop::now());
}

void Server::sweep() {
    for (const SessionId id : std::exchange(ended_, {})) sessions_.erase(id);
}

void Server::say(SessionId to, std::string&& words) {
    if (const auto found = sessions_.find(to); found != sessions_.end()) found->second->say(std::move(words));
}

void Server::close(SessionId session) {
    if (const auto found = sessions_.find(session); found != sessions_.end()) found->second->close();
}

RunnerId Server::worker_joins(SessionId session, const WorkloadSet& serves, bool cold) {
    return house_.worker_joins(doors_[sessions_.at(session)->door()].entrance, serves, cold);
}

}  // namespace gannethold::beanstalk
