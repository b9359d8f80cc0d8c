// A stand-in of the platform on loopback: its API (lists of runners and workers, starts and stops), and the
// runners themselves, which answer requests after the time that their function's work takes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "cluster/transport/http_server.hpp"
#include "trial_site.hpp"

namespace gannethold::trial {

class PlatformStandIn {
  public:
    /// `loop` must outlive this object.
    explicit PlatformStandIn(net::Loop& loop);

    /// Opens the runners that have booted, and closes idle connections. Call it often.
    void tick(Micros now);

    int running() const { return static_cast<int>(runners_.size()); }
    int starts() const { return starts_; }
    int stops() const { return stops_; }
    /// Requests that came to a runner which had no slot for them.
    int rejected() const { return rejected_; }
    /// Requests that ran more often than their route's two attempts allow.
    int excess_runs() const;

  private:
    using ExchangeId = cluster::ExchangeId;

    struct Runner {
        std::string id;
        std::string service;
        std::string address;
        std::string worker;
        std::string zone;
        const FunctionSpec* function = nullptr;
        Micros ready_at = 0;
        Micros listed_at = 0;
        int busy_slots = 0;
        std::unique_ptr<cluster::HttpServer> http;  // nullptr: still booting, or stopped
        std::map<ExchangeId, std::unique_ptr<net::Timer>> work;
    };

    void on_request(ExchangeId exchange, const cluster::HttpMessage& request);
    void list_runners(ExchangeId exchange);
    void list_workers(ExchangeId exchange);
    void start_runner(ExchangeId exchange, const std::string& body);
    void stop_runner(ExchangeId exchange, const std::string& body);
    bool accepts_fence(const cluster::HttpMessage& request);
    void answer(ExchangeId exchange, int status, std::string body);
    void answer_started(ExchangeId exchange, const Runner& runner);
    void open(Runner& runner);
    void run(Runner& runner, ExchangeId exchange, const cluster::HttpMessage& request);
    void finish(Runner& runner, ExchangeId exchange, const cluster::HttpMessage& answer);

    net::Loop& loop_;
    cluster::HttpServer api_;
    std::map<std::string, std::unique_ptr<Runner>> runners_;  // by id
    std::vector<std::unique_ptr<Runner>> stopped_;
    std::map<std::string, std::string> started_by_nonce_;  // runners' ids, by service and nonce
    std::map<std::string, int> runs_;                      // by the attempt's id
    std::mt19937 random_{7};
    std::uint64_t newest_fence_ = 0;
    int created_ = 0;
    int starts_ = 0;
    int stops_ = 0;
    int rejected_ = 0;
    Micros next_sweep_ = 0;
};

}  // namespace gannethold::trial
