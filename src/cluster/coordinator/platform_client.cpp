#include "cluster/coordinator/platform_client.hpp"

#include <utility>

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kCallTimeout = 1'200'000;

HttpCaller::Options caller_options() {
    HttpCaller::Options options;
    options.connect_limit = 600'000;
    options.keep = 8'000'000;
    options.most_idle = 4;
    options.most_answer = std::size_t{16} << 20;
    return options;
}

std::string status_text(const HttpMessage* answer) {
    return answer ? std::to_string(answer->status) : std::string("none");
}

void log_failure(const char* event, ErrorCode code, const ErrorDetail& detail) {
    Event(event, Level::warning).with("error", error_response(code).name).with("detail", detail.text);
}

}  // namespace

PlatformClient::PlatformClient(net::Loop& loop, std::string address, Fence fence, Listener& listener)
    : address_(std::move(address)),
      fence_(std::move(fence)),
      listener_(listener),
      caller_(loop, caller_options(),
              {[this](HttpCaller::Call id, CallEnd end, HttpMessage&& answer, bool) {
                   on_call_completed(id, end == CallEnd::answered ? &answer : nullptr);
               },
               [](const std::string&) {}, [](const std::string&) {}}) {}

void PlatformClient::call(PendingCall pending, const HttpMessage& request) {
    const HttpCaller::Call id = ++last_call_;
    pending.deadline = net::Loop::now() + kCallTimeout;
    pending_[id] = std::move(pending);
    caller_.call(id, address_, request);
}

void PlatformClient::list_runners(const std::string& page_token) {
    PendingCall pending;
    pending.kind = Kind::list_runners;
    call(std::move(pending), runner_list_.get(page_token));
}

void PlatformClient::list_workers() {
    PendingCall pending;
    pending.kind = Kind::list_workers;
    call(std::move(pending), worker_list_.get());
}

void PlatformClient::start(const StartRunner& start) {
    PendingCall pending;
    pending.kind = Kind::start;
    pending.start = start;
    call(std::move(pending), start_runner_.post(fence_, start));
}

void PlatformClient::stop(const StopRunner& stop) {
    PendingCall pending;
    pending.kind = Kind::stop;
    pending.stop = stop;
    call(std::move(pending), stop_runner_.post(fence_, stop));
}

void PlatformClient::tick(Micros now) {
    std::vector<HttpCaller::Call> overdue;
    for (const auto& [id, pending] : pending_)
        if (now >= pending.deadline) overdue.push_back(id);
    for (const HttpCaller::Call id : overdue) {
        caller_.abandon(id);
        on_call_completed(id, nullptr);
    }
    caller_.sweep(now);
}

void PlatformClient::on_call_completed(HttpCaller::Call id, const HttpMessage* answer) {
    const auto at = pending_.find(id);
    if (at == pending_.end()) return;
    const PendingCall pending = std::move(at->second);
    pending_.erase(at);
    const Micros now = net::Loop::now();
    switch (pending.kind) {
        case Kind::list_runners:
            return on_runners(now, answer);
        case Kind::list_workers:
            return on_workers(now, answer);
        case Kind::start:
            return on_start(now, pending.start, answer);
        case Kind::stop:
            return on_stop(now, pending.stop, answer);
    }
}

void PlatformClient::on_runners(Micros now, const HttpMessage* answer) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            if (!answer) return failure(ErrorCode::platform_silent, "list");
            BOOST_LEAF_AUTO(page, runner_list_.read(*answer));
            listener_.on_runner_page(now, page);
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            listener_.on_runner_list_failed(now);
            log_failure("runner_list_failed", code, detail);
        },
        [&] { listener_.on_runner_list_failed(now); });
}

void PlatformClient::on_workers(Micros now, const HttpMessage* answer) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            if (!answer) return failure(ErrorCode::platform_silent, "workers");
            BOOST_LEAF_AUTO(workers, worker_list_.read(*answer));
            listener_.on_worker_list(now, std::move(workers));
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            listener_.on_worker_list_failed(now);
            log_failure("worker_list_failed", code, detail);
        },
        [&] { listener_.on_worker_list_failed(now); });
}

void PlatformClient::on_start(Micros now, const StartRunner& start, const HttpMessage* answer) {
    StartReply reply;
    reply.status = status_text(answer);
    if (answer) reply.result = start_runner_.read(*answer, reply.runner);
    listener_.on_start_completed(now, start, reply);
}

void PlatformClient::on_stop(Micros now, const StopRunner& stop, const HttpMessage* answer) {
    listener_.on_stop_completed(now, stop, {answer && stop_runner_.done(*answer), status_text(answer)});
}

}  // namespace gannethold::cluster
