// Workers that ask for tasks, and the jobs that the front with tubes hands in.
#include <algorithm>
#include <cmath>
#include <limits>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {

using json::Number;
using json::Object;
using json::Value;

runners::Transport& Dispatcher::port_of(RunnerId runner) {
    if (pullers_ && guests_.has(runner)) return pullers_->broker();
    return links_;
}

// Answers that somebody waits for, and jobs that are in somebody's hands. What waits in a tube is not among
// them: a drain leaves it there.
std::size_t Dispatcher::unanswered() const {
    if (!pullers_) return server_.waiting_count();
    const frontend::TaskSource* const jobs = &pullers_->broker();
    return server_.waiting_count() +
           static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [jobs](const auto& t) {
               return t.second.asker == jobs && t.second.out > 0;
           }));
}

TaskId Dispatcher::submit_task(const queue::Job& job, const std::string& tube,
                               const beanstalk::TubePlan& plan, WorkloadId workload) {
    frontend::SubmittedTask handed;
    const std::string number = std::to_string(static_cast<std::uint64_t>(job.id));
    handed.id = "job-" + posting_.name + "-" + number;
    handed.method = "POST";
    // A runner over HTTP knows the shared workload by its name, and else the tube's.
    handed.target = "/" + (plan.workload.empty() ? tube : plan.workload) + "/" + number;
    handed.workload = workload;
    handed.customer = CustomerId{std::numeric_limits<std::uint32_t>::max()};  // nobody's allowance
    handed.timeout = plan.expiry;
    handed.can_push = plan.max_pushed > 0 || !plan.workload.empty();
    net::BlockBuffer body(loop_.block_pool());
    // No buffer is left: it stays in its tube.
    if (handed.can_push && !body.append(job.body)) return TaskId{};
    return submit(pullers_->broker(), std::move(handed), std::move(body), net::Loop::now());
}

RunnerId Dispatcher::add_worker(const beanstalk::ListenerSettings& by, const WorkloadSet& serves, bool cold) {
    const EndpointEntry entry = guests_.add(book_, by.kind, by.zone, serves, cold ? net::Loop::now() : 0);
    note(guests_.make_update(entry, holds_, book_));
    return entry.runner;
}

void Dispatcher::set_worker_workloads(RunnerId worker, const WorkloadSet& serves) {
    note(guests_.make_update(guests_.set_workloads(worker, serves), holds_, book_));
}

void Dispatcher::remove_worker(RunnerId worker) {
    note(guests_.make_update(guests_.remove(worker), holds_, book_));
    // Against a stranger held for its name: the next one to come may be given it.
    const std::string& name = book_.name_of(worker);
    if (holds_.remove(name))
        log_.info(net::Loop::now(), "control: released ", log::field("runner", name), ", which has gone");
}

void must_fit(const Posting& posting, const beanstalk::ServerSettings& tubes) {
    constexpr std::size_t kForTheRest = 32;
    if (!tubes.listeners.empty() &&
        tubes.max_connections + tubes.listeners.size() + kForTheRest > posting.sockets)
        throw std::runtime_error("beanstalk.connections: " + std::to_string(tubes.max_connections) + " of " +
                                 std::to_string(posting.sockets) +
                                 " sockets leave too few for runners and other clients");
}

Object Dispatcher::tell_tubes() const {
    const beanstalk::TubeBroker& x = pullers_->broker();
    const auto whole = [](auto n) { return Value(Number{std::to_string(n)}); };
    Object all;
    all["connections"] = whole(x.session_count());
    all["workers"] = whole(guests_.all().size());
    all["in_hands"] = whole(x.tasks_in_flight());
    all["jobs"] = whole(x.queue().size());
    all["bytes"] = whole(x.queue().bytes());
    json::Array tubes;
    x.queue().for_each_tube([&](queue::TubeId, const queue::Tube& t) {
        Object o;
        o["tube"] = Value(t.name);
        o["ready"] = whole(t.ready.size()), o["delayed"] = whole(t.delayed.size()),
        o["handed"] = whole(t.reserved);
        o["buried"] = whole(t.buried.size()), o["may_have_run"] = whole(t.withheld.size());
        tubes.push_back(Value(std::move(o)));
    });
    all["tubes"] = Value(std::move(tubes));
    return all;
}

// The explicit word that a job that may have run may run again.
Object Dispatcher::kick(const Value& request, const std::string& by) {
    if (!pullers_) throw control::Refused("there are no tubes here");
    const auto job = request.find_number("job");
    if (!job || !(*job >= 1 && *job < 1e15))
        throw control::Refused("which job? \"job\" is missing or no number");
    if (!pullers_->broker().kick_may_have_run(static_cast<std::uint64_t>(*job)))
        throw control::Refused("no buried job has that number");
    log_.info(net::Loop::now(), "control: job ", log::field("job", static_cast<std::uint64_t>(*job)),
              " may run again, by ", log::field("by", by));
    return {{"job", Value(Number{std::to_string(static_cast<std::uint64_t>(*job))})}};
}

}  // namespace gannethold::dispatcher
