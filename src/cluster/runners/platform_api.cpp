#include "cluster/runners/platform_api.hpp"

#include <simdjson.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace gannethold::cluster {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kInternalServerError = 500;

std::string json_string(std::string_view text) {
    std::string json = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') json += '\\';
        if (static_cast<unsigned char>(character) >= 0x20) json += character;
    }
    return json += '"';
}

std::string percent_encoded(std::string_view text) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) || character == '-' || character == '_' || character == '.' ||
            character == '~')
            encoded += character;
        else
            encoded.append({'%', kHex[byte >> 4], kHex[byte & 15]});
    }
    return encoded;
}

/// Returns an empty string if there is no such member or it is not a string.
std::string string_member(const object& from, const char* name) {
    std::string_view value;
    return from[name].get(value) ? std::string() : std::string(value);
}

std::int64_t number_member(const object& from, const char* name, std::int64_t default_value) {
    double value = 0;
    return from[name].get(value) ? default_value : static_cast<std::int64_t>(value);
}

HttpMessage make_request(const char* method, std::string target) {
    HttpMessage request;
    request.method = method;
    request.target = std::move(target);
    request.fields.emplace_back("Host", "platform");
    return request;
}

ListedRunner read_runner(const object& entry) {
    ListedRunner listed;
    listed.info.runner_id = string_member(entry, "runner_id");
    listed.info.service = string_member(entry, "service");
    listed.info.address = string_member(entry, "address");
    listed.info.zone = string_member(entry, "zone");
    listed.info.worker = string_member(entry, "worker_id");
    listed.info.slots =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, number_member(entry, "concurrency_slots", 1)));
    listed.info.reachable = true;
    listed.draining = string_member(entry, "state") != "ready";
    return listed;
}

Worker read_worker(const object& entry) {
    return {string_member(entry, "name"), string_member(entry, "zone"), number_member(entry, "memory_mb", 0),
            number_member(entry, "free_memory_mb", 0), string_member(entry, "state") == "ready"};
}

}  // namespace

HttpMessage PlatformApi::fenced_request(std::string target, std::string body) const {
    HttpMessage request = make_request("POST", std::move(target));
    request.fields.emplace_back("X-Duty-Holder", token_.holder);
    request.fields.emplace_back("X-Fence-Number", std::to_string(token_.term));
    request.fields.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

HttpMessage PlatformApi::list_runners(std::string_view page_token) const {
    return make_request(
        "GET", page_token.empty() ? "/runners" : "/runners?page_token=" + percent_encoded(page_token));
}

leaf::result<RunnerListPage> PlatformApi::read_runners(const HttpMessage& response) const {
    if (response.status != kOk)
        return make_error(ErrorCode::platform_rejected, "list: " + std::to_string(response.status));
    simdjson::dom::parser parser;
    object document;
    array entries;
    if (parser.parse(response.body).get(document) || document["instances"].get(entries))
        return make_error(ErrorCode::bytes_malformed, "list of runners");
    RunnerListPage page;
    page.next_page_token = string_member(document, "next_page_token");
    for (const element entry : entries) {
        object members;
        if (entry.get(members)) continue;
        ListedRunner listed = read_runner(members);
        if (!listed.info.runner_id.empty() && !listed.info.address.empty())
            page.runners.push_back(std::move(listed));
    }
    return page;
}

HttpMessage PlatformApi::list_workers() const { return make_request("GET", "/v1/workers"); }

leaf::result<std::vector<Worker>> PlatformApi::read_workers(const HttpMessage& response) const {
    if (response.status != kOk)
        return make_error(ErrorCode::platform_rejected, "workers: " + std::to_string(response.status));
    simdjson::dom::parser parser;
    object document;
    array entries;
    if (parser.parse(response.body).get(document) || document["workers"].get(entries))
        return make_error(ErrorCode::bytes_malformed, "list of workers");
    std::vector<Worker> workers;
    for (const element entry : entries) {
        object members;
        if (entry.get(members)) continue;
        Worker worker = read_worker(members);
        if (!worker.name.empty()) workers.push_back(std::move(worker));
    }
    return workers;
}

HttpMessage PlatformApi::start_runner(const StartRunner& start) const {
    return fenced_request("/v1/begin", "{\"service\":" + json_string(start.service) +
                                           ",\"worker_id\":" + json_string(start.worker) +
                                           ",\"request_nonce\":" + json_string(start.nonce) + "}");
}

StartRunnerResponse PlatformApi::read_start(const HttpMessage& response) const {
    if (response.status == kConflict) return {StartResult::no_capacity, {}, {}};
    if (response.status == kTooManyRequests || response.status >= kInternalServerError)
        return {StartResult::busy, {}, {}};
    if (response.status != kOk) return {StartResult::rejected, {}, {}};
    simdjson::dom::parser parser;
    object document;
    StartRunnerResponse start;
    if (parser.parse(response.body).get(document)) return start;
    start.runner_id = string_member(document, "runner_id");
    start.address = string_member(document, "address");
    if (!start.runner_id.empty() && !start.address.empty()) start.result = StartResult::started;
    return start;
}

HttpMessage PlatformApi::stop_runner(const StopRunner& stop) const {
    return fenced_request("/v1/stop", "{\"runner_id\":" + json_string(stop.runner) + "}");
}

bool PlatformApi::read_stop(const HttpMessage& response) const {
    return response.status == kOk || response.status == kNotFound;
}

}  // namespace gannethold::cluster
