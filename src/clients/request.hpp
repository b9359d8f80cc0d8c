// What a client's request says, in our words; the protocol's names end here.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "frontend/task_sink.hpp"
#include "http/reader.hpp"
#include "net/block_pool.hpp"
#include "types.hpp"

namespace gannethold::clients {

// The workloads and customers that a request may name, by their places in the standing orders.
struct Directory {
    std::map<std::string, WorkloadId, std::less<>> workloads;
    std::map<std::string, CustomerId, std::less<>> customers;
    std::set<WorkloadId> fingerprinted;
    std::map<WorkloadId, Micros> max_timeouts;  // that a client of this workload can mean to wait

    // places: where the workloads stand in the module, in the orders' order; none: as they stand there.
    explicit Directory(const SettingsMap& orders, const std::vector<WorkloadId>& places = {});
};

using Request = frontend::SubmittedTask;

struct Refused {
    int status;
    const char* why;
};

std::variant<Request, Refused> read_request(const http::Head& head, const Directory& directory);

}  // namespace gannethold::clients
