#include "scale/platform_stand_in.hpp"

#include <charconv>
#include <cstdlib>

#include "json/json.hpp"
#include "scale/workload.hpp"

namespace gannethold::scale {
namespace {

using cluster::HttpMessage;

constexpr Micros kMilli = 1000;
constexpr Micros kListLag = 800'000;
constexpr std::size_t kConnections = 2048;
constexpr int kOk = 200, kForbidden = 403, kNotFound = 404, kBadRequest = 400;
constexpr std::string_view kPageToken = "page_token=";

std::string instance_name(int number) { return "i-" + std::to_string(number); }
std::string worker_name(int number) { return "w-" + std::to_string(number); }

// The number behind "i-" or "w-"; -1: none.
int number_of(const std::string& name) {
    int number = -1;
    if (name.size() > 2) std::from_chars(name.data() + 2, name.data() + name.size(), number);
    return number;
}

}  // namespace

PlatformStandIn::PlatformStandIn(net::Loop& loop, const Options& options, const Addresses& addresses)
    : loop_(loop),
      options_(options),
      address_(addresses.instances()),
      platform_(loop, *net::Address::read(addresses.platform()),
                {[this](Exchange exchange, HttpMessage&& request) { platform(exchange, request); },
                 [](Exchange) {}},
                kConnections),
      calls_(loop, *net::Address::read(addresses.instances()),
             {[this](Exchange exchange, HttpMessage&& request) { work(exchange, request); }, [](Exchange) {}},
             kConnections) {
    for (int number = 0; number < options_.instances; ++number)
        place(number % options_.functions, number % options_.workers, 0);
}

void PlatformStandIn::place(int function, int worker, Micros listed_at) {
    instances_[++last_] = {function, worker, listed_at};
}

void PlatformStandIn::sweep(Micros now) {
    platform_.close_expired(now);
    calls_.close_expired(now);
    for (const Exchange exchange : done_) working_.erase(exchange);
    done_.clear();
}

void PlatformStandIn::answer(Exchange exchange, int status, std::string body) {
    HttpMessage message;
    message.status = status;
    message.fields.emplace_back("Content-Type", "application/json");
    message.body = std::move(body);
    platform_.respond(exchange, message);
}

void PlatformStandIn::platform(Exchange exchange, const HttpMessage& request) {
    if (request.target.starts_with("/runners")) return list(exchange, request.target);
    if (request.target == "/v1/workers") return workers(exchange);
    const std::string text(request.field("X-Fence-Number"));
    const std::uint64_t fence = std::strtoull(text.c_str(), nullptr, 10);
    if (fence < fence_) {
        ++refused_fences_;
        return answer(exchange, kForbidden, "{}");
    }
    fence_ = fence;
    if (request.target == "/v1/stop") return stop(exchange, request.body);
    begin(exchange, request.body);
}

std::string PlatformStandIn::told(int number, const Instance& instance) const {
    return "{\"runner_id\":\"" + instance_name(number) + "\",\"service\":\"" +
           function_name(instance.function) + "\",\"address\":\"" + address_ + "\",\"zone\":\"z" +
           std::to_string(instance.worker % options_.zones) + "\",\"worker_id\":\"" +
           worker_name(instance.worker) + "\",\"concurrency_slots\":" + std::to_string(kSlotsEach) +
           ",\"state\":\"ready\"}";
}

void PlatformStandIn::list(Exchange exchange, const std::string& target) {
    ++pages_;
    const Micros now = net::Loop::now();
    const auto token = target.find(kPageToken);
    const int first = token == std::string::npos ? 0 : std::atoi(target.c_str() + token + kPageToken.size());
    std::string body = "{\"instances\":[";
    int count = 0;
    auto at = instances_.lower_bound(first);
    for (; at != instances_.end() && count < options_.list_page; ++at) {
        if (now < at->second.listed_at) continue;
        if (count > 0) body += ',';
        body += told(at->first, at->second);
        ++count;
    }
    const std::string next = at == instances_.end() ? "null" : "\"" + std::to_string(at->first) + "\"";
    answer(exchange, kOk, body + "],\"next_page_token\":" + next + "}");
}

void PlatformStandIn::workers(Exchange exchange) {
    // Room for what there is and as much again.
    const int each = (2 * options_.instances / options_.workers + 64) * kMemoryEachMb;
    std::string body = "{\"workers\":[";
    for (int worker = 0; worker < options_.workers; ++worker) {
        if (worker > 0) body += ',';
        body += "{\"name\":\"" + worker_name(worker) + "\",\"zone\":\"z" +
                std::to_string(worker % options_.zones) + "\",\"memory_mb\":" + std::to_string(each) +
                ",\"free_memory_mb\":" + std::to_string(each) + ",\"state\":\"ready\"}";
    }
    answer(exchange, kOk, body + "]}");
}

void PlatformStandIn::begin(Exchange exchange, const std::string& body) {
    const json::Value asked = json::read(body);
    const std::string* const service = asked.text("service");
    const std::string* const worker = asked.text("worker_id");
    const std::string* const nonce = asked.text("request_nonce");
    if (!service || !worker || !nonce) return answer(exchange, kBadRequest, "{}");
    const auto [known, fresh] = nonces_.try_emplace(*service + "/" + *nonce, last_ + 1);
    if (fresh) {
        const Micros listed_at = net::Loop::now() + options_.start_ms * kMilli + kListLag;
        place(function_of(*service), number_of(*worker), listed_at);
        ++starts_;
    }
    answer(exchange, kOk,
           "{\"runner_id\":\"" + instance_name(known->second) + "\",\"address\":\"" + address_ + "\"}");
}

void PlatformStandIn::stop(Exchange exchange, const std::string& body) {
    const json::Value asked = json::read(body);
    const std::string* const runner = asked.text("runner_id");
    if (!runner || instances_.erase(number_of(*runner)) == 0) return answer(exchange, kNotFound, "{}");
    ++stops_;
    answer(exchange, kOk, "{}");
}

void PlatformStandIn::work(Exchange exchange, const HttpMessage& request) {
    HttpMessage done;
    done.status = kOk;
    done.fields.emplace_back("X-Attempt-Id", std::string(request.field("X-Attempt-Id")));
    done.fields.emplace_back("X-Runner-Seal", "seal." + std::string(request.field("X-Expected-Runner")));
    done.body = "done";
    auto timer = std::make_unique<net::Timer>(loop_, [this, exchange, done] {
        calls_.respond(exchange, done);
        done_.push_back(exchange);
    });
    timer->set(net::Loop::now() + options_.work_ms * kMilli);
    working_[exchange] = std::move(timer);
}

}  // namespace gannethold::scale
