#include "cluster/coordinator/platform_client.hpp"

#include <utility>

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kCallTimeout = 1'200'000;

std::string status_text(const HttpMessage* response) {
    return response ? std::to_string(response->status) : std::string("none");
}

void log_failure(const char* event, ErrorCode code, const ErrorDetail& detail) {
    Event(event, Level::warning).with("error", error_response(code).name).with("detail", detail.text);
}

}  // namespace

PlatformClient::PlatformClient(net::Loop& loop, std::string address, FencingToken token, Listener& listener)
    : address_(std::move(address)),
      listener_(listener),
      api_(std::move(token)),
      client_(loop,
              {.connect_timeout = 600'000,
               .idle_timeout = 8'000'000,
               .max_idle_connections = 4,
               .max_response_bytes = std::size_t{16} << 20},
              {.on_call_completed = [this](CompletedCall&& call) {
                  on_call_completed(call.id, call.result == CallResult::completed ? &call.response : nullptr);
              }}) {}

void PlatformClient::call(PendingCall pending, const HttpMessage& request) {
    const CallId id{++last_call_};
    pending.deadline = net::Loop::now() + kCallTimeout;
    pending_[id] = std::move(pending);
    client_.call(id, address_, request);
}

void PlatformClient::list_runners(const std::string& page_token) {
    PendingCall pending;
    pending.kind = Kind::list_runners;
    call(std::move(pending), api_.list_runners(page_token));
}

void PlatformClient::list_workers() {
    PendingCall pending;
    pending.kind = Kind::list_workers;
    call(std::move(pending), api_.list_workers());
}

void PlatformClient::start(const StartRunner& start) {
    PendingCall pending;
    pending.kind = Kind::start;
    pending.start = start;
    call(std::move(pending), api_.start_runner(start));
}

void PlatformClient::stop(const StopRunner& stop) {
    PendingCall pending;
    pending.kind = Kind::stop;
    pending.stop = stop;
    call(std::move(pending), api_.stop_runner(stop));
}

void PlatformClient::tick(Micros now) {
    std::vector<CallId> overdue;
    for (const auto& [id, pending] : pending_)
        if (now >= pending.deadline) overdue.push_back(id);
    for (const CallId id : overdue) {
        client_.cancel(id);
        on_call_completed(id, nullptr);
    }
    client_.close_expired(now);
}

void PlatformClient::on_call_completed(CallId id, const HttpMessage* response) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) return;
    const PendingCall pending = std::move(found->second);
    pending_.erase(found);
    const Micros now = net::Loop::now();
    switch (pending.kind) {
        case Kind::list_runners:
            return on_runners(now, response);
        case Kind::list_workers:
            return on_workers(now, response);
        case Kind::start:
            return on_start(now, pending.start, response);
        case Kind::stop:
            return on_stop(now, pending.stop, response);
    }
}

void PlatformClient::on_runners(Micros now, const HttpMessage* response) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            if (!response) return make_error(ErrorCode::platform_timeout, "list");
            BOOST_LEAF_AUTO(page, api_.read_runners(*response));
            listener_.on_runner_page(now, page);
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            listener_.on_runner_list_failed(now);
            log_failure("runner_list_failed", code, detail);
        },
        [&] { listener_.on_runner_list_failed(now); });
}

void PlatformClient::on_workers(Micros now, const HttpMessage* response) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            if (!response) return make_error(ErrorCode::platform_timeout, "workers");
            BOOST_LEAF_AUTO(workers, api_.read_workers(*response));
            listener_.on_worker_list(now, std::move(workers));
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            listener_.on_worker_list_failed(now);
            log_failure("worker_list_failed", code, detail);
        },
        [&] { listener_.on_worker_list_failed(now); });
}

void PlatformClient::on_start(Micros now, const StartRunner& start, const HttpMessage* response) {
    StartReply reply;
    reply.status = status_text(response);
    if (response) {
        StartRunnerResponse started = api_.read_start(*response);
        reply.result = started.result;
        reply.runner_id = std::move(started.runner_id);
        reply.address = std::move(started.address);
    }
    listener_.on_start_completed(now, start, reply);
}

void PlatformClient::on_stop(Micros now, const StopRunner& stop, const HttpMessage* response) {
    listener_.on_stop_completed(now, stop, {response && api_.read_stop(*response), status_text(response)});
}

}  // namespace gannethold::cluster
