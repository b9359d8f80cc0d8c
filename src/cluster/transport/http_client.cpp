#include "cluster/transport/http_client.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace gannethold::cluster {
namespace {

constexpr int kMaxDiscardedResponses = 2;
constexpr Micros kHalfSecond = 500'000;

/// How long the connection may stay idle in the pool after this response; 0: it must not be reused.
Micros idle_timeout_after(const HttpMessage& response, Micros configured) {
    constexpr std::string_view kTimeout = "timeout=";
    const std::string_view keep_alive = response.field("Keep-Alive");
    const std::size_t found = keep_alive.find(kTimeout);
    if (found == std::string_view::npos) return configured;
    const char* const end = keep_alive.data() + keep_alive.size();
    int seconds = 0;
    std::from_chars(keep_alive.data() + found + kTimeout.size(), end, seconds);
    // Half of the server's timeout: whether a request that crosses the server's close was executed is
    // unknown.
    return std::min<Micros>(configured, std::max(0, seconds) * kHalfSecond);
}

}  // namespace

/// One connection: connecting, serving one call, or idle in the pool. Owned by the client; after release() it
/// stays in closed_ until it is freed.
class HttpClient::UpstreamConnection final : net::Connection::Owner {
  public:
    UpstreamConnection(HttpClient& client, std::string address, const net::Address& resolved)
        : client_(client),
          address_(std::move(address)),
          reader_(http::MessageKind::response, client_.loop_.block_pool()),
          connection_(client_.loop_, *this, resolved, client_.options_.connect_timeout) {}

    /// Sends the request, now or once the connection is established. REQUIRES: no call is in progress on it.
    void start(CallId call, const HttpMessage& request) {
        call_ = call;
        const std::string& id_field = client_.options_.id_field;
        request_id_ = id_field.empty() ? std::string() : std::string(request.field(id_field));
        has_received_ = false;
        reader_.set_response_to_head(request.method == "HEAD");
        request_body_bytes_ = request.body.size();
        request_bytes_ = serialize(request);
        if (is_established_) send();
    }
    void set_preconnect() { is_preconnect_ = true; }

    bool is_usable(Micros now) const {
        return is_established_ && !is_closing_ && now < expires_at_ && !connection_.is_stale();
    }
    bool is_expired(Micros now) const { return now >= expires_at_; }
    const std::string& address() const { return address_; }
    void close() {
        connection_.close();
        release();
    }

  private:
    // net::Connection::Owner

    void on_connected() override {
        is_established_ = true;
        expires_at_ = net::Loop::now() + client_.options_.idle_timeout;
        if (call_) return send();
        client_.add_idle(this);
        if (std::exchange(is_preconnect_, false)) client_.events_.on_preconnected(address_);
    }

    void on_bytes(std::string_view bytes) override {
        if (!call_) return close();  // the bytes belong to no request
        has_received_ = true;
        while (call_) {
            switch (reader_.read(bytes)) {
                case http::ReadResult::nothing:
                    if (bytes.empty()) return;
                    continue;
                case http::ReadResult::head:
                    response_ = make_http_message(reader_.head());
                    continue;
                case http::ReadResult::body:
                    if (response_.body.size() + reader_.body_piece().size() >
                        client_.options_.max_response_bytes)
                        return abort_call();
                    response_.body.append(reader_.body_piece());
                    continue;
                case http::ReadResult::error:
                    return abort_call();
                case http::ReadResult::end:
                    break;
            }
            reader_.restart();
            if (belongs_to_another_request(response_)) {
                response_ = {};
                if (++discarded_responses_ > kMaxDiscardedResponses) return abort_call();
                continue;
            }
            complete_call(!bytes.empty());
        }
    }

    void on_closed(net::CloseReason ending) override {
        if (!call_) {
            if (is_preconnect_) client_.events_.on_preconnect_failed(address_);
            return release();
        }
        if (!is_established_) return fail_call(CallResult::connect_failed);
        // A body without a length ends with the connection, so a truncation cannot be detected.
        if (ending == net::CloseReason::ended_early && reader_.is_complete_at_close())
            return fail_call(CallResult::malformed_response);
        fail_call(is_head_truncated() && !has_received_ ? CallResult::not_sent : CallResult::connection_lost);
    }

    // The call in progress

    void send() {
        if (connection_.write(request_bytes_)) {
            request_bytes_.clear();
            return;
        }
        // The pool of blocks is empty.
        connection_.close();
        client_.fail_later(*std::exchange(call_, std::nullopt), CallResult::not_sent);
        release();
    }

    bool belongs_to_another_request(const HttpMessage& response) const {
        const std::string& id_field = client_.options_.id_field;
        if (id_field.empty()) return false;
        const std::string_view id = response.field(id_field);
        return !id.empty() && id != request_id_;
    }

    // True if the kernel did not accept the complete head of the request. A server may execute a request once
    // it has the head, so a truncated body does not show that the request was not executed.
    bool is_head_truncated() const { return connection_.unsent_bytes_at_close() > request_body_bytes_; }

    void complete_call(bool has_surplus_bytes) {
        const Micros idle_timeout = idle_timeout_after(response_, client_.options_.idle_timeout);
        expires_at_ = net::Loop::now() + idle_timeout;
        // After surplus bytes or a discarded response, later responses may be attributed to the wrong
        // request. If the response came before the request was sent completely, the rest of that request
        // would precede the next one.
        is_closing_ = has_surplus_bytes || discarded_responses_ > 0 || connection_.has_unsent_bytes() ||
                      !response_.keeps_alive || idle_timeout == 0;
        const bool is_first = completed_calls_++ == 0 && discarded_responses_ == 0;
        const CallId call = *std::exchange(call_, std::nullopt);
        HttpClient& client = client_;
        client.calls_.erase(call);
        HttpMessage response = std::exchange(response_, {});
        if (is_closing_)
            close();
        else
            client.add_idle(this);
        client.events_.on_call_completed({call, CallResult::completed, std::move(response), is_first});
    }

