#include "cluster/runners/listing.hpp"

#include <algorithm>

namespace gannethold::cluster {

bool RunnerListing::due(Micros now, std::string& token) {
    if (out_ || now < next_) return false;
    out_ = true;
    token = token_;
    return true;
}

void RunnerListing::failed(Micros now) {
    // From the start: a token may have lost its meaning.
    out_ = false;
    token_.clear();
    reading_.clear();
    next_ = now + std::max<Micros>(200'000, static_cast<Micros>(2e6 / std::max(0.1, options_.rate_per_s)));
}

void RunnerListing::page(Micros now, const RunnerListPage& page, bool& whole,
                         std::vector<std::string>& gone) {
    out_ = false;
    for (const ListedRunner& one : page.runners) reading_.insert(one.what.runner_id);
    token_ = page.next;
    whole = token_.empty();
    const auto apart = static_cast<Micros>(1.5e6 / std::max(0.1, options_.rate_per_s));
    next_ = now + (whole ? std::max(options_.pause, apart) : apart);
    if (!whole) return;
    for (const std::string& runner : last_)
        if (!reading_.contains(runner)) gone.push_back(runner);
    last_ = std::move(reading_);
    reading_.clear();
}

}  // namespace gannethold::cluster
