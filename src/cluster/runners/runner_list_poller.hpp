// When to request which page of the platform's list of runners, and what a page changes. One process polls
// for the whole system, within the platform's rate. No I/O and no clock: the caller passes the time.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

struct ListedRunner {
    RunnerInfo info;
    bool draining = false;  // it takes no more requests
};

struct RunnerListPage {
    std::vector<ListedRunner> runners;
    std::string next_page_token;  // empty: this is the last page
};

class RunnerListPoller {
  public:
    struct Options {
        double max_pages_per_s = 1;      // the platform's rate limit, for all processes together
        Micros poll_interval = 400'000;  // from the end of one complete reading to the next
    };
    struct Update {
        bool is_complete = false;  // the list has now been read from its first page to its last
        /// Runner ids that the last complete reading had and this one has not. Only if it is complete.
        std::vector<std::string> removed;
    };

    RunnerListPoller(const Options& options, Micros now) : options_(options), next_request_at_(now) {}

    /// The token of the page to request now (empty: the first page); nullopt: no request is due. A request
    /// is pending from here until on_page() or on_failure(), and none is due meanwhile.
    std::optional<std::string> take_due_request(Micros now);
    /// The pending request's response. REQUIRES: it is that to the last token.
    Update on_page(Micros now, const RunnerListPage& page);
    /// The pending request failed. The reading starts again at the first page: a page token may have expired.
    void on_failure(Micros now);

  private:
    Micros page_intervals(double count) const;

    Options options_;
    Micros next_request_at_;
    bool is_pending_ = false;
    std::string page_token_;             // of the next request
    std::set<std::string> current_ids_;  // of the reading in progress
    std::set<std::string> last_ids_;     // of the last complete reading
};

}  // namespace gannethold::cluster
