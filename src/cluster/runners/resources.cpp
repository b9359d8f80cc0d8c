#include "cluster/runners/resources.hpp"

#include <simdjson.h>

namespace gannethold::cluster {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;

std::string json_text(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') out += '\\';
        if (static_cast<unsigned char>(c) >= 0x20) out += c;
    }
    return out += '"';
}

std::string text(const object& from, const char* key) {
    std::string_view value;
    return from[key].get(value) ? std::string() : std::string(value);
}

std::int64_t number(const object& from, const char* key, std::int64_t otherwise) {
    double value = 0;
    return from[key].get(value) ? otherwise : static_cast<std::int64_t>(value);
}

std::string escaped(std::string_view token) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : token) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~')
            out += c;
        else
            out.append({'%', kHex[byte >> 4], kHex[byte & 15]});
    }
    return out;
}

HttpMessage request(const char* method, std::string target) {
    HttpMessage m;
    m.method = method;
    m.target = std::move(target);
    m.fields.emplace_back("Host", "platform");
    return m;
}

HttpMessage duty(const Fence& fence, std::string target, std::string body) {
    HttpMessage m = request("POST", std::move(target));
    m.fields.emplace_back("X-Duty-Holder", fence.holder);
    m.fields.emplace_back("X-Fence-Number", std::to_string(fence.number));
    m.fields.emplace_back("Content-Type", "application/json");
    m.body = std::move(body);
    return m;
}

}  // namespace

HttpMessage RunnerListResource::get(const std::string& token) const {
    return request("GET", token.empty() ? "/runners" : "/runners?page_token=" + escaped(token));
}

leaf::result<RunnerListPage> RunnerListResource::read(const HttpMessage& answer) const {
    if (answer.status != 200)
        return failure(ErrorCode::platform_refused, "list: " + std::to_string(answer.status));
    simdjson::dom::parser parser;
    object top;
    simdjson::dom::array all;
    if (parser.parse(answer.body).get(top) || top["instances"].get(all))
        return failure(ErrorCode::bytes_malformed, "list of runners");
    RunnerListPage page;
    page.next = text(top, "next_page_token");
    for (const element one : all) {
        object o;
        if (one.get(o)) continue;
        ListedRunner l;
        l.what = {text(o, "runner_id"),
                  text(o, "service"),
                  text(o, "address"),
                  text(o, "zone"),
                  text(o, "worker_id"),
                  static_cast<std::uint32_t>(std::max<std::int64_t>(1, number(o, "concurrency_slots", 1))),
                  0,
                  true};
        l.draining = text(o, "state") != "ready";
        if (!l.what.runner.empty() && !l.what.address.empty()) page.runners.push_back(std::move(l));
    }
    return page;
}

HttpMessage WorkerListResource::get() const { return request("GET", "/v1/workers"); }

leaf::result<std::vector<Worker>> WorkerListResource::read(const HttpMessage& answer) const {
    if (answer.status != 200)
        return failure(ErrorCode::platform_refused, "workers: " + std::to_string(answer.status));
    simdjson::dom::parser parser;
    object top;
    simdjson::dom::array all;
    if (parser.parse(answer.body).get(top) || top["workers"].get(all))
        return failure(ErrorCode::bytes_malformed, "list of workers");
    std::vector<Worker> workers;
    for (const element one : all) {
        object o;
        if (one.get(o)) continue;
        Worker w{text(o, "name"), text(o, "zone"), number(o, "memory_mb", 0), number(o, "free_memory_mb", 0),
                 text(o, "state") == "ready"};
        if (!w.name.empty()) workers.push_back(std::move(w));
    }
    return workers;
}

HttpMessage StartRunnerResource::post(const Fence& fence, const StartRunner& begin) const {
    return duty(fence, "/v1/begin",
                "{\"service\":" + json_text(begin.service) + ",\"worker_id\":" + json_text(begin.worker) +
                    ",\"request_nonce\":" + json_text(begin.nonce) + "}");
}

StartResult StartRunnerResource::read(const HttpMessage& answer, RunnerInfo& begun) const {
    if (answer.status == 409) return StartResult::no_capacity;
    if (answer.status == 429 || answer.status >= 500) return StartResult::busy;
    if (answer.status != 200) return StartResult::rejected;
    simdjson::dom::parser parser;
    object top;
    if (parser.parse(answer.body).get(top)) return StartResult::timed_out;
    begun.runner = text(top, "runner_id");
    begun.address = text(top, "address");
    return begun.runner.empty() || begun.address.empty() ? StartResult::timed_out : StartResult::started;
}

HttpMessage StopRunnerResource::post(const Fence& fence, const StopRunner& stop) const {
    return duty(fence, "/v1/stop", "{\"runner_id\":" + json_text(stop.runner) + "}");
}

bool StopRunnerResource::done(const HttpMessage& answer) const {
    return answer.status == 200 || answer.status == 404;
}

}  // namespace gannethold::cluster
