#include "cluster/split/split.hpp"

#include <algorithm>
#include <cmath>

#include "gradient/gradient.hpp"

namespace gannethold::cluster {
namespace {

constexpr double kFewRequests = 3;  // the floor of the rate
constexpr double kSmoothing = 0.125;
constexpr double kMostBusy = 0.95;

}  // namespace

Split::Share* Split::find(const std::string& runner) {
    const auto at =
        std::find_if(shares_.begin(), shares_.end(), [&](const Share& s) { return s.runner == runner; });
    return at == shares_.end() ? nullptr : &*at;
}

void Split::rescale() {
    double sum = 0;
    for (const Share& s : shares_) sum += s.fraction;
    for (Share& s : shares_)
        s.fraction = sum > 0 ? s.fraction / sum : 1.0 / static_cast<double>(shares_.size());
}

void Split::enter(const std::string& runner, std::uint32_t slots) {
    if (find(runner)) return;
    Share fresh{
        runner, shares_.empty() ? 1.0 : 1.0 / static_cast<double>(shares_.size()), 0, 0, std::max(1U, slots),
        0};
    double latency = 0;
    double least = 0;
    int known = 0;
    for (const Share& s : shares_)
        if (s.latency > 0) {
            latency += s.latency;
            least += s.least;
            ++known;
        }
    if (known > 0) {
        fresh.latency = latency / known;
        fresh.least = least / known;
    }
    shares_.push_back(std::move(fresh));
    rescale();
}

void Split::leave(const std::string& runner) {
    std::erase_if(shares_, [&](const Share& s) { return s.runner == runner; });
    rescale();
}

const Split::Share* Split::draw(double unit, const std::function<bool(const Share&)>& may) const {
    double sum = 0;
    for (const Share& s : shares_)
        if (may(s)) sum += s.fraction;
    double at = unit * sum;
    const Share* last = nullptr;
    for (const Share& s : shares_) {
        if (!may(s)) continue;
        last = &s;
        if ((at -= s.fraction) < 0) break;
    }
    return last;
}

void Split::sent(const std::string& runner) {
    if (Share* s = find(runner)) ++s->out;
}

void Split::ended(const std::string& runner, double latency) {
    Share* const s = find(runner);
    if (!s) return;
    if (s->out > 0) --s->out;
    if (latency <= 0) return;
    s->latency = s->latency > 0 ? s->latency + kSmoothing * (latency - s->latency) : latency;
    s->least = s->least > 0 ? std::min(s->least, latency) : latency;
}

// Runners send no report of their load: it is the own share of the slots that is taken, and T/(1 - rho) with
// it.
double Split::marginal(const Share& s) {
    const double busy = std::min(kMostBusy, static_cast<double>(s.out) / s.slots);
    return busy > 0 ? s.latency / (1 - busy) : s.latency * s.latency / s.least;
}

void Split::step(std::uint64_t chance) {
    const std::size_t n = shares_.size();
    const double greatest = greatest_;
    bool all = true;
    for (const Share& s : shares_) {
        all = all && s.latency > 0;
        if (s.latency > 0) greatest_ = std::max(greatest_, 2 * s.latency * s.latency * s.latency / s.least);
    }
    // Nothing moves until M of an earlier period and every runner's estimate exist.
    if (n < 2 || !all || greatest <= 0) return;
    const int first = 2 * static_cast<int>(n);
    const double count = static_cast<double>(n);
    double eta = 2 / (count * count * greatest);
    if (steps_ < first) eta /= first - steps_;
    ++steps_;
    for (Share& s : shares_) {
        s.marginal = marginal(s);
        s.eta = eta;
    }
    const double tie = (static_cast<double>(chance % n) + 0.5) / count;
    step_toward_least(shares_, std::max(rate_, kFewRequests), [tie] { return tie; });
    rescale();
}

void Split::advance(Micros now, std::uint64_t chance) {
    if (next_ == 0) next_ = now + kPeriod;
    if (now < next_) return;
    const double periods = 1 + std::floor(static_cast<double>(now - next_) / kPeriod);
    rate_ += (arrivals_ / periods - rate_) * (1 - std::pow(0.75, periods));
    arrivals_ = 0;
    next_ += static_cast<Micros>(periods) * kPeriod;
    step(chance);
}

}  // namespace gannethold::cluster
