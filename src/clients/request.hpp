// Decodes and validates a client's request. The header names of its protocol are used only here.
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

// The workloads and customers that a request may name, with their indexes in the settings.
struct Directory {
    std::map<std::string, WorkloadId, std::less<>> workloads;
    std::map<std::string, CustomerId, std::less<>> customers;
    std::set<WorkloadId> fingerprinted;         // requests of these need an Idempotency-Key
    std::map<WorkloadId, Micros> max_timeouts;  // the longest X-Timeout that a request may state

    // indexes: the ids of the workloads in the decision module, in the order of the settings; empty: the same
    // order.
    explicit Directory(const SettingsMap& settings, const std::vector<WorkloadId>& indexes = {});
};

using Request = frontend::SubmittedTask;

// Why a request is rejected, with the HTTP status.
struct Refused {
    int status;
    const char* why;
};

// Returns the request that the head makes, or why it is rejected.
std::variant<Request, Refused> read_request(const http::Head& head, const Directory& directory);

}  // namespace gannethold::clients