    void abort_call() {
        connection_.close();
        fail_call(CallResult::malformed_response);
    }

    void fail_call(CallResult result) {
        const CallId call = *std::exchange(call_, std::nullopt);
        HttpClient& client = client_;
        const bool is_first = completed_calls_ == 0;
        client.calls_.erase(call);
        release();
        client.events_.on_call_completed({call, result, {}, is_first});
    }

    // Removes the connection from the client's tables. It is freed later, as this may be its own callback.
    void release() {
        const auto owned = client_.connections_.find(this);
        if (owned == client_.connections_.end()) return;
        client_.remove_idle(this);
        if (call_) client_.calls_.erase(*call_);
        client_.closed_.push_back(std::move(owned->second));
        client_.connections_.erase(owned);
    }

    HttpClient& client_;
    const std::string address_;
    http::Reader reader_;

    std::optional<CallId> call_;
    std::string request_id_;     // the request's value of Options::id_field
    std::string request_bytes_;  // not yet handed to the connection
    std::size_t request_body_bytes_ = 0;
    HttpMessage response_;       // the part that has been read
    bool has_received_ = false;  // bytes were received since the call began

    bool is_established_ = false;
    bool is_closing_ = false;
    bool is_preconnect_ = false;  // opened by preconnect(), whose event has not been reported yet
    int completed_calls_ = 0;
    int discarded_responses_ = 0;
    Micros expires_at_ = 0;  // once idle
    net::Connection connection_;
};

HttpClient::HttpClient(net::Loop& loop, Options options, Events events)
    : loop_(loop),
      options_(std::move(options)),
      events_(std::move(events)),
      report_timer_(loop, [this] { report_failed_calls(); }) {}

HttpClient::~HttpClient() = default;

HttpClient::UpstreamConnection& HttpClient::open_connection(const std::string& address,
                                                            const net::Address& resolved) {
    auto connection = std::make_unique<UpstreamConnection>(*this, address, resolved);
    UpstreamConnection* const key = connection.get();
    connections_[key] = std::move(connection);
    return *key;
}

// Takes the most recently used idle connection to this address; nullptr if there is none. Closes connections
// that are no longer usable.
HttpClient::UpstreamConnection* HttpClient::take_idle(const std::string& address) {
    const Micros now = net::Loop::now();
    for (auto idle = idle_.find(address); idle != idle_.end() && !idle->second.empty();
         idle = idle_.find(address)) {
        UpstreamConnection* const connection = idle->second.back();
        idle->second.pop_back();
        if (connection->is_usable(now)) return connection;
        connection->close();
    }
    return nullptr;
}

void HttpClient::add_idle(UpstreamConnection* connection) {
    ConnectionList& idle = idle_[connection->address()];
    idle.push_back(connection);
    if (idle.size() > options_.max_idle_connections) idle.front()->close();
}

void HttpClient::remove_idle(UpstreamConnection* connection) {
    const auto idle = idle_.find(connection->address());
    if (idle == idle_.end()) return;
    idle->second.remove(connection);
    if (idle->second.empty()) idle_.erase(idle);
}

void HttpClient::call(CallId id, const std::string& address, const HttpMessage& request,
                      bool on_new_connection) {
    UpstreamConnection* connection = on_new_connection ? nullptr : take_idle(address);
    if (!connection) {
        const auto resolved = net::Address::parse(address);
        if (!resolved) return fail_later(id, CallResult::connect_failed);
        connection = &open_connection(address, *resolved);
    }
    calls_[id] = connection;
    connection->start(id, request);
}

void HttpClient::fail_later(CallId id, CallResult result) {
    calls_.erase(id);
    failed_.push_back({id, result});
    report_timer_.set(net::Loop::now());
}

void HttpClient::report_failed_calls() {
    // A callback may start or cancel further calls.
    while (!failed_.empty()) {
        const FailedCall call = failed_.front();
        failed_.pop_front();
        events_.on_call_completed({call.id, call.result, {}, true});
    }
}

void HttpClient::cancel(CallId id) {
    std::erase_if(failed_, [id](const FailedCall& call) { return call.id == id; });
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    UpstreamConnection* const connection = found->second;
    calls_.erase(found);
    connection->close();
}

void HttpClient::preconnect(const std::string& address) {
    const auto resolved = net::Address::parse(address);
    if (resolved) open_connection(address, *resolved).set_preconnect();
}

void HttpClient::close_idle(const std::string& address) {
    const auto idle = idle_.find(address);
    if (idle == idle_.end()) return;
    // A copy, because close() removes each connection from the pool.
    const ConnectionList connections = idle->second;
    for (UpstreamConnection* const connection : connections) connection->close();
}

void HttpClient::close_expired(Micros now) {
    closed_.clear();
    std::vector<UpstreamConnection*> expired;
    for (const auto& [address, idle] : idle_)
        for (UpstreamConnection* const connection : idle)
            if (connection->is_expired(now)) expired.push_back(connection);
    for (UpstreamConnection* const connection : expired) connection->close();
}

}  // namespace gannethold::cluster
