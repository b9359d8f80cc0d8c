// Who calls: draws what is asked for and when, open loop. Arrivals do not wait for answers, so a time begins
// when the call was meant to begin, however late whoever makes it is (no coordinated omission).
#pragma once

#include <algorithm>
#include <optional>

#include "day/day.hpp"
#include "model/chance.hpp"

namespace gannethold::rehearsal {

struct Call {
    Micros at = 0;
    std::size_t workload = 0, customer = 0;
    Micros work = 0;
    std::uint64_t key = 0;
    Micros leaves_after = 0;  // 0: stays to the end
};

class Callers {
  public:
    Callers(const Day& day, std::uint64_t seed) : day_(day), when_(seed, 11), what_(seed, 12) {
        for (const WorkloadPlan& w : day.workloads) shares_ += w.share;
        for (const CustomerPlan& c : day.customers) customer_shares_ += c.share;
    }

    double surge = 1;

    // The next call after the one before; none once the day's arrivals are over.
    std::optional<Call> next() {
        const ClientPlan& c = day_.clients;
        const double gap = c.rate > 0 ? 1e6 / (c.rate * surge) : 0;
        switch (c.arrivals) {
            case Arrivals::poisson:
                at_ += when_.exponential(gap);
                break;
            case Arrivals::even:
                at_ += gap;
                break;
            case Arrivals::bursts: {
                const auto each = std::max(1.0, c.rate * surge * static_cast<double>(c.burst_every) / 1e6);
                if (static_cast<double>(++in_burst_) > each)
                    in_burst_ = 1, at_ += static_cast<double>(c.burst_every);
                break;
            }
            case Arrivals::replayed:
                if (replayed_ >= c.times.size()) return std::nullopt;
                at_ = static_cast<double>(c.times[replayed_++]);
                break;
            case Arrivals::closed:
                return std::nullopt;  // whoever has had an answer calls again
        }
        if (at_ >= static_cast<double>(day_.length)) return std::nullopt;
        return draw(static_cast<Micros>(at_));
    }

    Call draw(Micros at) {
        Call call;
        call.at = at;
        double pick = what_.uniform() * shares_;
        while (call.workload + 1 < day_.workloads.size() &&
               (pick -= day_.workloads[call.workload].share) >= 0)
            ++call.workload;
        const WorkloadPlan& w = day_.workloads[call.workload];
        if (!day_.customers.empty()) {
            pick = what_.uniform() * customer_shares_;
            while (call.customer + 1 < day_.customers.size() &&
                   (pick -= day_.customers[call.customer].share) >= 0)
                ++call.customer;
        }
        const auto work = static_cast<double>(w.work);
        call.work =
            std::max<Micros>(1, static_cast<Micros>(w.spread > 0 ? what_.log_normal(work, w.spread) : work));
        call.key = what_.word() | 1;
        const bool leaves = what_.happens(day_.clients.leaves);
        const double after = what_.uniform();
        if (leaves)
            call.leaves_after = std::max<Micros>(1, static_cast<Micros>(after * static_cast<double>(w.due)));
        return call;
    }

  private:
    const Day& day_;
    Chance when_, what_;
    double at_ = 0, shares_ = 0, customer_shares_ = 0;
    std::size_t replayed_ = 0, in_burst_ = 0;
};

}  // namespace gannethold::rehearsal
