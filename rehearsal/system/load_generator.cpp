#include "load_generator.hpp"

#include <sstream>
#include <string>
#include <utility>

namespace gannethold::trial {
namespace {

using cluster::HttpMessage;

constexpr Micros kFirstPutAfter = 800'000;
constexpr Micros kPutRetryInterval = 200'000;
constexpr Micros kSweepInterval = 500'000;

std::string route_json(const std::string& prefix, const FunctionSpec& function) {
    std::ostringstream text;
    text << R"({"name":"r-)" << prefix << R"(","host":")" << kHost << R"(","path_prefix":"/)" << prefix
         << R"(/","route_kind":"idempotent","timeout_ms":4000,"target_latency_ms":)"
         << function.latency_target_ms << R"(,"priority":1,"service":")" << function.name
         << R"(","max_attempts":2})";
    return text.str();
}

std::string service_json(const FunctionSpec& function) {
    std::ostringstream text;
    text << R"({"name":")" << function.name << R"(","connection_limit":64,"memory_mb":)" << function.memory_mb
         << R"(,"boot_duration_ms":)" << function.boot_ms << R"(,"max_concurrency":)" << function.slots
         << "}";
    return text.str();
}

}  // namespace

std::string configuration_body(int version, int added_routes) {
    std::string routes;
    std::string services;
    for (const FunctionSpec& function : functions()) {
        if (!routes.empty()) {
            routes += ",";
            services += ",";
        }
        routes += route_json(function.name, function);
        services += service_json(function);
    }
    for (int added = 1; added <= added_routes; ++added)
        routes += "," + route_json("added-" + std::to_string(added), *find_function("frame"));
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" +
           services + "]}";
}

LoadGenerator::LoadGenerator(net::Loop& loop, int proxies)
    : proxies_(proxies),
      client_(loop,
              {.connect_timeout = 1'000'000,
               .idle_timeout = 4'000'000,
               .max_idle_connections = 8,
               .max_response_bytes = 1 << 20,
               .id_field = "X-Attempt-Id"},
              {.on_call_completed = [this](cluster::CompletedCall&& call) { on_call_completed(call); }}),
      last_sent_at_(net::Loop::now()),
      next_put_(last_sent_at_ + kFirstPutAfter) {}

void LoadGenerator::tick(Micros now) {
    last_sent_at_ = now;
    if (next_put_ > 0 && now >= next_put_) put_configuration();
    if (now < next_sweep_) return;
    next_sweep_ = now + kSweepInterval;
    client_.close_expired(now);
}

void LoadGenerator::put_configuration() {
    next_put_ = 0;
    HttpMessage request;
    request.method = "PUT";
    request.target = "/v1/configuration";
    request.fields.emplace_back("Host", "core");
    request.body = configuration_body(1, 0);
    put_call_ = cluster::CallId{++last_call_};
    client_.call(put_call_, controller_address(puts_++ % kControllers), request);
}

void LoadGenerator::on_put_completed(bool acknowledged) {
    if (!acknowledged) next_put_ = net::Loop::now() + kPutRetryInterval;
}

void LoadGenerator::send_at_rate(Micros now, double requests_per_s) {
    requests_due_ += requests_per_s * static_cast<double>(now - last_sent_at_) / 1e6;
    for (; requests_due_ >= 1; requests_due_ -= 1) send_request();
}

const FunctionSpec& LoadGenerator::draw_function() {
    double drawn = std::uniform_real_distribution<>(0, 1)(random_);
    for (const FunctionSpec& function : functions()) {
        drawn -= function.share;
        if (drawn < 0) return function;
    }
    return functions().back();
}

void LoadGenerator::send_request() {
    const FunctionSpec& function = draw_function();
    const std::uint64_t number = ++last_call_;
    HttpMessage request;
    request.method = "GET";
    request.target = "/" + function.name + "/x";
    request.fields = {
        {"Host", kHost}, {"X-Attempt-Id", "try-" + std::to_string(number)}, {"X-Deadline-Remaining", "4000"}};
    pending_[cluster::CallId{number}] = {net::Loop::now(), &function};
    ++outcomes_.sent;
    client_.call(cluster::CallId{number},
                 proxy_address(static_cast<int>(number % static_cast<std::uint64_t>(proxies_))), request);
}

void LoadGenerator::on_call_completed(const cluster::CompletedCall& call) {
    const int status = call.result == cluster::CallResult::completed ? call.response.status : 0;
    if (call.id == put_call_) return on_put_completed(status == 200);
    const auto at = pending_.find(call.id);
    if (at == pending_.end()) return;
    const Micros latency = net::Loop::now() - at->second.sent_at;
    const Micros target = at->second.function->latency_target_ms * Micros{1000};
    pending_.erase(at);
    if (status == 503)
        ++outcomes_.rejected;
    else if (status != 200)
        ++outcomes_.failed;
    else if (latency <= target)
        ++outcomes_.on_time;
    else
        ++outcomes_.late;
}

}  // namespace gannethold::trial
