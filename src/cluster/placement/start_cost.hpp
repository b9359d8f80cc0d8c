// The cost of requests that find no runner and wait for a start, and the cost of an idle runner.
#pragma once

#include "cluster/configuration/configuration.hpp"
#include "cluster/placement/exchange_rates.hpp"
#include "cluster/slots/boot_times.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Costs for the runners of one function, in the unit of ExchangeRates.
class StartCost {
  public:
    StartCost(const ExchangeRates& rates, const BootTimes& boot_times, const Service& service);

    // One runner for one second.
    double runner_second() const { return runner_second_; }
    // One start, including the memory that the runner holds until it accepts requests.
    double start() const { return start_; }
    // The requests that are answered late if the first of them finds no runner, at the given request rate.
    double late_requests(double requests_per_s) const {
        return late_request_ * (late_fraction_ + requests_per_s * late_seconds_);
    }
    // The time for which an idle runner costs as much as another start. Keeping the runner for this long
    // costs at most twice the optimum (the bound of the ski rental problem).
    Micros break_even() const { return static_cast<Micros>(start_ / runner_second_ * 1e6); }

    // Whether keeping the function's last runner idle costs less than a start for the next request.
    bool is_cheaper_to_keep(double requests_per_s) const {
        return requests_per_s * (start_ + late_requests(requests_per_s)) >= runner_second_;
    }
    // Whether starting a runner before the first request costs less, for its idle time until then, than the
    // requests that would be late without it. The cost of the start itself is the same in both cases.
    bool is_cheaper_to_start_ahead(double requests_per_s) const {
        return requests_per_s * late_requests(requests_per_s) >= runner_second_;
    }

  private:
    double boot_s_;
    double runner_second_;
    double start_;
    double late_request_;
    double late_fraction_ = 0;  // fraction of first requests that are late because they wait for the start
    double late_seconds_ = 0;   // part of the start during which arriving requests will be late
};

}  // namespace gannethold::cluster
