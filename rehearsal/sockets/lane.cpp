#include "sockets/lane.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <utility>

#include "control/control_client.hpp"
#include "control/control_server.hpp"
#include "snapshot/snapshot_format.hpp"
#include "snapshot/snapshot_store.hpp"
#include "model/poison.hpp"
#include "sockets/callers_stand_in.hpp"
#include "sockets/child.hpp"
#include "sockets/claim.hpp"
#include "sockets/discovery_stand_in.hpp"
#include "sockets/runner_stand_in.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr std::size_t kBlocks = 65536;
constexpr unsigned kRunnersPort = 21'000, kDiscoveryPort = 8'500, kDispatcherPort = 20'000;
constexpr unsigned kRunnersInARow = 250, kDispatchersRow = 253, kDiscoveryRow = 254;
constexpr Micros kComesUpIn = 10'000'000;
constexpr Micros kLeavesIn = 5'000'000;
constexpr Micros kFrontNotices = 500'000;   // the front here looks five times a second
constexpr Micros kAnswersTravel = 150'000;  // after the deadline, until the clients have read them
// Where what the stand-ins did came that late, a bad result would be theirs and not the dispatcher's.
constexpr Micros kLateP99 = 20'000, kLateMost = 500'000;

net::Address address(const std::string& text) {
    const auto read = net::Address::parse(text);
    if (!read) throw std::runtime_error("no address: " + text);
    return *read;
}

// The soft limit is ours to raise; beyond the hard one only whoever runs the machine can help.
void need_descriptors(std::size_t wanted) {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < wanted) {
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, wanted);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (limit.rlim_cur < wanted)
        throw std::runtime_error("this day needs " + std::to_string(wanted) + " descriptors, and only " +
                                 std::to_string(limit.rlim_cur) + " may be open (ulimit -n)");
}

class Lane final : public Scene {
  public:
    Lane(const Day& day, std::uint64_t seed, const Premises& premises)
        : day_(day),
          seed_(seed),
          premises_(premises),
          loop_(kBlocks),
          agenda_(loop_),
          judge_(day),
          tally_(day),
          backstage_{loop_, day, agenda_, judge_, nullptr, {}, {}, 0, 0, {}},
          theatre_(day, seed, *this),
          tick_(loop_, [this] { tick(); }),
          dispatchers_(day.dispatchers.count) {
        agenda_.start();
        backstage_.theatre = &theatre_;
        backstage_.toppled = [this](std::size_t r) { toppled(r); };
        if (day.runners.size() > kRunnersInARow * 200)
            throw std::runtime_error("the fleet is too large for sockets on one machine");
        if (day.dispatchers.count > kRunnersInARow)
            throw std::runtime_error("too many dispatchers for sockets on one machine");
        need_descriptors(64 + day.runners.size() * day.dispatchers.count * 2 +
                         day.dispatchers.count * (8 + 2 * std::min<std::size_t>(day.clients.connections,
                                                                                day.dispatchers.sockets)));
        std::filesystem::create_directories(premises.folder);
        for (std::size_t r = 0; r < day.runners.size(); ++r) {
            std::vector<net::Address> places;
            for (std::size_t d = 0; d < day.dispatchers.count; ++d)
                places.push_back(address(runner_address(d, r)));
            runners_.push_back(std::make_unique<RunnerStandIn>(backstage_, r, places));
        }
        discovery_ = std::make_unique<DiscoveryStandIn>(
            backstage_, [this](std::size_t d, std::size_t r) { return runner_address(d, r); });
        discovery_->move(discovery_places());
    }

