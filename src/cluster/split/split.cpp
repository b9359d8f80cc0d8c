#include "cluster/split/split.hpp"

#include <algorithm>
#include <cmath>

#include "cluster/base/mechanisms.hpp"
#include "gradient/gradient.hpp"

namespace gannethold::cluster {
namespace {

constexpr double kMinRate = 3;               // requests/s; floor of x, the proxy's own rate (section 4.1)
constexpr double kLatencyGain = 0.125;       // weight of a sample in the smoothed latency
constexpr double kRateDecay = 0.75;          // decay of the smoothed rate per period
constexpr double kMaxUtilization = 0.95;     // limit of rho, so that 1/(1 - rho) stays finite
constexpr int kShortenedStepsPerRunner = 2;  // the first steps are shortened, this many per runner

}  // namespace

Split::Share* Split::find(const std::string& runner) {
    const auto at = std::find_if(shares_.begin(), shares_.end(),
                                 [&](const Share& share) { return share.runner == runner; });
    return at == shares_.end() ? nullptr : &*at;
}

void Split::normalize() {
    double sum = 0;
    for (const Share& share : shares_) sum += share.fraction;
    for (Share& share : shares_)
        share.fraction = sum > 0 ? share.fraction / sum : 1.0 / static_cast<double>(shares_.size());
}

void Split::add_runner(const std::string& runner, std::uint32_t slots) {
    if (find(runner)) return;
    Share added;
    added.runner = runner;
    added.fraction = shares_.empty() ? 1.0 : 1.0 / static_cast<double>(shares_.size());
    added.slots = std::max(1U, slots);
    double latency = 0;
    double min_latency = 0;
    int sampled = 0;
    for (const Share& share : shares_)
        if (share.latency > 0) {
            latency += share.latency;
            min_latency += share.min_latency;
            ++sampled;
        }
    if (sampled > 0) {
        added.latency = latency / sampled;
        added.min_latency = min_latency / sampled;
    }
    shares_.push_back(std::move(added));
    normalize();
}

void Split::remove_runner(const std::string& runner) {
    std::erase_if(shares_, [&](const Share& share) { return share.runner == runner; });
    normalize();
}

const Split::Share* Split::draw(double draw, const std::function<bool(const Share&)>& is_eligible) const {
    double sum = 0;
    for (const Share& share : shares_)
        if (is_eligible(share)) sum += share.fraction;
    double remaining = draw * sum;
    const Share* drawn = nullptr;
    for (const Share& share : shares_) {
        if (!is_eligible(share)) continue;
        drawn = &share;
        remaining -= share.fraction;
        if (remaining < 0) break;
    }
    return drawn;
}

void Split::on_sent(const std::string& runner) {
    if (Share* const share = find(runner)) ++share->in_flight;
}

void Split::on_completed(const std::string& runner, double latency) {
    Share* const share = find(runner);
    if (!share) return;
    if (share->in_flight > 0) --share->in_flight;
    if (latency <= 0) return;
    const bool is_first = share->latency <= 0;
    share->latency = is_first ? latency : share->latency + kLatencyGain * (latency - share->latency);
    share->min_latency = share->min_latency > 0 ? std::min(share->min_latency, latency) : latency;
}

// Section 4.1, equation 14: T/(1 - rho), or T^2/S if rho is not known. Runners do not report their load, so
// rho is the share of the runner's slots that this proxy itself uses.
double Split::marginal_delay(const Share& share) {
    const double utilization = std::min(kMaxUtilization, static_cast<double>(share.in_flight) / share.slots);
    if (utilization > 0) return share.latency / (1 - utilization);
    return share.latency * share.latency / share.min_latency;
}

// Section 5, Theorem 2: M bounds the second derivatives, 2T^3/S for each runner. Returns whether every runner
// has a latency sample.
bool Split::update_max_curvature() {
    bool all_sampled = true;
    for (const Share& share : shares_) {
        if (share.latency <= 0) {
            all_sampled = false;
            continue;
        }
        const double curvature = 2 * share.latency * share.latency * share.latency / share.min_latency;
        max_curvature_ = std::max(max_curvature_, curvature);
    }
    return all_sampled;
}

// Section 5, Theorem 2: eta = 2/(N*N*M); the first steps are shortened.
double Split::step_size(double max_curvature) {
    const double runners = static_cast<double>(shares_.size());
    double eta = 2 / (runners * runners * max_curvature);
    const int shortened_steps = kShortenedStepsPerRunner * static_cast<int>(shares_.size());
    if (steps_ < shortened_steps) eta /= shortened_steps - steps_;
    ++steps_;
    return eta;
}

// Section 4.1, equation 13, with the clamp of gradient/gradient.hpp. The fractions do not change until M is
// known from an earlier period and every runner has a latency sample.
void Split::step(std::uint64_t random) {
    const double earlier_max_curvature = max_curvature_;
    const bool all_sampled = update_max_curvature();
    if (is_off(Mechanism::split_step)) return;
    if (shares_.size() < 2 || !all_sampled || earlier_max_curvature <= 0) return;
    const double eta = step_size(earlier_max_curvature);
    for (Share& share : shares_) {
        share.marginal = marginal_delay(share);
        share.eta = eta;
    }
    const std::size_t runners = shares_.size();
    const double tie_break = (static_cast<double>(random % runners) + 0.5) / static_cast<double>(runners);
    step_toward_min_marginal(shares_, std::max(rate_, kMinRate), [tie_break] { return tie_break; });
    normalize();
}

void Split::advance(Micros now, std::uint64_t random) {
    if (period_end_ == 0) period_end_ = now + kPeriod;
    if (now < period_end_) return;
    const double periods = 1 + std::floor(static_cast<double>(now - period_end_) / kPeriod);
    rate_ += (arrivals_ / periods - rate_) * (1 - std::pow(kRateDecay, periods));
    arrivals_ = 0;
    period_end_ += static_cast<Micros>(periods) * kPeriod;
    step(random);
}

}  // namespace gannethold::cluster
