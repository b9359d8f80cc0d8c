#include "cluster/transport/http_server.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <optional>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxPipelinedBytes = 1U << 20;  // for each connection
constexpr double kMillisPerSecond = 1e3;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;

std::string seconds_text(std::uint32_t millis) {
    char text[16];
    std::snprintf(text, sizeof text, "%.3f", millis / kMillisPerSecond);
    return text;
}

std::string error_body(const char* error_name, const std::string& detail) {
    std::string body = std::string("{\"error_message\":\"") + error_name;
    if (!detail.empty()) body += ": ";
    for (const char c : detail) {
        if (c == '"' || c == '\\') body += '\\';
        body += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    return body + "\"}";
}

}  // namespace

/// One client's connection. Owned by the server; once it has ended, it stays in closed_ until it is freed.
class HttpServer::DownstreamConnection final : net::Connection::Owner {
  public:
    DownstreamConnection(HttpServer& server, evutil_socket_t socket)
        : server_(server),
          reader_(http::MessageKind::request, server_.loop_.block_pool()),
          last_activity_(net::Loop::now()),
          connection_(server_.loop_, *this, socket) {}

    /// REQUIRES: an exchange is pending on this connection.
    void respond(const HttpMessage& message) {
        exchange_.reset();
        last_activity_ = net::Loop::now();
        HttpMessage response = message;
        response.keeps_alive = client_keeps_alive_ && message.keeps_alive && !server_.is_keep_alive_disabled_;
        response.responds_to_head = is_head_request_;
        if (!connection_.write(serialize(response))) return close();
        if (!response.keeps_alive) finish();
    }

    /// True if no exchange is pending and no part of a request has been read.
    bool is_idle() const {
        return !exchange_ && !is_reading_body_ && pipelined_.empty() && !reader_.has_started();
    }
    bool is_finishing() const { return is_finishing_; }
    bool is_busy() const { return connection_.has_unsent_bytes() || !(is_finishing_ || is_idle()); }

    bool is_expired(Micros now) const {
        if (exchange_ || is_finishing_) return false;
        const Limits& limits = server_.limits_;
        const Micros timeout = is_idle() ? limits.idle_timeout : limits.header_timeout + limits.idle_timeout;
        return now > last_activity_ + timeout;
    }
    void expire() {
        if (is_idle()) return close();
        reject(kRequestTimeout);
    }

    /// Closes without reading any further; the rest of an unsent response is written first. REQUIRES:
    /// is_idle().
    void close_idle() {
        if (connection_.has_unsent_bytes()) return finish();
        close();
    }

  private:
    // net::Connection::Owner

    void on_bytes(std::string_view bytes) override {
        if (is_finishing_) return;
        if (!exchange_ && !connection_.has_unsent_bytes()) return read(bytes);
        if (pipelined_.size() + bytes.size() > kMaxPipelinedBytes) return close();
        pipelined_.append(bytes);
    }

    // Pipelined requests are read only after the preceding response has been written. Calls of on_request are
    // thus never nested, and at most one response is in memory, however many requests are pipelined.
    void on_all_written() override {
        if (exchange_ || is_finishing_ || pipelined_.empty()) return;
        const std::string bytes = std::exchange(pipelined_, {});
        read(bytes);
    }

    void on_closed(net::CloseReason) override {
        HttpServer& server = server_;
        const std::optional<ExchangeId> exchange = std::exchange(exchange_, std::nullopt);
        is_finishing_ = true;
        if (const auto owned = server.connections_.find(this); owned != server.connections_.end()) {
            server.closed_.push_back(std::move(owned->second));
            server.connections_.erase(owned);
        }
        if (exchange && server.exchanges_.erase(*exchange) > 0)
            server.events_.on_client_disconnected(*exchange);
    }

    void read(std::string_view bytes) {
        for (;;) {
            if (!is_reading_body_ && !reader_.has_started()) last_activity_ = net::Loop::now();
            switch (reader_.read(bytes)) {
                case http::ReadResult::nothing:
                    if (bytes.empty()) return;
                    continue;
                case http::ReadResult::head:
                    request_ = make_http_message(reader_.head());
                    is_reading_body_ = true;
                    if (reader_.body_length() > server_.limits_.max_body_bytes)
                        return reject(kContentTooLarge);
                    continue;
                case http::ReadResult::body:
                    if (request_.body.size() + reader_.body_piece().size() > server_.limits_.max_body_bytes)
                        return reject(kContentTooLarge);
                    request_.body.append(reader_.body_piece());
                    continue;
                case http::ReadResult::end:
                    return begin_exchange(bytes);
                case http::ReadResult::error:
                    return on_fault(reader_.error());
            }
        }
    }