    Result play() {
        std::signal(SIGPIPE, SIG_IGN);
        for (std::size_t d = 0; d < dispatchers_.size(); ++d) start(d);
        std::vector<net::Address> at;
        for (std::size_t d = 0; d < dispatchers_.size(); ++d) at.push_back(address(dispatcher_address(d)));
        callers_ = std::make_unique<CallersStandIn>(backstage_, tally_, seed_, at);
        come_up();
        playing_ = true;
        agenda_.start();
        agenda_.lateness = {};
        discovery_->day_begins();
        const auto before = costs();
        callers_->begin();
        plan_edges();
        sample_at(1'000'000);
        tick_.set(net::Loop::now());
        Micros longest = 0;
        for (const WorkloadPlan& w : day_.workloads) longest = std::max(longest, w.expiry);
        const Micros end = day_.length + longest + day_.rules.slack + 200'000;
        while (!stopped_ && agenda_.now() < end && !callers_->done()) turn();
        const auto after = costs();
        Result& r = tally_.result();
        if (stopped_) r.cut_short = "ended by hand after " + std::to_string(agenda_.now() / 1'000'000) + " s";
        callers_->give_up_all();
        // Whoever was out at the end may still be answered; then all is said.
        const Micros last = agenda_.now() + day_.rules.slack + 100'000;
        while (agenda_.now() < last) turn();
        if (!stopped_) judge_.close(agenda_.now());
        leave();
        double cpu = 0;
        for (std::size_t d = 0; d < after.size(); ++d) {
            cpu += std::max(0.0, after[d].cpu_s - before[d].cpu_s);
            r.memory_mb = std::max(r.memory_mb, after[d].memory_mb);
        }
        r.cpu_us_a_task = r.tries > 0 ? cpu * 1e6 / static_cast<double>(r.tries) : 0;
        for (const auto& runner : runners_) r.connections += runner->connections();
        callers_->lateness.add(agenda_.lateness);
        r.lateness_p99 = callers_->lateness.at(0.99), r.lateness_most = callers_->lateness.most();
        Result result = tally_.finish(judge_);
        if (result.lateness_p99 > kLateP99 || result.lateness_most > kLateMost)
            result.void_because =
                "generator and stand-ins ran late, p99 " + std::to_string(result.lateness_p99 / 1000) +
                " ms, most " + std::to_string(result.lateness_most / 1000) + " ms: the machine was too busy";
        for (const std::string& m : crashes_) result.missed.push_back(m);
        result.lane = "sockets", result.policy = "own", result.seed = seed_;
        result.shades = theatre_.shades;
        return result;
    }

