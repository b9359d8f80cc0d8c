// What operators' programs are answered at the admin address. Orders go to the same drain as those of the
// control socket.
#include <algorithm>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

const std::string kCaller = "an admin request";

}  // namespace

metrics::Gauges Dispatcher::gauges() const {
    const Micros now = net::Loop::now();
    std::set<RunnerId> avoided;
    for (const RunnerView& r : balancer_.runners())
        if (r.ready && (now < r.ejected_until || r.suspected)) avoided.insert(r.runner);
    const auto any = [](RunnerId) { return true; };
    return {unanswered(), book_.count_listed(any),
            book_.count_listed([&](RunnerId r) { return avoided.contains(r); })};
}

admin::AdminResponse Dispatcher::on_admin_request(admin::AdminRequest request) {
    const Micros now = net::Loop::now();
    switch (request) {
        case admin::AdminRequest::get_readiness: {
            const bool takes = is_ready() && healthy_;
            return {takes ? 200 : 503, takes ? "ready\n" : "not ready\n"};
        }
        case admin::AdminRequest::get_metrics:
            return {200, admin::format_metrics(counters_, gauges()),
                    "text/plain; version=0.0.4; charset=utf-8"};
        case admin::AdminRequest::take_out_of_service: {
            // Whoever ordered it before, it is being emptied: that is all that was asked for.
            if (drain_.phase() != drain::Phase::serving)
                return {200, "out of service, " + drain_.requested_by() + "\n"};
            const drain::DrainResult ruling =
                drain_.request(now, now + drain_.settings().max_deadline_distance, 0, kCaller,
                               &drain_.settings().short_notice);
            if (!ruling.accepted) return {409, ruling.reason + "\n"};
            log_.info(now, "admin: out of service");
            look_at_drain();
            return {200, "out of service\n"};
        }
        case admin::AdminRequest::return_to_service: {
            if (drain_.phase() == drain::Phase::serving) return {200, "in service\n"};
            const drain::DrainResult ruling = drain_.cancel(now, 0, kCaller);
            if (!ruling.accepted) return {409, ruling.reason + "\n"};
            log_.info(now, "admin: in service again");
            look_at_drain();
            return {200, "in service\n"};
        }
    }
    return {500, ""};
}

}  // namespace gannethold::dispatcher