    // Delivers a complete request; the bytes that follow it belong to pipelined requests.
    void begin_exchange(std::string_view pipelined) {
        reader_.restart();
        is_reading_body_ = false;
        client_keeps_alive_ = request_.keeps_alive;
        is_head_request_ = request_.method == "HEAD";
        pipelined_.assign(pipelined);
        const ExchangeId exchange{++server_.last_exchange_};
        exchange_ = exchange;
        server_.exchanges_[exchange] = this;
        server_.events_.on_request(exchange, std::move(request_));
    }

    void on_fault(http::ReadError fault) {
        if (fault == http::ReadError::out_of_blocks) return close();
        reject(fault == http::ReadError::too_large ? kHeaderFieldsTooLarge : kBadRequest);
    }

    void reject(int status) {
        HttpMessage response;
        response.status = status;
        response.keeps_alive = false;
        connection_.write(serialize(response));
        finish();
    }

    // Closes the connection once all unsent bytes have been written.
    void finish() {
        is_finishing_ = true;
        connection_.finish();
    }

    void close() {
        connection_.close();
        on_closed(net::CloseReason::closed);
    }

    HttpServer& server_;
    http::Reader reader_;
    HttpMessage request_;                 // the part that has been read
    std::string pipelined_;               // bytes received after the pending request
    std::optional<ExchangeId> exchange_;  // the pending one
    bool is_reading_body_ = false;
    bool client_keeps_alive_ = true;
    bool is_head_request_ = false;  // of the pending request
    bool is_finishing_ = false;
    Micros last_activity_;  // time of the last response, or of the last read before a request began
    net::Connection connection_;
};

HttpServer::HttpServer(net::Loop& loop, const net::Address& address, Events events,
                       std::size_t max_connections)
    : loop_(loop),
      events_(std::move(events)),
      max_connections_(max_connections),
      listener_(
          loop, address, [this](evutil_socket_t socket) { accept(socket); }, [] {}) {}

HttpServer::~HttpServer() = default;

void HttpServer::accept(evutil_socket_t socket) {
    if (connections_.size() >= max_connections_) {
        ::close(socket);
        return;
    }
    auto connection = std::make_unique<DownstreamConnection>(*this, socket);
    DownstreamConnection* const key = connection.get();
    connections_[key] = std::move(connection);
}

void HttpServer::respond(ExchangeId exchange, const HttpMessage& response) {
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) return;
    DownstreamConnection* const connection = found->second;
    exchanges_.erase(found);
    connection->respond(response);
}

void HttpServer::respond(ExchangeId exchange, ErrorCode error, const std::string& detail,
                         std::uint32_t retry_after_ms) {
    const ErrorResponse error_info = error_response(error);
    HttpMessage response;
    response.status = error_info.status;
    if (response.status == kServiceUnavailable)
        response.fields.emplace_back("Retry-After", seconds_text(retry_after_ms));
    response.fields.emplace_back("Content-Type", "application/json");
    response.body = error_body(error_info.name, detail);
    respond(exchange, response);
}

void HttpServer::drain() {
    listener_.stop();
    std::vector<DownstreamConnection*> idle;
    for (const auto& [key, connection] : connections_)
        if (connection->is_idle() && !connection->is_finishing()) idle.push_back(key);
    for (DownstreamConnection* const connection : idle) connection->close_idle();
}

std::size_t HttpServer::busy_connections() const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& entry) { return entry.second->is_busy(); }));
}

void HttpServer::close_expired(Micros now) {
    closed_.clear();
    std::vector<DownstreamConnection*> expired;
    for (const auto& [key, connection] : connections_)
        if (connection->is_expired(now)) expired.push_back(key);
    for (DownstreamConnection* const connection : expired) connection->expire();
}

}  // namespace gannethold::cluster
