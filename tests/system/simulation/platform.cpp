#include "platform.hpp"

#include <algorithm>

namespace gannethold::cluster::simulation {
namespace {

constexpr Micros kListLag = 800'000;        // until the list shows a runner's start or end
constexpr Micros kCallTimeout = 1'200'000;  // of a caller of the platform
constexpr Micros kCrashSeenAfter = 2'000'000;
constexpr Micros kWorkerDownTime = 4'000'000;
constexpr Micros kDrainTime = 4'000'000;

std::string worker_name(std::size_t worker) { return "w-" + std::to_string(worker); }
std::size_t worker_number(const std::string& name) { return std::stoul(name.substr(2)); }

}  // namespace

Platform::Platform(Environment& environment, const ConfigurationTemplate& configuration)
    : environment_(environment), configuration_(configuration) {}

// ---- calls

void Platform::start(const StartRunner& request, Number fence, const std::string& caller,
                     StartCallback on_answer) {
    environment_.after_hop([this, request, fence, caller, on_answer = std::move(on_answer)] {
        StartResult result = StartResult::started;
        RunnerInfo info;
        if (!accept_fence(fence, caller)) {
            ++counts_.fenced_starts;
            result = StartResult::rejected;
        } else if (const std::string id = runner_for(request); id.empty()) {
            result = StartResult::no_capacity;
        } else {
            const Runner& runner = *runners_[id];
            info = {runner.id, runner.service, runner.address, runner.zone, runner.worker, runner.slots,
                    0,         false};
        }
        const bool lost = environment_.random.happens(answer_loss_);
        if (lost) result = StartResult::timed_out;
        const Micros delay = lost ? kCallTimeout : environment_.random.hop(environment_.shape.delay);
        environment_.events.after(delay, [on_answer, result, info] { on_answer(result, info); });
    });
}

bool Platform::accept_fence(Number fence, const std::string& caller) {
    if (fence < fence_ || (fence == fence_ && fence_owner_ != caller)) return false;
    fence_ = fence;
    fence_owner_ = caller;
    return true;
}

std::string Platform::runner_for(const StartRunner& request) {
    const std::string key = request.service + "/" + request.nonce;
    if (const auto earlier = started_.find(key); earlier != started_.end()) return earlier->second;
    const ServiceSpec* const spec = configuration_.find(request.service);
    if (!spec || !has_room(*spec, request.worker)) return {};
    return started_[key] = boot(*spec, request.worker);
}

bool Platform::has_room(const ServiceSpec& spec, const std::string& worker) const {
    if (workers_down_.contains(worker) || workers_draining_.contains(worker)) return false;
    std::int64_t used_mb = 0;
    for (const auto& [id, runner] : runners_) {
        const ServiceSpec* const other = configuration_.find(runner->service);
        if (other && !runner->ended && runner->worker == worker) used_mb += other->memory_mb;
    }
    return used_mb + spec.memory_mb <= environment_.shape.worker_memory_mb;
}

std::string Platform::boot(const ServiceSpec& spec, const std::string& worker) {
    ++counts_.starts;
    ++booted_;
    auto runner = std::make_unique<Runner>();
    runner->id = "i-" + std::to_string(booted_);
    runner->service = spec.name;
    runner->worker = worker;
    runner->zone = zone_of(worker_number(worker));
    runner->address = "10.9.0." + std::to_string(booted_) + ":1";
    runner->slots = spec.max_concurrency;
    runner->ready_at = environment_.now() + spec.boot_ms * kMicrosPerMilli;
    runner->listed_at = runner->ready_at + kListLag;
    std::string id = runner->id;
    runners_[id] = std::move(runner);
    return id;
}

void Platform::stop(const std::string& runner, EventQueue::Action on_answer) {
    ++counts_.stops;
    environment_.after_hop([this, runner, on_answer = std::move(on_answer)] {
        Runner* const stopping = find(runner);
        if (stopping && !stopping->ended) end(*stopping, environment_.now());
        if (!environment_.random.happens(answer_loss_)) on_answer();
    });
}

std::vector<Worker> Platform::list_workers() const {
    std::vector<Worker> workers;
    for (std::size_t number = 0; number < environment_.shape.workers; ++number) {
        const std::string name = worker_name(number);
        if (!is_worker_down(name))
            workers.push_back({name, zone_of(number), environment_.shape.worker_memory_mb, 0,
                               !workers_draining_.contains(name)});
    }
    return workers;
}

RunnerListPage Platform::list_runners() const {
    RunnerListPage page;
    const Micros now = environment_.now();
    for (const auto& [id, runner] : runners_)
        if (now >= runner->listed_at && (!runner->ended || now < runner->ended_at + kListLag))
            page.runners.push_back(
                {{id, runner->service, runner->address, runner->zone, runner->worker, runner->slots, 0, true},
                 runner->draining});
    return page;
}

// ---- faults

void Platform::end(Runner& runner, Micros when) {
    runner.ended = true;
    runner.ended_at = when;
}

void Platform::crash_worker(const std::string& worker) {
    workers_down_.insert(worker);
    for (auto& [id, runner] : runners_)
        if (runner->worker == worker && !runner->ended) end(*runner, environment_.now() + kCrashSeenAfter);
    environment_.events.after(kWorkerDownTime, [this, worker] { workers_down_.erase(worker); });
}

void Platform::drain_worker(const std::string& worker) {
    workers_draining_.insert(worker);
    for (auto& [id, runner] : runners_) {
        if (runner->worker != worker || runner->ended) continue;
        runner->draining = true;
        if (environment_.now() < runner->ready_at) {  // what is still booting never comes up
            end(*runner, environment_.now());
            continue;
        }
        environment_.events.after(kDrainTime,
                                  [this, drained = runner.get()] { end(*drained, environment_.now()); });
    }
}

void Platform::reuse_address(const std::string& service) {
    for (auto& [id, runner] : runners_) {
        if (runner->service != service || runner->ended) continue;
        end(*runner, environment_.now());
        auto other = std::make_unique<Runner>(*runner);
        other->id = "other-" + id;
        other->service = "non_member";
        other->ended = false;
        runners_[other->id] = std::move(other);
        return;
    }
}

// ---- state

Runner* Platform::find_by_address(const std::string& address) {
    for (auto& [id, runner] : runners_)
        if (runner->address == address && !runner->ended) return runner.get();
    return nullptr;
}

Runner* Platform::find(const std::string& id) {
    const auto runner = runners_.find(id);
    return runner == runners_.end() ? nullptr : runner->second.get();
}

std::size_t Platform::count_running(const std::string& service) const {
    return static_cast<std::size_t>(std::count_if(runners_.begin(), runners_.end(), [&](const auto& entry) {
        return entry.second->service == service && !entry.second->ended;
    }));
}

}  // namespace gannethold::cluster::simulation
