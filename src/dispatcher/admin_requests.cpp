// The dispatcher's answers to requests on the admin address. Taking it out of service uses the same drain as
// the control socket's commands.
#include <algorithm>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

const std::string kAdminRequester = "an admin request";

}  // namespace

metrics::Gauges Dispatcher::gauges() const {
    const Micros now = net::Loop::now();
    std::set<RunnerId> avoided;
    for (const RunnerView& runner : balancer_.runners())
        if (runner.ready && (now < runner.ejected_until || runner.suspected)) avoided.insert(runner.runner);
    const auto any = [](RunnerId) { return true; };
    return {unanswered(), book_.count_listed(any),
            book_.count_listed([&](RunnerId r) { return avoided.contains(r); })};
}

admin::AdminResponse Dispatcher::on_admin_request(admin::AdminRequest request) {
    const Micros now = net::Loop::now();
    switch (request) {
        case admin::AdminRequest::get_readiness: {
            const bool is_accepting = is_ready() && is_healthy_;
            return {is_accepting ? 200 : 503, is_accepting ? "ready\n" : "not ready\n"};
        }
        case admin::AdminRequest::get_metrics:
            return {200, admin::format_metrics(counters_, gauges()),
                    "text/plain; version=0.0.4; charset=utf-8"};
        case admin::AdminRequest::take_out_of_service: {
            // A drain is already under way, whoever requested it: the request is fulfilled.
            if (drain_.phase() != drain::Phase::serving)
                return {200, "out of service, " + drain_.requested_by() + "\n"};
            const drain::DrainResult result =
                drain_.request(now, now + drain_.settings().max_deadline_distance, 0, kAdminRequester,
                               &drain_.settings().short_notice);
            if (!result.accepted) return {409, result.reason + "\n"};
            log_.info(now, "admin: out of service");
            update_drain();
            return {200, "out of service\n"};
        }
        case admin::AdminRequest::return_to_service: {
            if (drain_.phase() == drain::Phase::serving) return {200, "in service\n"};
            const drain::DrainResult result = drain_.cancel(now, 0, kAdminRequester);
            if (!result.accepted) return {409, result.reason + "\n"};
            log_.info(now, "admin: in service again");
            update_drain();
            return {200, "in service\n"};
        }
    }
    return {500, ""};
}

}  // namespace gannethold::dispatcher
