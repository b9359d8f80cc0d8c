#include "cluster/programs/exchange_rate_flags.hpp"

#include <absl/flags/flag.h>
#include <cmath>
#include <cstdio>
#include <cstdlib>

// All costs are in one unit: the value of one request that is answered within its latency target.
ABSL_FLAG(double, cost_instance_gb_s, gannethold::cluster::ExchangeRates{}.instance_gb_second,
          "cost of one gigabyte of a runner's memory for one second, in requests answered in time");
ABSL_FLAG(double, cost_instance_start, gannethold::cluster::ExchangeRates{}.instance_start,
          "cost of the start of a runner in addition to its memory, in requests answered in time");
ABSL_FLAG(double, cost_late_request, gannethold::cluster::ExchangeRates{}.late_request,
          "loss for a request that is answered after its latency target, in requests answered in time");
ABSL_FLAG(double, cost_zone_gb, gannethold::cluster::ExchangeRates{}.zone_gb,
          "cost of one gigabyte between two zones of a region, in requests answered in time");
ABSL_FLAG(double, cost_region_gb, gannethold::cluster::ExchangeRates{}.region_gb,
          "cost of one gigabyte between two regions, in requests answered in time");
ABSL_FLAG(double, expected_requests_per_s, gannethold::cluster::ExchangeRates{}.expected_requests_per_s,
          "requests per second expected at each proxy before any have arrived");
ABSL_FLAG(double, expected_interruptions_per_h,
          gannethold::cluster::ExchangeRates{}.expected_interruptions_per_h,
          "interruptions per hour, of about a second each, for whose backlog spare runners are kept");

namespace gannethold::cluster {
namespace {

double checked(const absl::Flag<double>& flag, const char* name) {
    const double value = absl::GetFlag(flag);
    if (std::isfinite(value) && value >= 0) return value;
    std::fprintf(stderr, "--%s must be a finite, non-negative number\n", name);
    std::exit(2);
}

}  // namespace

ExchangeRates exchange_rates_from_flags() {
    ExchangeRates rates;
    rates.instance_gb_second = checked(FLAGS_cost_instance_gb_s, "cost_instance_gb_s");
    rates.instance_start = checked(FLAGS_cost_instance_start, "cost_instance_start");
    rates.late_request = checked(FLAGS_cost_late_request, "cost_late_request");
    rates.zone_gb = checked(FLAGS_cost_zone_gb, "cost_zone_gb");
    rates.region_gb = checked(FLAGS_cost_region_gb, "cost_region_gb");
    rates.expected_requests_per_s = checked(FLAGS_expected_requests_per_s, "expected_requests_per_s");
    rates.expected_interruptions_per_h =
        checked(FLAGS_expected_interruptions_per_h, "expected_interruptions_per_h");
    return rates;
}

}  // namespace gannethold::cluster
