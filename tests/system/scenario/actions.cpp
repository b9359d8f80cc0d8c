#include "actions.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <map>
#include <string_view>

namespace gannethold::cluster::simulation {
namespace {

using Line = const ScenarioLine&;
using Action = void (*)(ScenarioState& state, Line line);

// ---- cores; X is a number, `leader`, `follower` or `last`

// kill X | kill all
void kill(ScenarioState& state, Line line) {
    if (line.word(1) != "all") {
        state.cluster->cores().kill(state.core(line.word(1)));
        return;
    }
    for (std::size_t core = 0; core < state.cluster->cores().size(); ++core)
        state.cluster->cores().kill(core);
}

// start X | start all
void start(ScenarioState& state, Line line) {
    if (line.word(1) == "all")
        state.cluster->cores().start_all();
    else
        state.cluster->cores().start(state.core(line.word(1)));
}

// wipe X: it is killed and loses its disk
void wipe(ScenarioState& state, Line line) { state.cluster->cores().kill(state.core(line.word(1)), true); }

// crash-in-write X: at its next write, which reaches the disk or doesn't
void crash_in_write(ScenarioState& state, Line line) {
    state.cluster->cores().crash_at_next_write(state.core(line.word(1)));
}

// add: an empty machine at a new address
void add(ScenarioState& state, Line) { state.last_core = state.cluster->cores().add(); }

// successor X: likewise, in X's place among the seeds
void add_successor(ScenarioState& state, Line line) {
    state.last_core = state.cluster->cores().add_successor(state.core(line.word(1)));
}

// retire X: it is gone for good
void retire(ScenarioState& state, Line line) { state.cluster->cores().retire(state.core(line.word(1))); }

// shut-down X [for good]: else it is started again
void shut_down(ScenarioState& state, Line line) {
    state.cluster->cores().shut_down(state.core(line.word(1)), line.last_word() == "good");
}

// leave X: it gives up leadership
void leave(ScenarioState& state, Line line) { state.cluster->cores().leave(state.core(line.word(1))); }

// stall X SECONDS
void stall(ScenarioState& state, Line line) {
    const std::size_t core = state.core(line.word(1));
    state.cluster->cores().stall(core, line.seconds(2));
}

// disk X works|full
void set_disk(ScenarioState& state, Line line) {
    state.cluster->cores().set_disk_works(state.core(line.word(1)), line.word(2) == "works");
}

// describe: prints the state of every core
void describe(ScenarioState& state, Line) { std::printf("%s\n", state.cluster->cores().describe().c_str()); }

// ---- the network

// cut X | cut-outbound X | cut-inbound X: from and to all others, or one way
void cut(ScenarioState& state, Line line) {
    const std::size_t core = state.core(line.word(1));
    const bool outbound = line.word(0) != "cut-inbound";
    const bool inbound = line.word(0) != "cut-outbound";
    for (std::size_t other = 0; other < state.cluster->cores().size(); ++other) {
        if (other == core) continue;
        if (outbound) state.cluster->network().cut(core, other, true);
        if (inbound) state.cluster->network().cut(other, core, true);
    }
}

// cut-link X Y | cut-link-one-way X Y
void cut_link(ScenarioState& state, Line line) {
    const std::size_t from = state.core(line.word(1));
    const std::size_t to = state.core(line.word(2));
    state.cluster->network().cut(from, to, line.word(0) == "cut-link-one-way");
}

// reset X Y: what is in flight between the two is lost
void reset_connection(ScenarioState& state, Line line) {
    const std::size_t one = state.core(line.word(1));
    const std::size_t other = state.core(line.word(2));
    state.cluster->network().reset_connection(one, other);
}

// heal: ends every cut
void heal(ScenarioState& state, Line) { state.cluster->network().heal(); }

// ---- operators

// put VERSION X [MARK]
void put(ScenarioState& state, Line line) {
    const Number version = std::stoull(line.word(1));
    const std::size_t core = state.core(line.word(2));
    state.cluster->operators().put(version, core, line.size() > 3 ? line.word(3) : "");
}

// changes COUNT every SECONDS from VERSION: each at the leader there is then; what is not acknowledged by the
// time of the next goes missing
void put_changes(ScenarioState& state, Line line) {
    const std::size_t count = line.count(1);
    const double interval = line.value_of("every", 0.1);
    const auto first_version = static_cast<Number>(line.value_of("from", 1));
    SimulatedCluster* const cluster = state.cluster.get();
    for (std::size_t n = 0; n < count; ++n)
        cluster->at(cluster->now() + to_micros(static_cast<double>(n) * interval),
                    [cluster, version = first_version + n] {
                        const auto leader = cluster->cores().leader();
                        if (leader) cluster->operators().put(version, *leader);
                    });
}

// get X
void get(ScenarioState& state, Line line) { state.cluster->operators().read(state.core(line.word(1))); }

// register X: a proxy without a configuration registers
void register_proxy(ScenarioState& state, Line line) {
    state.cluster->operators().register_proxy(state.core(line.word(1)));
}

// ---- proxies and clients

// proxy P off|on: cut off from every coordinator
void set_proxy_cut_off(ScenarioState& state, Line line) {
    state.cluster->proxies().set_cut_off(line.count(1), line.word(2) == "off");
}

// delay-proxy P SECONDS: the coordinator's messages arrive so much later
void delay_proxy(ScenarioState& state, Line line) {
    state.cluster->proxies().delay_messages(line.count(1), line.seconds(2));
}

// kill-proxy P
void kill_proxy(ScenarioState& state, Line line) { state.cluster->proxies().kill(line.count(1)); }

// shut-down-proxy P grace SECONDS
void shut_down_proxy(ScenarioState& state, Line line) {
    constexpr double kDefaultGrace = 6;
    state.cluster->proxies().shut_down(line.count(1), to_micros(line.value_of("grace", kDefaultGrace)));
}

// load ROUTE rate PER_SECOND for SECONDS work MS deadline MS [proxy P]: else over two proxies in turn
void load(ScenarioState& state, Line line) {
    constexpr int kProxiesInTurn = 2;
    const double rate = line.value_of("rate", 10);
    const int count = static_cast<int>(rate * line.value_of("for", 1));
    const int work_ms = static_cast<int>(line.value_of("work", 60));
    const int deadline_ms = static_cast<int>(line.value_of("deadline", 4000));
    const int only = static_cast<int>(line.value_of("proxy", -1));
    SimulatedCluster* const cluster = state.cluster.get();
    for (int n = 0; n < count; ++n) {
        const auto proxy = static_cast<std::size_t>(only >= 0 ? only : n % kProxiesInTurn);
        cluster->at(cluster->now() + to_micros(n / rate),
                    [cluster, proxy, route = line.word(1), work_ms, deadline_ms] {
                        cluster->proxies().request(proxy, route, work_ms, deadline_ms);
                    });
    }
}

// answers-lost SHARE: of runners' answers to proxies
void lose_answers(ScenarioState& state, Line line) {
    state.cluster->requests().set_answer_loss(line.number(1));
}

// ---- the platform

// crash-worker WORKER
void crash_worker(ScenarioState& state, Line line) { state.cluster->platform().crash_worker(line.word(1)); }

// drain-worker WORKER
void drain_worker(ScenarioState& state, Line line) { state.cluster->platform().drain_worker(line.word(1)); }

// platform-answers-lost SHARE: to starts and stops
void lose_platform_answers(ScenarioState& state, Line line) {
    state.cluster->platform().set_answer_loss(line.number(1));
}

// reuse-address SERVICE: a runner of it ends, and another service has its address
void reuse_address(ScenarioState& state, Line line) { state.cluster->platform().reuse_address(line.word(1)); }

const std::map<std::string_view, Action>& actions() {
    static const std::map<std::string_view, Action> kActions = {
        {"add", add},
        {"answers-lost", lose_answers},
        {"changes", put_changes},
        {"crash-in-write", crash_in_write},
        {"crash-worker", crash_worker},
        {"cut", cut},
        {"cut-inbound", cut},
        {"cut-link", cut_link},
        {"cut-link-one-way", cut_link},
        {"cut-outbound", cut},
        {"delay-proxy", delay_proxy},
        {"describe", describe},
        {"disk", set_disk},
        {"drain-worker", drain_worker},
        {"get", get},
        {"heal", heal},
        {"kill", kill},
        {"kill-proxy", kill_proxy},
        {"leave", leave},
        {"load", load},
        {"platform-answers-lost", lose_platform_answers},
        {"proxy", set_proxy_cut_off},
        {"put", put},
        {"register", register_proxy},
        {"reset", reset_connection},
        {"retire", retire},
        {"reuse-address", reuse_address},
        {"shut-down", shut_down},
        {"shut-down-proxy", shut_down_proxy},
        {"stall", stall},
        {"start", start},
        {"successor", add_successor},
        {"wipe", wipe},
    };
    return kActions;
}

}  // namespace

void carry_out(ScenarioState& state, const ScenarioLine& action) {
    const auto known = actions().find(action.word(0));
    BOOST_REQUIRE_MESSAGE(known != actions().end(), "no such action: " + action.word(0));
    known->second(state, action);
}

}  // namespace gannethold::cluster::simulation
