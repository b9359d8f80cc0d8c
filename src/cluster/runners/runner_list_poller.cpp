#include "cluster/runners/runner_list_poller.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {
namespace {

constexpr double kMinPagesPerSecond = 0.1;
constexpr double kMicrosPerSecond = 1e6;
// Times between two requests, as multiples of the smallest interval that the rate limit allows.
constexpr double kPageSpacing = 1.5;
constexpr double kRetrySpacing = 2;
constexpr Micros kMinRetryInterval = 200'000;

}  // namespace

Micros RunnerListPoller::page_intervals(double count) const {
    return static_cast<Micros>(count * kMicrosPerSecond /
                               std::max(kMinPagesPerSecond, options_.max_pages_per_s));
}

std::optional<std::string> RunnerListPoller::take_due_request(Micros now) {
    if (is_pending_ || now < next_request_at_) return std::nullopt;
    is_pending_ = true;
    return page_token_;
}

RunnerListPoller::Update RunnerListPoller::on_page(Micros now, const RunnerListPage& page) {
    is_pending_ = false;
    for (const ListedRunner& listed : page.runners) current_ids_.insert(listed.info.runner_id);
    page_token_ = page.next_page_token;
    Update update;
    update.is_complete = page_token_.empty();
    const Micros spacing = page_intervals(kPageSpacing);
    next_request_at_ = now + (update.is_complete ? std::max(options_.poll_interval, spacing) : spacing);
    if (!update.is_complete) return update;
    for (const std::string& id : last_ids_)
        if (!current_ids_.contains(id)) update.removed.push_back(id);
    last_ids_ = std::exchange(current_ids_, {});
    return update;
}

void RunnerListPoller::on_failure(Micros now) {
    is_pending_ = false;
    page_token_.clear();
    current_ids_.clear();
    next_request_at_ = now + std::max(kMinRetryInterval, page_intervals(kRetrySpacing));
}

}  // namespace gannethold::cluster
