// Schedules the requests for the pages of the platform's list of runners, and determines which runners have
// been removed from it. One process polls for the whole system, within the platform's rate limit. Performs no
// I/O and reads no clock: the caller passes the time.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

/// One entry of the platform's list.
struct ListedRunner {
    RunnerInfo info;
    bool draining = false;  // the runner accepts no more requests
};

struct RunnerListPage {
    std::vector<ListedRunner> runners;
    std::string next_page_token;  // empty: this is the last page
};

/// Polls the list repeatedly. A reading is one pass from the first page to the last.
class RunnerListPoller {
  public:
    struct Options {
        double max_pages_per_s = 1;      // the platform's rate limit, for all processes together
        Micros poll_interval = 400'000;  // from the end of one complete reading to the start of the next
    };
    struct Update {
        bool is_complete = false;  // the page was the last one of the reading
        /// Ids of runners that were in the previous complete reading and are not in this one. Empty unless
        /// is_complete.
        std::vector<std::string> removed;
    };

    RunnerListPoller(const Options& options, Micros now) : options_(options), next_request_at_(now) {}

    /// Returns the token of the page to request now (empty: the first page); nullopt if no request is due.
    /// It is pending until on_page() or on_failure() is called; no other request is due until then.
    std::optional<std::string> take_due_request(Micros now);
    /// The pending request has been answered. REQUIRES: the page is the one of the last token.
    Update on_page(Micros now, const RunnerListPage& page);
    /// The pending request has failed. The next reading starts at the first page, because the page token may
    /// have expired.
    void on_failure(Micros now);

  private:
    Micros page_intervals(double count) const;

    Options options_;
    Micros next_request_at_;
    bool is_pending_ = false;
    std::string page_token_;             // token of the next request
    std::set<std::string> current_ids_;  // ids in the reading in progress
    std::set<std::string> last_ids_;     // ids in the last complete reading
};

}  // namespace gannethold::cluster