    void hold(const std::string& listen) {
        std::signal(SIGPIPE, SIG_IGN);
        held_address_ = listen;
        const WorkloadPlan& w = day_.workloads.front();
        backstage_.for_anyone = Job{};
        backstage_.for_anyone->work = w.work, backstage_.for_anyone->slots = w.slots;
        start(0);
        while (!premises_.stop(agenda_.now())) {
            if (const auto how = dispatchers_[0].child->ended())
                throw std::runtime_error("the dispatcher " + *how + ":\n" + last_lines(log_path(0), 5));
            tick_.set(net::Loop::now() + 50'000);
            turn();
        }
        leave();
    }

  private:
    struct Dispatcher {
        std::unique_ptr<Child> child;
        bool leaving = false, killed = false;
        std::uint64_t orders = 0;
        Child::Cost spent;  // by those before
    };

    // ---- places ----
    std::string runner_address(std::size_t d, std::size_t r) const {
        return claim_.address(static_cast<unsigned>(r / kRunnersInARow),
                              static_cast<unsigned>(1 + r % kRunnersInARow),
                              kRunnersPort + static_cast<unsigned>(d));
    }
    std::string dispatcher_address(std::size_t d) const {
        return !held_address_.empty()
                   ? held_address_
                   : claim_.address(kDispatchersRow, static_cast<unsigned>(d + 1), kDispatcherPort);
    }
    std::vector<net::Address> discovery_places() const {
        std::vector<net::Address> all;
        for (std::size_t d = 0; d < day_.dispatchers.count; ++d) all.push_back(address(discovery_address(d)));
        return all;
    }
    std::string discovery_address(std::size_t d) const {
        return claim_.address(kDiscoveryRow, 1 + moves_ % 250, kDiscoveryPort + static_cast<unsigned>(d));
    }
    std::string path(std::size_t d, const char* end) const {
        return premises_.folder + "/d-" + std::to_string(d + 1) + end;
    }
    std::string log_path(std::size_t d) const { return path(d, ".log"); }

    // ---- processes ----
    void write_posting(std::size_t d) {
        Bulletin all{1, true, {}};
        for (std::size_t r = 0; r < day_.runners.size(); ++r)
            all.entries.push_back({r, RunnerState::ready, 0});
        // Whole or not at all, as an operator would: a reload may read it at any time.
        std::ofstream(path(d, ".new")) << day_.posting(d, dispatcher_address(d), discovery_address(d),
                                                       seed_ * 1000 + d + 1, discovery_->listing(d, all));
        std::filesystem::rename(path(d, ".new"), path(d, ".json"));
    }
    void poison(std::size_t d) {
        const snapshot::SnapshotStore store(premises_.folder, "d-" + std::to_string(d + 1));
        auto saved = store.load().snapshot;
        if (!saved) return;
        const auto slow = [](const auto& one) { return middle_bin(one.latency); };
        put_wrong_way_round(saved->runners, slow, [](snapshot::SavedRunner& a, snapshot::SavedRunner& b) {
            std::swap(a.latency, b.latency);
            std::swap(a.min_latency, b.min_latency);
            std::swap(a.slots, b.slots);
            std::swap(a.fraction, b.fraction);
        });
        put_wrong_way_round(saved->instance_types, slow,
                            [](snapshot::SavedInstanceType& a, snapshot::SavedInstanceType& b) {
                                std::swap(a.latency, b.latency);
                            });
        store.write(snapshot::encode(*saved));
    }
    void start(std::size_t d) {
        write_posting(d);
        if (day_.dispatchers.poisoned) poison(d);
        Dispatcher& one = dispatchers_[d];
        one.leaving = one.killed = false;
        std::ofstream(path(d, ".toml"))
            << "[control]\nsocket = \"" << path(d, ".sock")
            << "\"\n[drain]\nfront_notices_s = " << static_cast<double>(kFrontNotices) / 1e6
            << "\nclosing_takes_s = 1\n"
            << (day_.dispatchers.keepsake ? "[snapshot]\nfolder = \"" + premises_.folder + "\"\nevery_s = 2\n"
                                          : "");
        one.child = std::make_unique<Child>(
            std::vector<std::string>{premises_.program, "serve", "--configuration", path(d, ".json"),
                                     "--operator", path(d, ".toml"), "--log-level", "warning"},
            log_path(d));
        if (callers_) callers_->back(d);
    }
    void come_up() {
        const Micros until = net::Loop::now() + kComesUpIn;
        tick_.set(net::Loop::now() + 10'000);
        for (std::size_t d = 0; d < dispatchers_.size();) {
            if (callers_->healthy(d)) {
                ++d;
                continue;
            }
            const auto how = dispatchers_[d].child->ended();
            if (how || net::Loop::now() > until)
                throw std::runtime_error("dispatcher d-" + std::to_string(d + 1) + " did not come up" +
                                         (how ? ": it " + *how : "") + "\n" + last_lines(log_path(d), 5));
            tick_.set(net::Loop::now() + 10'000);
            turn();
        }
    }
    void leave() {
        playing_ = false;
        for (Dispatcher& d : dispatchers_)
            if (d.child) d.child->signal(SIGTERM);
        const Micros until = net::Loop::now() + kLeavesIn;
        for (Dispatcher& d : dispatchers_) {
            while (d.child && !d.child->ended() && net::Loop::now() < until) {
                tick_.set(net::Loop::now() + 10'000);
                turn();
            }
            d.child.reset();
        }
    }
    std::vector<Child::Cost> costs() const {
        std::vector<Child::Cost> all;
        for (const Dispatcher& d : dispatchers_) {
            Child::Cost c = d.child ? d.child->cost() : Child::Cost{};
            c.cpu_s += d.spent.cpu_s;
            c.memory_mb = std::max(c.memory_mb, d.spent.memory_mb);
            all.push_back(c);
        }
        return all;
    }

    // ---- the loop ----
    void turn() {
        loop_.run_once(true);
        for (auto& r : runners_) r->sweep();
        discovery_->sweep();
        if (callers_) callers_->sweep();
    }
    void tick() {
        const Micros now = agenda_.now();
        judge_.pass(now);
        if (premises_.stop && premises_.stop(now)) stopped_ = true;
        for (std::size_t d = 0; playing_ && d < dispatchers_.size(); ++d) {
            Dispatcher& one = dispatchers_[d];
            if (!one.child) continue;
            const auto how = one.child->ended();
            if (!how) continue;
            if (!one.leaving && !one.killed) {
                crashes_.push_back("dispatcher d-" + std::to_string(d + 1) + " ended by itself: it " + *how +
                                   "; its log ends with\n" + last_lines(log_path(d), 5));
                judge_.died(now, d);
                callers_->died(d);
                one.child.reset();
            } else if (one.leaving) {
                if (!one.child->ended_well())
                    crashes_.push_back("dispatcher d-" + std::to_string(d + 1) + " left badly: it " + *how);
                start(d);
            }
        }
        tick_.set(net::Loop::now() + 20'000);
    }
    void plan_edges() {
        if (theatre_.next() == kNever) return;
        agenda_.at(theatre_.next(), [this] {
            theatre_.play(agenda_.now());
            plan_edges();
        });
    }
    void sample_at(Micros when) {
        if (when > day_.length) return;
        agenda_.at(when, [this, when] {
            std::vector<double> held;
            for (const Runner& r : theatre_.runners) held.push_back(static_cast<double>(r.held()));
            tally_.sample(when, std::move(held), {});
            sample_at(when + 1'000'000);
        });
    }

    // ---- Scene ----
    void said(std::size_t r, const std::vector<Word>& words) override {
        runners_[r]->said(words);
        runners_[r]->wake();
    }
    void runner_down(std::size_t r) override { runners_[r]->down(); }
    void runner_up(std::size_t r) override { runners_[r]->up(); }
    void runner_silent(std::size_t r, bool) override { runners_[r]->look_at_paths(); }
    void roster_changes(Micros when) override {
        agenda_.at(when, [this] { discovery_->tell(); });
    }
    void discovery_down(bool down) override { discovery_->down(down); }
    void discovery_moved() override {
        ++moves_;
        discovery_->move(discovery_places());
        for (std::size_t d = 0; d < dispatchers_.size(); ++d) reload(d);
    }
    void discovery_back() override { discovery_->end_watches(); }
    void paths_changed() override {
        for (auto& r : runners_) r->look_at_paths();
    }
    void kill(std::size_t d, Micros back_after) override {
        Dispatcher& one = dispatchers_[d];
        if (!one.child) return;
        one.killed = true;
        note_spent(one);
        judge_.died(agenda_.now(), d);
        callers_->died(d);
        one.child.reset();
        if (back_after > 0) agenda_.at(agenda_.now() + back_after, [this, d] { start(d); });
    }
    void restart(std::size_t d) override {
        Dispatcher& one = dispatchers_[d];
        if (!one.child) return;
        one.leaving = true;
        note_spent(one);
        one.child->signal(SIGTERM);
    }
    void reload(std::size_t d) override {
        write_posting(d);
        if (dispatchers_[d].child) dispatchers_[d].child->signal(SIGHUP);
    }
    void surge(double factor) override { callers_->surge(factor); }
    void drain(std::size_t d, Micros within) override {
        const Micros deadline = agenda_.now() + within;
        order(d,
              {{"do", json::Value(std::string("drain"))},
               {"deadline_s", json::Value(json::Number{std::to_string(static_cast<double>(within) / 1e6)})}});
        const std::uint64_t number = ++dispatchers_[d].orders;
        if (!day_.goals.drained_in_time) return;
        agenda_.at(deadline + kAnswersTravel, [this, d, number] {
            const std::size_t left = callers_->open_at(d);
            if (dispatchers_[d].orders == number && left > 0)
                crashes_.push_back("d-" + std::to_string(d + 1) + " still had " + std::to_string(left) +
                                   " tasks after its deadline");
        });
    }
    void undrain(std::size_t d) override {
        ++dispatchers_[d].orders;
        order(d, {{"do", json::Value(std::string("undrain"))}});
    }
    void hold(std::size_t r, bool held) override {
        for (std::size_t d = 0; d < dispatchers_.size(); ++d) {
            order(d, {{"do", json::Value(std::string(held ? "hold" : "release"))},
                      {"runner", json::Value(day_.runners[r].name)}});
            // For the judge a hold is word that the runner is not to be used, from the moment it was
            // answered.
            judge_.told(agenda_.now(), d, r, held ? RunnerState::draining : RunnerState::ready,
                        theatre_.runners[r].started_at());
        }
    }
    void order(std::size_t d, json::Object what) {
        if (!dispatchers_[d].child) return;
        try {
            control::ControlClient(path(d, ".sock")).call(std::move(what));
        } catch (const std::exception& e) {
            crashes_.push_back("d-" + std::to_string(d + 1) + " did not take an order: " + e.what());
        }
    }

    void note_spent(Dispatcher& one) {
        const Child::Cost c = one.child->cost();
        one.spent.cpu_s += c.cpu_s;
        one.spent.memory_mb = std::max(one.spent.memory_mb, c.memory_mb);
    }
    void toppled(std::size_t r) {
        ++tally_.result().toppled;
        runners_[r]->down();
        theatre_.registry.change(agenda_.now() + 1'000'000, r, RunnerState::gone,
                                 theatre_.runners[r].started_at());
        roster_changes(agenda_.now() + 1'000'000 + theatre_.registry.lag);
    }

    const Day& day_;
    const std::uint64_t seed_;
    const Premises& premises_;
    Claim claim_;
    net::Loop loop_;
    Agenda agenda_;
    Judge judge_;
    Tally tally_;
    Backstage backstage_;
    Theatre theatre_;
    net::Timer tick_;
    std::vector<std::unique_ptr<RunnerStandIn>> runners_;
    std::unique_ptr<DiscoveryStandIn> discovery_;
    std::unique_ptr<CallersStandIn> callers_;
    std::vector<Dispatcher> dispatchers_;
    std::vector<std::string> crashes_;
    std::string held_address_;
    unsigned moves_ = 0;
    bool stopped_ = false, playing_ = false;
};

}  // namespace

Result play_on_sockets(const Day& day, std::uint64_t seed, const Premises& premises) {
    const auto began = std::chrono::steady_clock::now();
    Lane lane(day, seed, premises);
    Result result = lane.play();
    result.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return result;
}

void hold_open(const Day& day, const std::string& listen, const Premises& premises) {
    Lane lane(day, 1, premises);
    lane.hold(listen);
}

}  // namespace gannethold::rehearsal
