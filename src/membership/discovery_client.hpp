// The client of the discovery service: fetches the list of runners and watches it for changes. The caller
// decides when to fetch and when to watch.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/reader.hpp"
#include "log/log.hpp"
#include "membership/endpoint_list.hpp"
#include "net/connection.hpp"

namespace gannethold::membership {

// One HTTP request to discovery: the complete list once, or a watch that streams changes.
class DiscoveryRequest final : public net::Connection::Owner {
  public:
    enum class Kind { list, watch };
    class RequestObserver {
      public:
        virtual void on_list(Kind kind, const EndpointList& list) = 0;
        virtual void on_request_ended(Kind kind,
                                      const char* why) = 0;  // nullptr: the list was received in full

      protected:
        ~RequestObserver() = default;
    };

    DiscoveryRequest(net::Loop& loop, RequestObserver& observer, const net::Address& discovery, Kind kind,
                     std::uint32_t since);
    void close();

  private:
    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_closed(net::CloseReason ending) override;
    bool on_line(std::string_view text);
    void fail(const char* why);

    net::Loop& loop_;
    RequestObserver& observer_;
    const Kind kind_;
    std::string request_;
    bool is_over_ = false, has_list_ = false;
    http::Reader reader_;
    std::string line_;  // a std::string, since a list may be far longer than a block
    net::Timer timeout_;
    net::Connection connection_;
};

// Runs at most one fetch and one watch at a time, and reports lists and failures to its owner.
class DiscoveryClient final : public DiscoveryRequest::RequestObserver {
  public:
    using OnList = std::function<bool(const EndpointList&)>;  // false: the delta does not apply
    using OnFailure = std::function<void()>;

    DiscoveryClient(net::Loop& loop, const net::Address& discovery, log::Log& log, OnList on_list,
                    OnFailure on_failure);

    // Uses another discovery service from now on. Requests to the previous one are closed without a report.
    void set_address(const net::Address& discovery);
    // Starts a watch for changes after a version, in place of the current watch.
    void follow(std::uint32_t since);
    void stop_following();
    // Requests the complete list once.
    void fetch();
    // Frees closed requests; not to be called from their callbacks.
    void erase_ended() { ended_.clear(); }

  private:
    void on_list(DiscoveryRequest::Kind kind, const EndpointList& list) override;
    void on_request_ended(DiscoveryRequest::Kind kind, const char* why) override;
    std::unique_ptr<DiscoveryRequest>& request(DiscoveryRequest::Kind kind) {
        return kind == DiscoveryRequest::Kind::watch ? watch_ : list_;
    }
    void start(DiscoveryRequest::Kind kind, std::uint32_t since);
    void cancel(DiscoveryRequest::Kind kind);

    net::Loop& loop_;
    net::Address discovery_;
    log::Log& log_;
    OnList on_list_;
    OnFailure on_failure_;
    std::unique_ptr<DiscoveryRequest> watch_, list_;
    std::vector<std::unique_ptr<DiscoveryRequest>> ended_;
};

}  // namespace gannethold::membership
