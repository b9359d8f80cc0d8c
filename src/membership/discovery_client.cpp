#include "membership/discovery_client.hpp"

#include <utility>

#include "http/writer.hpp"

namespace gannethold::membership {
namespace {

constexpr Micros kConnectTimeout = 1'000'000;
constexpr Micros kResponseTimeout = 4'000'000;  // discovery serves requests one after another
constexpr Micros kIdleTimeout = 3'000'000;      // a watch sends a line, perhaps empty, every two seconds
constexpr std::size_t kMaxLineBytes = 8 * 1024 * 1024;

}  // namespace

DiscoveryRequest::DiscoveryRequest(net::Loop& loop, RequestObserver& observer, const net::Address& discovery,
                                   Kind kind, std::uint32_t since)
    : loop_(loop),
      observer_(observer),
      kind_(kind),
      reader_(http::MessageKind::response, loop.block_pool()),
      timeout_(loop, [this] { fail(has_list_ ? "it fell silent" : "no answer in time"); }),
      connection_(loop, *this, discovery, kConnectTimeout) {
    const std::string watch = "/v1/servers?follow=1&since=" + std::to_string(since);
    request_ = http::Writer::request("GET", kind == Kind::watch ? watch : "/v1/servers")
                   .field("Host", discovery.text)
                   .head();
    timeout_.set(net::Loop::now() + kResponseTimeout);
}

void DiscoveryRequest::close() {
    is_over_ = true;
    timeout_.cancel();
    connection_.close();
    reader_.restart();
}

void DiscoveryRequest::fail(const char* why) {
    if (is_over_) return;
    close();
    observer_.on_request_ended(kind_, why);
}

void DiscoveryRequest::on_connected() { connection_.write(request_); }

void DiscoveryRequest::on_closed(net::CloseReason ending) {
    // A body without a length ends with the connection; that is a complete list.
    const bool is_complete =
        kind_ == Kind::list && ending == net::CloseReason::ended_early && reader_.is_complete_at_close();
    if (is_complete && !line_.empty() && !on_line(std::exchange(line_, {}))) return;
    fail(is_complete && has_list_ ? nullptr : net::name_of(ending));
}

void DiscoveryRequest::on_bytes(std::string_view bytes) {
    // Detects a discovery service, or a network, that stops sending while the connection stays open.
    if (kind_ == Kind::watch) timeout_.set(net::Loop::now() + (has_list_ ? kIdleTimeout : kResponseTimeout));
    while (!is_over_) {
        switch (reader_.read(bytes)) {
            case http::ReadResult::nothing:
                return;
            case http::ReadResult::head:
                if (reader_.head().status != 200) return fail("it answered that it cannot");
                break;
            case http::ReadResult::body: {
                std::string_view piece = reader_.body_piece();
                while (!piece.empty() && !is_over_) {
                    const auto end = piece.find('\n');
                    if (line_.size() + piece.size() > kMaxLineBytes) return fail("a line without end");
                    line_ += piece.substr(0, end);
                    if (end == std::string_view::npos) break;
                    piece.remove_prefix(end + 1);
                    if (!on_line(std::exchange(line_, {}))) return;
                }
                break;
            }
            case http::ReadResult::end:
                if (!line_.empty() && !on_line(std::exchange(line_, {}))) return;
                return fail(kind_ == Kind::list && has_list_ ? nullptr : "it ended");
            case http::ReadResult::error:
                return fail("its answer cannot be read");
        }
    }
}

bool DiscoveryRequest::on_line(std::string_view text) {
    if (text.find_first_not_of(" \t\r") == std::string_view::npos) return true;
    std::optional<EndpointList> list;
    try {
        list = parse_endpoint_list(json::parse(text));
    } catch (const json::ParseError&) {
    }
    // The changes in the line are lost, so the request fails and must be repeated.
    if (!list) return fail("a line cannot be read"), false;
    has_list_ = true;
    observer_.on_list(kind_, *list);
    return !is_over_;
}

DiscoveryClient::DiscoveryClient(net::Loop& loop, const net::Address& discovery, log::Log& log,
                                 OnList on_list, OnFailure on_failure)
    : loop_(loop),
      discovery_(discovery),
      log_(log),
      on_list_(std::move(on_list)),
      on_failure_(std::move(on_failure)) {}

void DiscoveryClient::start(DiscoveryRequest::Kind kind, std::uint32_t since) {
    cancel(kind);
    request(kind) = std::make_unique<DiscoveryRequest>(loop_, *this, discovery_, kind, since);
}

void DiscoveryClient::cancel(DiscoveryRequest::Kind kind) {
    if (!request(kind)) return;
    request(kind)->close();
    ended_.push_back(std::move(request(kind)));
}

void DiscoveryClient::set_address(const net::Address& discovery) {
    cancel(DiscoveryRequest::Kind::watch);
    cancel(DiscoveryRequest::Kind::list);
    discovery_ = discovery;
}

void DiscoveryClient::follow(std::uint32_t since) { start(DiscoveryRequest::Kind::watch, since); }
void DiscoveryClient::stop_following() { cancel(DiscoveryRequest::Kind::watch); }
void DiscoveryClient::fetch() { start(DiscoveryRequest::Kind::list, 0); }

void DiscoveryClient::on_list(DiscoveryRequest::Kind kind, const EndpointList& list) {
    if (on_list_(list)) return;
    cancel(kind);
    on_failure_();
}

void DiscoveryClient::on_request_ended(DiscoveryRequest::Kind kind, const char* why) {
    cancel(kind);
    if (!why) return;
    log_.warning(net::Loop::now(),
                 "roster: ", kind == DiscoveryRequest::Kind::watch ? "the watch" : "the list",
                 " failed: ", why);
    on_failure_();
}

}  // namespace gannethold::membership
