#include "platform_stand_in.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "json/json.hpp"
#include "net/address.hpp"

namespace gannethold::trial {
namespace {

using cluster::HttpMessage;

constexpr std::size_t kMaxConnections = 256;
constexpr int kFirstRunnerPort = 20'000;
constexpr int kAttemptsOfRoute = 2;
constexpr Micros kListLag = 800'000;  // after it is ready a runner stands in the list
constexpr Micros kSweepInterval = 500'000;
constexpr double kMinWorkShare = 0.5;  // of the mean
constexpr double kMaxWorkShare = 1.5;
constexpr const char* kAttemptIdField = "X-Attempt-Id";

}  // namespace

PlatformStandIn::PlatformStandIn(net::Loop& loop)
    : loop_(loop),
      api_(loop, *net::Address::parse(platform_address()),
           {[this](ExchangeId exchange, HttpMessage&& request) { on_request(exchange, request); },
            [](ExchangeId) {}},
           kMaxConnections) {}

int PlatformStandIn::excess_runs() const {
    return static_cast<int>(std::count_if(runs_.begin(), runs_.end(),
                                          [](const auto& run) { return run.second > kAttemptsOfRoute; }));
}

void PlatformStandIn::on_request(ExchangeId exchange, const HttpMessage& request) {
    if (request.target.starts_with("/runners")) return list_runners(exchange);
    if (request.target == "/v1/workers") return list_workers(exchange);
    if (!accepts_fence(request)) return answer(exchange, 403, "{}");
    if (request.target == "/v1/stop") return stop_runner(exchange, request.body);
    start_runner(exchange, request.body);
}

bool PlatformStandIn::accepts_fence(const HttpMessage& request) {
    const std::string text(request.field("X-Fence-Number"));
    const std::uint64_t fence = std::strtoull(text.c_str(), nullptr, 10);
    if (fence < newest_fence_) return false;
    newest_fence_ = fence;
    return true;
}

void PlatformStandIn::list_runners(ExchangeId exchange) {
    const Micros now = net::Loop::now();
    std::string rows;
    for (const auto& [id, runner] : runners_) {
        if (now < runner->listed_at) continue;
        rows += (rows.empty() ? "{" : ",{") + std::string("\"runner_id\":\"") + id + "\",\"service\":\"" +
                runner->service + "\",\"address\":\"" + runner->address + "\",\"zone\":\"" + runner->zone +
                "\",\"worker_id\":\"" + runner->worker +
                "\",\"concurrency_slots\":" + std::to_string(runner->function->slots) +
                ",\"state\":\"ready\"}";
    }
    answer(exchange, 200, "{\"instances\":[" + rows + "],\"next_page_token\":null}");
}

void PlatformStandIn::list_workers(ExchangeId exchange) {
    std::string rows;
    for (int index = 0; index < kWorkers; ++index)
        rows += (index > 0 ? ",{" : "{") + std::string("\"name\":\"w-") + std::to_string(index) +
                "\",\"zone\":\"" + zone_name(index) +
                "\",\"memory_mb\":4096,\"free_memory_mb\":4096,\"state\":\"ready\"}";
    answer(exchange, 200, "{\"workers\":[" + rows + "]}");
}

void PlatformStandIn::stop_runner(ExchangeId exchange, const std::string& body) {
    const json::Value order = json::parse(body);
    const auto at = runners_.find(*order.find_string("runner_id"));
    if (at == runners_.end()) return answer(exchange, 404, "{}");
    ++stops_;
    at->second->http.reset();
    stopped_.push_back(std::move(at->second));
    runners_.erase(at);
    answer(exchange, 200, "{}");
}

void PlatformStandIn::start_runner(ExchangeId exchange, const std::string& body) {
    const json::Value order = json::parse(body);
    const std::string service = *order.find_string("service");
    const std::string nonce = service + "/" + *order.find_string("request_nonce");
    const auto known = started_by_nonce_.find(nonce);
    if (known != started_by_nonce_.end() && runners_.contains(known->second))
        return answer_started(exchange, *runners_[known->second]);
    const FunctionSpec* const function = find_function(service);
    ++created_;
    if (!function) return answer(exchange, 400, "{}");
    auto runner = std::make_unique<Runner>();
    runner->id = "i-" + std::to_string(created_);
    runner->service = service;
    runner->worker = *order.find_string("worker_id");
    runner->zone = zone_name(std::stoi(runner->worker.substr(2)));
    runner->address = runner_address(kFirstRunnerPort + created_);
    runner->function = function;
    runner->ready_at = net::Loop::now() + function->boot_ms * Micros{1000};
    runner->listed_at = runner->ready_at + kListLag;
    started_by_nonce_[nonce] = runner->id;
    ++starts_;
    answer_started(exchange, *runner);
    runners_[runner->id] = std::move(runner);
}

void PlatformStandIn::answer(ExchangeId exchange, int status, std::string body) {
    HttpMessage message;
    message.status = status;
    message.fields.emplace_back("Content-Type", "application/json");
    message.body = std::move(body);
    api_.respond(exchange, message);
}

void PlatformStandIn::answer_started(ExchangeId exchange, const Runner& runner) {
    answer(exchange, 200, "{\"runner_id\":\"" + runner.id + "\",\"address\":\"" + runner.address + "\"}");
}

void PlatformStandIn::tick(Micros now) {
    for (auto& [id, runner] : runners_)
        if (!runner->http && now >= runner->ready_at) open(*runner);
    if (now < next_sweep_) return;
    next_sweep_ = now + kSweepInterval;
    api_.close_expired(now);
    for (auto& [id, runner] : runners_)
        if (runner->http) runner->http->close_expired(now);
}

void PlatformStandIn::open(Runner& runner) {
    runner.http = std::make_unique<cluster::HttpServer>(
        loop_, *net::Address::parse(runner.address),
        cluster::HttpServer::Events{
            [this, &runner](ExchangeId exchange, HttpMessage&& request) { run(runner, exchange, request); },
            [](ExchangeId) {}},
        kMaxConnections);
}

void PlatformStandIn::run(Runner& runner, ExchangeId exchange, const HttpMessage& request) {
    const std::string attempt(request.field(kAttemptIdField));
    HttpMessage answer;
    answer.fields.emplace_back(kAttemptIdField, attempt);
    const bool is_full = runner.busy_slots >= runner.function->slots;
    if (is_full || request.field("X-Expected-Runner") != runner.id) {
        answer.status = is_full ? 503 : 421;
        if (is_full) ++rejected_;
        answer.fields.emplace_back("X-Request-Not-Run", "1");
        return runner.http->respond(exchange, answer);
    }
    ++runner.busy_slots;
    ++runs_[attempt];
    answer.status = 200;
    answer.fields.emplace_back("X-Runner-Seal", "seal." + runner.id);
    answer.body = "picture";
    const double share = std::uniform_real_distribution<>(kMinWorkShare, kMaxWorkShare)(random_);
    auto timer = std::make_unique<net::Timer>(
        loop_, [this, &runner, exchange, answer] { finish(runner, exchange, answer); });
    timer->set(net::Loop::now() + static_cast<Micros>(runner.function->work_ms * 1000 * share));
    runner.work[exchange] = std::move(timer);
}

// Called by the timer, which therefore stays in `work` until the runner goes.
void PlatformStandIn::finish(Runner& runner, ExchangeId exchange, const HttpMessage& answer) {
    --runner.busy_slots;
    if (runner.http) runner.http->respond(exchange, answer);
}

}  // namespace gannethold::trial
