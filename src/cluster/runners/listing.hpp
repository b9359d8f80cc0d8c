// Follows the platform's list of runners, page by page and under its rate, and says what changed. One process
// asks for all. No I/O and no clock.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

struct ListedRunner {
    RunnerInfo what;
    bool draining = false;
};
struct RunnerListPage {
    std::vector<ListedRunner> runners;
    std::string next;  // empty: the last
};

class RunnerListing {
  public:
    struct Options {
        double rate_per_s = 1;   // of pages, for all processes together
        Micros pause = 400'000;  // between two readings of the list
    };
    RunnerListing(const Options& terms, Micros now) : options_(terms), next_(now) {}

    // The token of the page to ask for now ("": the first); false: none yet.
    bool due(Micros now, std::string& token);
    void failed(Micros now);
    // What the page shows; whole: with it the list has been read from end to end, and gone are those who
    // stood in it before and no longer do.
    void page(Micros now, const RunnerListPage& page, bool& whole, std::vector<std::string>& gone);
    Micros next() const { return out_ ? next_ + 2'000'000 : next_; }

  private:
    Options options_;
    Micros next_;
    bool out_ = false;
    std::string token_;
    std::set<std::string> reading_, last_;
};

}  // namespace gannethold::cluster
