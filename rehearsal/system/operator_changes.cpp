#include "operator_changes.hpp"

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "load_generator.hpp"

namespace gannethold::trial {
namespace {

using cluster::HttpMessage;

constexpr Micros kMinOrderInterval = 50'000;
constexpr Micros kMaxOrderInterval = 300'000;
constexpr int kMaxAddedRoutes = 60;

HttpMessage make_request(const char* method, std::string body) {
    HttpMessage request;
    request.method = method;
    request.target = "/v1/configuration";
    request.fields.emplace_back("Host", "core");
    request.body = std::move(body);
    return request;
}

// The version that a configuration states first; 0: none.
int version_of(const std::string& body) {
    constexpr std::string_view kBegin = R"({"version":)";
    return body.starts_with(kBegin) ? std::atoi(body.c_str() + kBegin.size()) : 0;
}

}  // namespace

OperatorChanges::OperatorChanges(net::Loop& loop, unsigned seed)
    : client_(loop, {.connect_timeout = 500'000, .max_idle_connections = 2},
              {.on_call_completed = [this](cluster::CompletedCall&& call) { on_call_completed(call); }}),
      random_(seed) {}

void OperatorChanges::tick(Micros now) {
    client_.close_expired(now);
    if (now < next_order_at_) return;
    next_order_at_ =
        now + std::uniform_int_distribution<Micros>(kMinOrderInterval, kMaxOrderInterval)(random_);
    if (pending_version_ > 0 || is_changing_) send_change();
    if (random_() % 4 == 0) send_read();
    if (random_() % 8 == 0) send_invalid_change();
}

void OperatorChanges::send(Order order, int version, const HttpMessage& request) {
    const cluster::CallId call{++last_call_};
    orders_[call] = {order, version, acknowledged_version_};
    client_.call(call, controller_address(static_cast<int>(random_() % kControllers)), request);
}

void OperatorChanges::send_change() {
    if (pending_version_ == 0) {
        pending_version_ = version_ += 1 + static_cast<int>(random_() % 3);
        const int change = random_() % 3 == 0 ? -1 : 1;
        pending_routes_ = std::clamp(added_routes_ + change, 0, kMaxAddedRoutes);
    }
    send(Order::change, pending_version_,
         make_request("PUT", configuration_body(pending_version_, pending_routes_)));
}

void OperatorChanges::send_invalid_change() {
    std::string body = configuration_body(version_ + 1, 1);
    body.resize(body.size() / 2);
    send(Order::invalid_change, version_ + 1, make_request("PUT", std::move(body)));
}

void OperatorChanges::send_read() { send(Order::read, 0, make_request("GET", {})); }

void OperatorChanges::on_call_completed(const cluster::CompletedCall& call) {
    const auto at = orders_.find(call.id);
    if (at == orders_.end()) return;
    const PendingOrder order = at->second;
    orders_.erase(at);
    if (call.result == cluster::CallResult::completed) on_answer(order, call.response);
}

void OperatorChanges::on_answer(const PendingOrder& order, const HttpMessage& response) {
    const bool is_success = response.status == 200;
    const bool is_refusal = response.status >= 400 && response.status < 500;
    switch (order.order) {
        case Order::change:
            if (is_refusal) violations_.push_back("a change was refused: " + std::to_string(order.version));
            if (!is_success || order.version != pending_version_) return;
            acknowledged_version_ = std::exchange(pending_version_, 0);
            added_routes_ = pending_routes_;
            return;
        case Order::invalid_change:
            if (is_success) violations_.emplace_back("an invalid change was acknowledged");
            return;
        case Order::read:
            if (is_success && version_of(response.body) < order.acknowledged)
                violations_.push_back("read version " + std::to_string(version_of(response.body)) +
                                      " after " + std::to_string(order.acknowledged) + " was acknowledged");
            return;
    }
}

}  // namespace gannethold::trial
