// The platform's HTTP API as typed requests and results: encodes requests and decodes responses. Performs no
// I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/placement/planner.hpp"
#include "cluster/runners/runner_list_poller.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

/// Sent with each request that changes state. The platform rejects a token whose term is lower than the
/// highest term that it has received, so that a leader that has been replaced cannot change anything.
struct FencingToken {
    std::string holder;
    Number term = 0;
};

struct StartRunnerResponse {
    StartResult result = StartResult::timed_out;
    std::string runner_id;  // set if the result is started, like the address
    std::string address;    // "ip:port"
};

/// Encodes and decodes the messages of one coordinator. Immutable, therefore thread-safe.
class PlatformApi {
  public:
    explicit PlatformApi(FencingToken token) : token_(std::move(token)) {}

    /// page_token: RunnerListPage::next_page_token of the previous page; empty: the first page.
    HttpMessage list_runners(std::string_view page_token) const;
    /// Skips entries without an id or an address. Errors: platform_rejected (a status other than 200),
    /// bytes_malformed.
    leaf::result<RunnerListPage> read_runners(const HttpMessage& response) const;

    HttpMessage list_workers() const;
    /// Skips entries without a name. Errors: as for read_runners().
    leaf::result<std::vector<Worker>> read_workers(const HttpMessage& response) const;

    /// The request is idempotent: the platform starts one runner for each nonce.
    HttpMessage start_runner(const StartRunner& start) const;
    StartRunnerResponse read_start(const HttpMessage& response) const;

    /// The request is idempotent.
    HttpMessage stop_runner(const StopRunner& stop) const;
    /// Returns whether the runner has been stopped or does not exist.
    bool read_stop(const HttpMessage& response) const;

  private:
    HttpMessage fenced_request(std::string target, std::string body) const;

    FencingToken token_;
};

}  // namespace gannethold::cluster
