// The operator and the clients of a run: hands in configurations one after the other, and sends real requests
// to real proxies.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/transport/http_client.hpp"
#include "net/loop.hpp"
#include "scale/addresses.hpp"
#include "scale/options.hpp"
#include "scale/workload.hpp"

namespace gannethold::scale {

/// One configuration on its way. Times are 0 until it has come there.
struct Change {
    unsigned version = 0;
    Micros handed_in = 0, acknowledged = 0, in_force = 0;
};

/// How real requests were answered.
struct Answers {
    std::vector<double> took_ms;  // of those with status 200
    int ok = 0, refused = 0, failed = 0;
};

class Operator {
  public:
    Operator(net::Loop& loop, const Options& options, const Addresses& addresses);

    /// To be called every few milliseconds.
    void tick(Micros now);
    /// Hands in the next version. Until it is in force no other is handed in.
    void change(Micros now);
    /// The last one that was handed in; nullptr: none yet.
    Change* last_change() { return changes_.empty() ? nullptr : &changes_.back(); }
    const std::vector<Change>& changes() const { return changes_; }
    /// From now on real requests are sent.
    void begin_requests(Micros now) { request_at_ = now; }
    const Answers& answers() const { return answers_; }
    int last_status() const { return last_status_; }

  private:
    void put(Micros now);
    void request(Micros now);
    void on_call_completed(const cluster::CompletedCall& completed);
    void put_ended(cluster::CallResult how, const cluster::HttpMessage& answer);

    const Options& options_;
    const Addresses& addresses_;
    Popularity popularity_;
    std::mt19937_64 random_{11};
    cluster::HttpClient client_;
    std::uint64_t last_call_ = 0;
    std::uint64_t put_call_ = 0;
    std::vector<Change> changes_;
    std::string body_, put_to_;
    int next_controller_ = 0, last_status_ = 0;
    Micros put_at_ = 0, put_until_ = 0, request_at_ = 0, sweep_at_ = 0;
    std::map<std::uint64_t, Micros> requests_;
    Answers answers_;
};

}  // namespace gannethold::scale
