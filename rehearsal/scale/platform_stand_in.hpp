// The platform's HTTP API with hollow instances: names in a list, and one place that answers calls for all of
// them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "cluster/transport/http_server.hpp"
#include "net/loop.hpp"
#include "scale/addresses.hpp"
#include "scale/options.hpp"

namespace gannethold::scale {

/// Starts, stops and lists hollow instances.
class PlatformStandIn {
  public:
    PlatformStandIn(net::Loop& loop, const Options& options, const Addresses& addresses);

    void sweep(Micros now);
    std::size_t instances() const { return instances_.size(); }
    int starts() const { return starts_; }
    int stops() const { return stops_; }
    int pages() const { return pages_; }
    int refused_fences() const { return refused_fences_; }

  private:
    using Exchange = cluster::ExchangeId;
    struct Instance {
        int function = 0, worker = 0;
        Micros listed_at = 0;
    };

    void platform(Exchange exchange, const cluster::HttpMessage& request);
    void list(Exchange exchange, const std::string& target);
    void workers(Exchange exchange);
    void begin(Exchange exchange, const std::string& body);
    void stop(Exchange exchange, const std::string& body);
    void work(Exchange exchange, const cluster::HttpMessage& request);
    void answer(Exchange exchange, int status, std::string body);
    void place(int function, int worker, Micros listed_at);
    std::string told(int number, const Instance& instance) const;

    net::Loop& loop_;
    const Options& options_;
    const std::string address_;
    cluster::HttpServer platform_, calls_;
    std::map<int, Instance> instances_;  // by number
    std::unordered_map<std::string, int> nonces_;
    std::map<Exchange, std::unique_ptr<net::Timer>> working_;
    std::vector<Exchange> done_;
    std::uint64_t fence_ = 0;
    int last_ = 0, starts_ = 0, stops_ = 0, pages_ = 0, refused_fences_ = 0;
};

}  // namespace gannethold::scale
