// The platform's HTTP API as typed requests and results: writes requests and reads responses. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/placement/planner.hpp"
#include "cluster/runners/runner_list_poller.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

/// Goes with each request that changes something. The platform rejects a token whose term is below the
/// highest that it has seen, so that a leader that has been replaced can change nothing.
struct FencingToken {
    std::string holder;
    Number term = 0;
};

struct StartRunnerResponse {
    StartResult result = StartResult::timed_out;
    // If it has begun:
    std::string runner_id;
    std::string address;  // "ip:port"
};

/// Thread-safe: it never changes.
class PlatformApi {
  public:
    explicit PlatformApi(FencingToken token) : token_(std::move(token)) {}

    /// page_token: RunnerListPage::next_page_token of the page before; empty: the first page.
    HttpMessage list_runners(std::string_view page_token) const;
    /// Entries without an id or an address are left out. Errors: platform_refused (a status other than 200),
    /// bytes_malformed.
    leaf::result<RunnerListPage> read_runners(const HttpMessage& response) const;

    HttpMessage list_workers() const;
    /// Entries without a name are left out. Errors: as of read_runners().
    leaf::result<std::vector<Worker>> read_workers(const HttpMessage& response) const;

    /// The request may be repeated: the platform starts one runner for each nonce.
    HttpMessage start_runner(const StartRunner& start) const;
    StartRunnerResponse read_start(const HttpMessage& response) const;

    /// The request may be repeated.
    HttpMessage stop_runner(const StopRunner& stop) const;
    /// Whether the runner is stopped, or there is none of that id.
    bool read_stop(const HttpMessage& response) const;

  private:
    HttpMessage fenced_request(std::string target, std::string body) const;

    FencingToken token_;
};

}  // namespace gannethold::cluster
