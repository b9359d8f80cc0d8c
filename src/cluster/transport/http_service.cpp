#include "cluster/transport/http_service.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>

namespace gannethold::cluster {

class HttpService::InboundPeer final : net::Connection::Owner {
  public:
    InboundPeer(HttpService& service, evutil_socket_t socket)
        : service_(service),
          reader_(http::Kind::request, service.loop_.blocks()),
          since_(net::Loop::now()),
          connection_(service.loop_, *this, socket) {}

    void answer(const HttpMessage& message) {
        exchange_ = 0;
        since_ = net::Loop::now();
        HttpMessage last = message;
        last.keeps_alive = keeps_alive_ && message.keeps_alive && !service_.leaving_;
        last.answers_head = head_;
        if (!connection_.write(bytes_of(last))) return leave();
        if (!last.keeps_alive) finish();
    }
    // Nothing under way, and nothing half read.
    bool idle() const { return exchange_ == 0 && !reading_ && ahead_.empty() && !reader_.begun(); }
    bool finishing() const { return finishing_; }
    Micros since() const { return since_; }
    bool waits() const { return exchange_ != 0; }
    bool unfinished() const { return connection_.unsent() || !(finishing_ || idle()); }
    // Only while idle. An answer that is still being written is written first.
    void close_unread() {
        if (connection_.unsent()) return finish();
        leave();
    }
    void finish() {
        finishing_ = true;
        connection_.finish();
    }
    void timed_out() {
        if (idle()) return leave();
        refuse(408);
    }

  private:
    void bytes(std::string_view bytes) override {
        if (finishing_) return;
        if (exchange_ != 0 || connection_.unsent()) {
            // Sent ahead. So much is more than any client's due.
            if (ahead_.size() + bytes.size() > (1U << 20)) return leave();
            ahead_.append(bytes);
            return;
        }
        read(bytes);
    }

    // What was sent ahead is read once the answer before it has been written: so many requests at once
    // neither nest nor take more than one answer's memory.
    void all_written() override {
        if (exchange_ != 0 || finishing_ || ahead_.empty()) return;
        const std::string bytes = std::exchange(ahead_, {});
        read(bytes);
    }

    void read(std::string_view bytes) {
        for (;;) {
            if (!reading_ && !reader_.begun()) since_ = net::Loop::now();
            switch (reader_.read(bytes)) {
                case http::Found::nothing:
                    if (bytes.empty()) return;
                    continue;
                case http::Found::head:
                    request_ = copy_of(reader_.head());
                    reading_ = true;
                    if (reader_.length() > service_.limits_.max_body_bytes) return refuse(413);
                    continue;
                case http::Found::body:
                    if (request_.body.size() + reader_.piece().size() > service_.limits_.max_body_bytes)
                        return refuse(413);
                    request_.body.append(reader_.piece());
                    continue;
                case http::Found::end:
                    reader_.restart();
                    reading_ = false;
                    keeps_alive_ = request_.keeps_alive;
                    head_ = request_.method == "HEAD";
                    ahead_.assign(bytes);
                    exchange_ = ++service_.last_;
                    service_.exchanges_[exchange_] = this;
                    service_.events_.request(exchange_, std::move(request_));
                    return;
                case http::Found::fault:
                    if (reader_.fault() == http::Fault::out_of_blocks) return leave();
                    return refuse(reader_.fault() == http::Fault::too_large ? 431 : 400);
            }
        }
    }

    void refuse(int status) {
        HttpMessage message;
        message.status = status;
        message.keeps_alive = false;
        connection_.write(bytes_of(message));
        finish();
    }

    void leave() {
        connection_.close();
        ended(net::Ending::closed);
    }

    void ended(net::Ending) override {
        HttpService& service = service_;
        const Exchange exchange = exchange_;
        exchange_ = 0;
        finishing_ = true;
        if (const auto own = service.inbound_peers_.find(this); own != service.inbound_peers_.end()) {
            service.closed_.push_back(std::move(own->second));
            service.inbound_peers_.erase(own);
        }
        if (exchange != 0 && service.exchanges_.erase(exchange) > 0) service.events_.left(exchange);
    }

    HttpService& service_;
    http::Reader reader_;
    HttpMessage request_;
    std::string ahead_;
    Exchange exchange_ = 0;
    bool reading_ = false, keeps_alive_ = true, finishing_ = false;
    bool head_ = false;  // the request under way is a HEAD request
    Micros since_;
    net::Connection connection_;
};

HttpService::HttpService(net::Loop& loop, const net::Address& at, Events events, std::size_t most)
    : loop_(loop), events_(std::move(events)), most_(most) {
    listener_ = std::make_unique<net::Listener>(
        loop, net::Door(at),
        [this](evutil_socket_t socket) {
            if (inbound_peers_.size() >= most_) {
                ::close(socket);
                return;
            }
            auto inbound_peer = std::make_unique<InboundPeer>(*this, socket);
            InboundPeer* const key = inbound_peer.get();
            inbound_peers_[key] = std::move(inbound_peer);
        },
        [] {});
}

HttpService::~HttpService() = default;

void HttpService::answer(Exchange exchange, const HttpMessage& message) {
    const auto at = exchanges_.find(exchange);
    if (at == exchanges_.end()) return;
    InboundPeer* const inbound_peer = at->second;
    exchanges_.erase(at);
    inbound_peer->answer(message);
}

void HttpService::answer(Exchange exchange, ErrorCode code, const std::string& detail,
                         std::uint32_t retry_ms) {
    const ErrorResponse answer_is = error_response(code);
    HttpMessage message;
    message.status = answer_is.status;
    if (answer_is.status == 503) {
        char seconds[16];
        std::snprintf(seconds, sizeof seconds, "%.3f", retry_ms / 1e3);
        message.fields.emplace_back("Retry-After", seconds);
    }
    message.fields.emplace_back("Content-Type", "application/json");
    message.body = std::string("{\"error_message\":\"") + answer_is.name;
    if (!detail.empty()) message.body += ": ";
    for (const char c : detail) {
        if (c == '"' || c == '\\') message.body += '\\';
        message.body += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    message.body += "\"}";
    answer(exchange, message);
}

void HttpService::close_idle() {
    if (listener_) listener_->stop();
    std::vector<InboundPeer*> idle;
    for (auto& [key, inbound_peer] : inbound_peers_)
        if (inbound_peer->idle() && !inbound_peer->finishing()) idle.push_back(key);
    for (InboundPeer* const inbound_peer : idle) inbound_peer->close_unread();
}

std::size_t HttpService::unfinished() const {
    return static_cast<std::size_t>(
        std::count_if(inbound_peers_.begin(), inbound_peers_.end(),
                      [](const auto& entry) { return entry.second->unfinished(); }));
}

void HttpService::sweep(Micros now) {
    closed_.clear();
    std::vector<InboundPeer*> late;
    for (auto& [key, inbound_peer] : inbound_peers_) {
        if (inbound_peer->waits() || inbound_peer->finishing()) continue;
        if (now >
            inbound_peer->since() +
                (inbound_peer->idle() ? limits_.idle_timeout : limits_.header_timeout + limits_.idle_timeout))
            late.push_back(key);
    }
    for (InboundPeer* const inbound_peer : late) inbound_peer->timed_out();
}

}  // namespace gannethold::cluster
