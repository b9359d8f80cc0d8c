// Asks discovery for the list of runners and follows its changes. When to ask is not decided here.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/reader.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "membership/endpoint_list.hpp"

namespace gannethold::membership {

// One call to discovery: the whole list once, or a watch.
class DiscoveryRequest final : public net::Connection::Owner {
  public:
    enum class Kind { list, watch };
    class RequestObserver {
      public:
        virtual void on_list(Kind kind, const EndpointList& listing) = 0;
        virtual void on_request_ended(Kind kind, const char* why) = 0;  // nullptr: a list that came whole

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
    bool is_over_ = false, heard_ = false;
    http::Reader reader_;
    std::string line_;  // a list may be far longer than a block, and there is only ever one
    net::Timer limit_;
    net::Connection connection_;
};

class DiscoveryClient final : public DiscoveryRequest::RequestObserver {
  public:
    using OnList = std::function<bool(const EndpointList&)>;  // false: it does not follow from what is held
    using OnFailure = std::function<void()>;

    DiscoveryClient(net::Loop& loop, const net::Address& discovery, log::Log& log, OnList on_list,
                    OnFailure on_failure);

    // From now on discovery is there. What the old one has not yet said, or how it ends, is not heard.
    void set_address(const net::Address& discovery);
    void follow(std::uint32_t since);
    void stop_following();
    void fetch();
    void erase_ended() { ended_.clear(); }

  private:
    void on_list(DiscoveryRequest::Kind kind, const EndpointList& listing) override;
    void on_request_ended(DiscoveryRequest::Kind kind, const char* why) override;
    std::unique_ptr<DiscoveryRequest>& request(DiscoveryRequest::Kind kind) {
        return kind == DiscoveryRequest::Kind::watch ? watch_ : list_;
    }
    void begin(DiscoveryRequest::Kind kind, std::uint32_t since);
    void drop(DiscoveryRequest::Kind kind);

    net::Loop& loop_;
    net::Address discovery_;
    log::Log& log_;
    OnList on_list_;
    OnFailure on_failure_;
    std::unique_ptr<DiscoveryRequest> watch_, list_;
    std::vector<std::unique_ptr<DiscoveryRequest>> ended_;
};

}  // namespace gannethold::membership
