// Workers of the beanstalkd front, which reserve tasks, and the jobs that its producers put.
#include <algorithm>
#include <cmath>
#include <limits>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {

using json::Number;
using json::Object;
using json::Value;

runners::Transport& Dispatcher::port_of(RunnerId runner) {
    if (tube_server_ && pull_workers_.has(runner)) return tube_server_->broker();
    return links_;
}

// Counts requests whose clients await an answer, and jobs that a runner works on. Jobs that wait in a tube
// are not counted: a drain leaves them there.
std::size_t Dispatcher::unanswered() const {
    if (!tube_server_) return server_.waiting_count();
    const frontend::TaskSource* const jobs = &tube_server_->broker();
    return server_.waiting_count() +
           static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [jobs](const auto& t) {
               return t.second.requester == jobs && t.second.in_flight > 0;
           }));
}

TaskId Dispatcher::submit_task(const queue::Job& job, const std::string& tube,
                               const beanstalk::TubePlan& plan, WorkloadId workload) {
    frontend::SubmittedTask request;
    const std::string number = std::to_string(static_cast<std::uint64_t>(job.id));
    request.id = "job-" + config_.name + "-" + number;
    request.method = "POST";
    // Runners over HTTP know a shared workload by its name, and other workloads by the tube's name.
    request.target = "/" + (plan.workload.empty() ? tube : plan.workload) + "/" + number;
    request.workload = workload;
    request.customer =
        CustomerId{std::numeric_limits<std::uint32_t>::max()};  // no customer: no allowance applies
    request.timeout = plan.expiry;
    request.can_push = plan.max_pushed > 0 || !plan.workload.empty();
    net::BlockBuffer body(loop_.block_pool());
    // Without a free buffer the job stays in its tube.
    if (request.can_push && !body.append(job.body)) return TaskId{};
    return submit(tube_server_->broker(), std::move(request), std::move(body), net::Loop::now());
}

RunnerId Dispatcher::add_worker(const beanstalk::ListenerSettings& by, const WorkloadSet& serves, bool cold) {
    const EndpointEntry entry =
        pull_workers_.add(book_, by.kind, by.zone, serves, cold ? net::Loop::now() : 0);
    apply_event(pull_workers_.make_update(entry, holds_, book_));
    return entry.runner;
}

void Dispatcher::set_worker_workloads(RunnerId worker, const WorkloadSet& serves) {
    apply_event(pull_workers_.make_update(pull_workers_.set_workloads(worker, serves), holds_, book_));
}

void Dispatcher::remove_worker(RunnerId worker) {
    apply_event(pull_workers_.make_update(pull_workers_.remove(worker), holds_, book_));
    // A later worker may be given the same name, and must not inherit the hold.
    const std::string& name = book_.name_of(worker);
    if (holds_.remove(name))
        log_.info(net::Loop::now(), "control: released ", log::field("runner", name), ", which has gone");
}

void check_descriptor_limit(const DispatcherConfig& config, const beanstalk::ServerSettings& tubes) {
    constexpr std::size_t kMinOtherSockets = 32;
    if (!tubes.listeners.empty() &&
        tubes.max_connections + tubes.listeners.size() + kMinOtherSockets > config.sockets)
        throw std::runtime_error("beanstalk.connections: " + std::to_string(tubes.max_connections) + " of " +
                                 std::to_string(config.sockets) +
                                 " sockets leave too few for runners and other clients");
}

Object Dispatcher::tube_status() const {
    const beanstalk::TubeBroker& exchange = tube_server_->broker();
    const auto integer = [](auto n) { return Value(Number{std::to_string(n)}); };
    Object all;
    all["connections"] = integer(exchange.session_count());
    all["workers"] = integer(pull_workers_.all().size());
    all["in_hands"] = integer(exchange.tasks_in_flight());
    all["jobs"] = integer(exchange.queue().size());
    all["bytes"] = integer(exchange.queue().bytes());
    json::Array tubes;
    exchange.queue().for_each_tube([&](queue::TubeId, const queue::Tube& t) {
        Object o;
        o["tube"] = Value(t.name);
        o["ready"] = integer(t.ready.size()), o["delayed"] = integer(t.delayed.size()),
        o["handed"] = integer(t.reserved);
        o["buried"] = integer(t.buried.size()), o["may_have_run"] = integer(t.withheld.size());
        tubes.push_back(Value(std::move(o)));
    });
    all["tubes"] = Value(std::move(tubes));
    return all;
}

// An operator's explicit permission that a job that may have run may run again.
Object Dispatcher::kick_job(const Value& request, const std::string& by) {
    if (!tube_server_) throw control::Refused("there are no tubes here");
    const auto job = request.find_number("job");
    if (!job || !(*job >= 1 && *job < 1e15))
        throw control::Refused("which job? \"job\" is missing or no number");
    if (!tube_server_->broker().kick_may_have_run(static_cast<std::uint64_t>(*job)))
        throw control::Refused("no buried job has that number");
    log_.info(net::Loop::now(), "control: job ", log::field("job", static_cast<std::uint64_t>(*job)),
              " may run again, by ", log::field("by", by));
    return {{"job", Value(Number{std::to_string(static_cast<std::uint64_t>(*job))})}};
}

}  // namespace gannethold::dispatcher
