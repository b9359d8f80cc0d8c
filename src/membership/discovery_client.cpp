#include "membership/discovery_client.hpp"

#include <utility>

#include "http/writer.hpp"

namespace gannethold::membership {
namespace {

constexpr Micros kConnectLimit = 1'000'000;
constexpr Micros kAnswerLimit = 4'000'000;  // discovery works through calls in turn, so some wait
constexpr Micros kSilence = 3'000'000;      // a line comes every two seconds, if only an empty one
constexpr std::size_t kLongestLine = 8 * 1024 * 1024;

}  // namespace

DiscoveryRequest::DiscoveryRequest(net::Loop& loop, RequestObserver& hearer, const net::Address& discovery, Kind kind, std::uint32_t since)
    : loop_(loop),
      hearer_(hearer),
      kind_(kind),
      reader_(http::MessageKind::response, loop.block_pool()),
      limit_(loop, [this] { give_up(heard_ ? "it fell silent" : "no answer in time"); }),
      connection_(loop, *this, discovery, kConnectLimit) {
    const std::string watch = "/v1/servers?follow=1&since=" + std::to_string(since);
    request_ = http::Writer::request("GET", kind == Kind::watch ? watch : "/v1/servers")
                   .field("Host", discovery.text)
                   .head();
    limit_.set(net::Loop::now() + kAnswerLimit);
}

void DiscoveryRequest::close() {
    over_ = true;
    limit_.cancel();
    connection_.close();
    reader_.restart();
}

void DiscoveryRequest::give_up(const char* why) {
    if (over_) return;
    close();
    hearer_.call_ended(kind_, why);
}

void DiscoveryRequest::on_connected() { connection_.write(request_); }

void DiscoveryRequest::on_closed(net::CloseReason ending) {
    // A list that goes on until the connection closes ends properly by that.
    const bool proper =
        kind_ == Kind::list && ending == net::CloseReason::ended_early && reader_.is_complete_at_close();
    if (proper && !line_.empty() && !heed_line(std::exchange(line_, {}))) return;
    give_up(proper && heard_ ? nullptr : net::name_of(ending));
}

void DiscoveryRequest::on_bytes(std::string_view bytes) {
    // Against a discovery, or a network, that goes silent with the connection open.
    if (kind_ == Kind::watch) limit_.set(net::Loop::now() + (heard_ ? kSilence : kAnswerLimit));
    while (!over_) {
        switch (reader_.read(bytes)) {
            case http::ReadResult::nothing:
                return;
            case http::ReadResult::head:
                if (reader_.head().status != 200) return give_up("it answered that it cannot");
                break;
            case http::ReadResult::body: {
                std::string_view piece = reader_.body_piece();
                while (!piece.empty() && !over_) {
                    const auto end = piece.find('\n');
                    if (line_.size() + piece.size() > kLongestLine) return give_up("a line without end");
                    line_ += piece.substr(0, end);
                    if (end == std::string_view::npos) break;
                    piece.remove_prefix(end + 1);
                    if (!heed_line(std::exchange(line_, {}))) return;
                }
                break;
            }
            case http::ReadResult::end:
                if (!line_.empty() && !heed_line(std::exchange(line_, {}))) return;
                return give_up(kind_ == Kind::list && heard_ ? nullptr : "it ended");
            case http::ReadResult::error:
                return give_up("its answer cannot be read");
        }
    }
}

bool DiscoveryRequest::heed_line(std::string_view text) {
    if (text.find_first_not_of(" \t\r") == std::string_view::npos) return true;
    std::optional<EndpointList> listing;
    try {
        listing = parse_endpoint_list(json::parse(text));
    } catch (const json::ParseError&) {
    }
    // What the line would have told is missed, so the call must be made again.
    if (!listing) return give_up("a line cannot be read"), false;
    heard_ = true;
    hearer_.heard(kind_, *listing);
    return !over_;
}

DiscoveryClient::DiscoveryClient(net::Loop& loop, const net::Address& discovery, log::Log& log, OnList heard, OnFailure failed)
    : loop_(loop), discovery_(discovery), log_(log), heard_(std::move(heard)), failed_(std::move(failed)) {}

void DiscoveryClient::begin(DiscoveryRequest::Kind kind, std::uint32_t since) {
    drop(kind);
    call(kind) = std::make_unique<DiscoveryRequest>(loop_, *this, discovery_, kind, since);
}

void DiscoveryClient::drop(DiscoveryRequest::Kind kind) {
    if (!call(kind)) return;
    call(kind)->close();
    ended_.push_back(std::move(call(kind)));
}

void DiscoveryClient::move(const net::Address& discovery) {
    drop(DiscoveryRequest::Kind::watch);
    drop(DiscoveryRequest::Kind::list);
    discovery_ = discovery;
}

void DiscoveryClient::follow(std::uint32_t since) { begin(DiscoveryRequest::Kind::watch, since); }
void DiscoveryClient::stop_following() { drop(DiscoveryRequest::Kind::watch); }
void DiscoveryClient::ask() { begin(DiscoveryRequest::Kind::list, 0); }

void DiscoveryClient::heard(DiscoveryRequest::Kind kind, const EndpointList& listing) {
    if (heard_(listing)) return;
    drop(kind);
    failed_();
}

void DiscoveryClient::call_ended(DiscoveryRequest::Kind kind, const char* why) {
    drop(kind);
    if (!why) return;
    log_.warning(net::Loop::now(), "roster: ", kind == DiscoveryRequest::Kind::watch ? "the watch" : "the list",
                 " failed: ", why);
    failed_();
}

}  // namespace gannethold::membership
