#pragma once

namespace gannethold::cluster {

// Costs by which the planner compares starts, idle runners and late requests. The unit is the value of a
// request that is answered within its latency target.
struct ExchangeRates {
    // A gigabyte of a runner's memory for one second, idle or busy.
    double instance_gb_second = 0.8;
    double instance_start = 0.25;  // a start of a runner, without the memory that it holds while it starts
    double late_request = 0.6;     // lost value of a request that is answered after its latency target
    double zone_gb = 30'000;       // a gigabyte of traffic between two zones of one region
    double region_gb = 31'000;     // a gigabyte of traffic between two regions
    // Interruptions per hour for which spare slots are kept. After each interruption the requests that have
    // accumulated are served in addition to those that arrive.
    double expected_interruptions_per_h = 60;
    // Requests per second that are expected of the clients of each proxy, over all functions, before any
    // request has been observed.
    double expected_requests_per_s = 5;
};

}  // namespace gannethold::cluster
