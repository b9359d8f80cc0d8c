#include "scale/operator.hpp"

namespace gannethold::scale {
namespace {

using cluster::CallId;
using cluster::CallResult;
using cluster::HttpClient;
using cluster::HttpMessage;

constexpr Micros kMilli = 1000, kSecond = 1'000'000;
constexpr Micros kPutAgain = 200 * kMilli;
constexpr Micros kPutLimit = 5 * kSecond;  // for one try
constexpr Micros kSweepEach = 500 * kMilli;
constexpr std::size_t kMostAnswer = 32U << 20;
constexpr int kOk = 200, kElsewhere = 307, kUnavailable = 503;
constexpr std::string_view kScheme = "http://";

HttpClient::Options client_options() {
    return {.connect_timeout = kSecond,
            .idle_timeout = 4 * kSecond,
            .max_idle_connections = 8,
            .max_response_bytes = kMostAnswer,
            .id_field = "X-Attempt-Id"};
}

}  // namespace

Operator::Operator(net::Loop& loop, const Options& options, const Addresses& addresses)
    : options_(options),
      addresses_(addresses),
      popularity_(options.functions, options.skew),
      client_(loop, client_options(), {.on_call_completed = [this](cluster::CompletedCall&& completed) {
                  on_call_completed(completed);
              }}) {}

void Operator::change(Micros now) {
    const auto version = static_cast<unsigned>(changes_.size()) + 1;
    changes_.push_back({version, now, 0, 0});
    body_ = configuration_text(options_, version);
    put(now);
}

void Operator::put(Micros now) {
    if (put_to_.empty()) put_to_ = addresses_.control(next_controller_++ % options_.controllers);
    HttpMessage message;
    message.method = "PUT";
    message.target = "/v1/configuration";
    message.fields.emplace_back("Host", "controller");
    message.body = body_;
    put_call_ = ++last_call_;
    put_at_ = 0;
    put_until_ = now + kPutLimit;
    client_.call(CallId{put_call_}, put_to_, message);
}

void Operator::put_ended(CallResult how, const HttpMessage& answer) {
    const Micros now = net::Loop::now();
    put_call_ = 0;
    last_status_ = how == CallResult::completed ? answer.status : 0;
    if (last_status_ == kOk) {
        changes_.back().acknowledged = now;
        return;
    }
    put_to_.clear();
    put_at_ = now + kPutAgain;
    if (last_status_ != kElsewhere) return;
    const std::string_view location = answer.field("Location");
    if (!location.starts_with(kScheme)) return;
    const auto path = location.find('/', kScheme.size());
    put_to_ = location.substr(kScheme.size(), path - kScheme.size());
    put_at_ = now;
}

void Operator::request(Micros now) {
    const int proxy = static_cast<int>(last_call_) % options_.real_proxies;
    HttpMessage message;
    message.method = "GET";
    message.target = "/" + function_name(popularity_.draw(random_)) + "/x";
    const std::uint64_t call = ++last_call_;
    message.fields = {{"Host", "scale.example"},
                      {"X-Attempt-Id", "scale-" + std::to_string(call)},
                      {"X-Deadline-Remaining", "4000"}};
    requests_[call] = now;
    client_.call(CallId{call}, addresses_.frontend(proxy), message);
}

void Operator::on_call_completed(const cluster::CompletedCall& completed) {
    const auto call = static_cast<std::uint64_t>(completed.id);
    if (call == put_call_) return put_ended(completed.result, completed.response);
    const auto at = requests_.find(call);
    if (at == requests_.end()) return;
    const double took_ms = static_cast<double>(net::Loop::now() - at->second) / kMilli;
    requests_.erase(at);
    const int status = completed.result == CallResult::completed ? completed.response.status : 0;
    if (status == kOk) {
        ++answers_.ok;
        answers_.took_ms.push_back(took_ms);
    } else if (status == kUnavailable) {
        ++answers_.refused;
    } else {
        ++answers_.failed;
    }
}

void Operator::tick(Micros now) {
    if (put_call_ > 0 && now >= put_until_) {
        client_.cancel(CallId{put_call_});
        put_ended(CallResult::connection_lost, {});
    }
    if (put_at_ > 0 && now >= put_at_) put(now);
    if (request_at_ > 0 && options_.real_proxies > 0 && options_.real_calls > 0)
        for (; now >= request_at_; request_at_ += static_cast<Micros>(kSecond / options_.real_calls))
            request(now);
    if (now < sweep_at_) return;
    sweep_at_ = now + kSweepEach;
    client_.close_expired(now);
}

}  // namespace gannethold::scale
