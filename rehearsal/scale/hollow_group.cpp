#include "scale/hollow_group.hpp"

#include <time.h>

#include <algorithm>

namespace gannethold::scale {
namespace {

constexpr Micros kTickEach = 5'000;
constexpr std::size_t kBlocks = 32'768;  // of 8 KB, for what is not yet written
constexpr double kNanosInSecond = 1e9;

double thread_seconds() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / kNanosInSecond;
}

}  // namespace

HollowGroup::HollowGroup(const Options& options, const Addresses& addresses, const Popularity& popularity,
                         int first, int count)
    : loop_(kBlocks), ground_(loop_, options, addresses, popularity) {
    ground_.random.seed(static_cast<std::uint64_t>(first) + 1);
    for (int number = first; number < first + count; ++number)
        proxies_.push_back(std::make_unique<HollowProxy>(ground_, number));
    timer_ = std::make_unique<net::Timer>(loop_, [this] { tick(); });
    timer_->set(net::Loop::now() + kTickEach);
    thread_ = std::thread([this] { run(); });
}

HollowGroup::~HollowGroup() { stop(); }

void HollowGroup::run() {
    loop_.run([] {});
}

void HollowGroup::tick() {
    if (ending_) return loop_.stop();
    std::vector<std::function<void(HollowProxy&)>> orders;
    {
        const std::lock_guard lock(orders_lock_);
        orders.swap(orders_);
    }
    for (const auto& what : orders)
        for (const auto& proxy : proxies_) what(*proxy);
    const Micros now = net::Loop::now();
    for (const auto& proxy : proxies_) proxy->tick(now);
    processor_seconds_ = thread_seconds();
    timer_->set(net::Loop::now() + kTickEach);
}

void HollowGroup::order(std::function<void(HollowProxy&)> what) {
    const std::lock_guard lock(orders_lock_);
    orders_.push_back(std::move(what));
}

double HollowGroup::processor_seconds() const { return processor_seconds_; }

void HollowGroup::stop() {
    ending_ = true;
    if (thread_.joinable()) thread_.join();
}

HollowFleet::HollowFleet(const Options& options, const Addresses& addresses)
    : options_(options), popularity_(options.functions, options.skew) {
    int first = 0;
    for (int group = 0; group < options.threads; ++group) {
        const int next = options.proxies * (group + 1) / options.threads;
        groups_.push_back(
            std::make_unique<HollowGroup>(options, addresses, popularity_, first, next - first));
        first = next;
    }
}

int HollowFleet::registered(Micros since) const {
    int count = 0;
    for (const auto& group : groups_)
        for (const auto& proxy : group->proxies())
            count += proxy->served_by() != HollowProxy::kNobody && proxy->served_since() >= since;
    return count;
}

int HollowFleet::holding(std::uint64_t version) const {
    int count = 0;
    for (const auto& group : groups_)
        for (const auto& proxy : group->proxies()) count += proxy->version() >= version;
    return count;
}

int HollowFleet::served(Micros since) const {
    int count = 0;
    for (const auto& group : groups_)
        for (const auto& proxy : group->proxies()) count += proxy->granted_at() >= since;
    return count;
}

int HollowFleet::leader() const {
    std::vector<int> votes(static_cast<std::size_t>(options_.controllers), 0);
    for (const auto& group : groups_)
        for (const auto& proxy : group->proxies())
            if (const int core = proxy->served_by(); core != HollowProxy::kNobody)
                ++votes[static_cast<std::size_t>(core)];
    const auto most = std::max_element(votes.begin(), votes.end());
    return *most > 0 ? static_cast<int>(most - votes.begin()) : HollowProxy::kNobody;
}

void HollowFleet::order(const std::function<void(HollowProxy&)>& what) {
    for (const auto& group : groups_) group->order(what);
}

Traffic HollowFleet::sent() const {
    Traffic sum;
    for (const auto& group : groups_) group->ground().sent.read_into(sum);
    return sum;
}

Traffic HollowFleet::received() const {
    Traffic sum;
    for (const auto& group : groups_) group->ground().received.read_into(sum);
    return sum;
}

double HollowFleet::processor_seconds() const {
    double sum = 0;
    for (const auto& group : groups_) sum += group->processor_seconds();
    return sum;
}

void HollowFleet::stop() {
    for (const auto& group : groups_) group->stop();
}

}  // namespace gannethold::scale
