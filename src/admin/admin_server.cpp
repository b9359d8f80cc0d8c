#include "admin/admin_server.hpp"

#include <iterator>
#include <string_view>
#include <utility>
#include <variant>

#include "http/reader.hpp"
#include "http/writer.hpp"

namespace gannethold::admin {
namespace {

constexpr Micros kRequestTimeout = 2'000'000;  // from the connect to the end of the request
constexpr std::size_t kMaxBodyBytes = 65'536;

}  // namespace

class AdminServer::Session final : public net::Connection::Owner {
  public:
    Session(AdminServer& server, evutil_socket_t socket)
        : server_(server),
          reader_(http::MessageKind::request, server.loop_.block_pool()),
          timeout_(server.loop_,
                   [this] {
                       respond({408, "the call came no further\n"});
                   }),
          connection_(server.loop_, *this, socket) {
        timeout_.set(net::Loop::now() + kRequestTimeout);
    }
    ~Session() = default;
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void close() {
        if (std::exchange(is_closed_, true)) return;
        timeout_.cancel();
        connection_.close();
        reader_.restart();
        server_.ended_sessions_.push_back(this);
    }
    bool is_closed() const { return is_closed_; }
    bool has_responded() const { return has_responded_; }
    // The response is fully sent; the connection only has to be closed.
    bool is_response_sent() const { return has_responded_ && !connection_.has_unsent_bytes(); }

    Sessions::iterator position;  // in the server's list

  private:
    // ---- net::Connection::Owner ----
    void on_bytes(std::string_view bytes) override {
        while (!has_responded_ && !is_closed_) {
            const http::ReadResult found = reader_.read(bytes);
            if (found == http::ReadResult::nothing) return;
            on_read(found);
        }
    }
    void on_closed(net::CloseReason) override { close(); }

    void on_read(http::ReadResult found) {
        switch (found) {
            case http::ReadResult::nothing:
                return;
            case http::ReadResult::head:
                return on_head(parse_request(reader_.head()));
            case http::ReadResult::body:
                body_bytes_ += reader_.body_piece().size();
                if (body_bytes_ > kMaxBodyBytes) respond({413, "no call is so long\n"});
                return;
            case http::ReadResult::end:
                // Executed only now: an incomplete request must have no effect.
                return respond(server_.handler_.on_admin_request(request_));
            case http::ReadResult::error:
                const bool is_overloaded = reader_.error() == http::ReadError::out_of_blocks;
                return respond({is_overloaded ? 503 : 400, "this cannot be read\n"});
        }
    }

    void on_head(const std::variant<AdminRequest, AdminResponse>& parsed) {
        if (const auto* const error = std::get_if<AdminResponse>(&parsed)) return respond(*error);
        request_ = std::get<AdminRequest>(parsed);
    }

    void respond(const AdminResponse& response) {
        if (has_responded_ || is_closed_) return;
        has_responded_ = true;
        timeout_.cancel();
        auto head = http::Writer::response(response.status);
        head.field("Content-Type", response.content_type)
            .field("Connection", "close")
            .content_length(response.body.size());
        net::BlockBuffer out(server_.loop_.block_pool());
        reader_.restart();
        if (!out.append(head.head()) || !out.append(response.body)) return close();
        connection_.write(std::move(out));
        connection_.finish();
    }

    AdminServer& server_;
    http::Reader reader_;
    net::Timer timeout_;
    AdminRequest request_{};
    std::size_t body_bytes_ = 0;
    bool has_responded_ = false;
    bool is_closed_ = false;
    net::Connection connection_;
};

AdminServer::AdminServer(net::Loop& loop, const net::Address& address, AdminHandler& handler, log::Log& log)
    : loop_(loop),
      handler_(handler),
      log_(log),
      listener_(
          loop, address, [this](evutil_socket_t socket) { on_accept(socket); },
          [this] { close_one_session(); }) {}

AdminServer::~AdminServer() = default;

void AdminServer::on_accept(evutil_socket_t socket) {
    if (session_count() >= kMaxSessions) close_one_session();
    sessions_.push_back(std::make_unique<Session>(*this, socket));
    sessions_.back()->position = std::prev(sessions_.end());
}

// Closes a session to accept another: the oldest whose response is fully sent, else the oldest without a
// complete request.
void AdminServer::close_one_session() {
    for (const auto& session : sessions_)
        if (!session->is_closed() && session->is_response_sent()) return close(*session);
    for (const auto& session : sessions_)
        if (!session->is_closed() && !session->has_responded()) return close(*session);
}

void AdminServer::close(Session& session) {
    log_.debug(net::Loop::now(), "admin: closed one of ", session_count(), " sessions to accept another");
    session.close();
}

void AdminServer::erase_ended_sessions() {
    for (const Session* const session : std::exchange(ended_sessions_, {}))
        sessions_.erase(session->position);
}

}  // namespace gannethold::admin
