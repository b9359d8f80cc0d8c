#include "tubes/bench.hpp"

#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <vector>

#include "queue/job_queue.hpp"
#include "results/latencies.hpp"
#include "sockets/child.hpp"
#include "sockets/claim.hpp"
#include "tubes/client.hpp"

namespace gannethold::rehearsal {
namespace {

struct Round {
    std::unique_ptr<TubeClient> wire;
    Micros asked = 0;
};

}  // namespace

TubeFigures measure_tubes(std::size_t connections, Micros lasting, const std::string& program,
                          const std::string& folder) {
    const Claim claim;
    const std::string tubes = claim.address(1, 1, 11'300);
    std::ofstream(folder + "/d.json")
        << R"({"name":"d-1","listen":")" << claim.address(1, 1, 20'000) << R"(","discovery":")"
        << claim.address(3, 1, 8'500)
        << R"(","seed":"2a","limits":{"memory_mb":64,"sockets":1024},"known":{"version":1,"full":true,"servers":[]},)"
        << R"("settings":{"balancers":1,"registry_mode":"pushed","workloads":[{"name":"render","effect":"pure","due_time_us":600000,"expiry_us":3000000,"importance":1}]}})";
    std::ofstream(folder + "/d.toml")
        << "[beanstalk]\nlisten = [\"" << tubes
        << "\"]\nconnections = 600\ncold = false\n[beanstalk.other]\neffect = \"idempotent\"\n";
    Child child({program, "serve", "--configuration", folder + "/d.json", "--operator", folder + "/d.toml",
                 "--log-level", "error"},
                folder + "/d.log");
    const auto at = *net::Address::parse(tubes);
    net::Loop loop(64);
    TubeFigures f;
    f.connections = connections;
    Latencies waits;
    std::uint64_t rounds = 0;
    bool counts = false;
    std::vector<std::unique_ptr<Round>> all;
    for (const Micros end = net::Loop::now() + 8'000'000; all.size() < connections;) {
        auto one = std::make_unique<Round>();
        Round* const r = one.get();
        try {
            one->wire = std::make_unique<TubeClient>(
                loop, at, [&, r](TubeClient& w, std::string_view line, std::string_view) {
                    if (line.starts_with("RESERVED ")) {
                        if (counts) waits.add(net::Loop::now() - r->asked);
                        w.say("delete " + std::string(line.substr(9, line.rfind(' ') - 9)) + "\r\n");
                    } else if (line == "DELETED") {
                        rounds += counts;
                        w.put("a job of thirty-two bytes, or so", 1024, 0, 60);
                    } else if (line.starts_with("INSERTED ")) {
                        r->asked = net::Loop::now();
                        w.say("reserve\r\n");
                    } else {
                        throw std::runtime_error("the dispatcher says " + std::string(line));
                    }
                });
        } catch (const std::runtime_error&) {
            if (child.ended() || net::Loop::now() > end)
                throw std::runtime_error("the dispatcher did not come up\n" +
                                         last_lines(folder + "/d.log", 5));
            usleep(20'000);
            continue;
        }
        all.push_back(std::move(one));
    }
    for (auto& r : all) r->wire->put("a job of thirty-two bytes, or so", 1024, 0, 60);
    const auto pass = [&](Micros span) {
        for (const Micros until = net::Loop::now() + span; net::Loop::now() < until;) loop.run_once(true);
    };
    pass(500'000);
    const double before = child.cost().cpu_s;
    const Micros begun = net::Loop::now();
    counts = true;
    pass(lasting);
    counts = false;
    const auto cost = child.cost();
    f.rounds_a_second = static_cast<double>(rounds) * 1e6 / static_cast<double>(net::Loop::now() - begun);
    f.cpu_us_a_round = rounds > 0 ? (cost.cpu_s - before) * 1e6 / static_cast<double>(rounds) : 0;
    f.p50 = waits.at(0.5), f.p99 = waits.at(0.99), f.p999 = waits.at(0.999);
    f.memory_mb = cost.memory_mb;
    return f;
}

QueueFigures measure_queue(std::size_t jobs) {
    using namespace queue;
    constexpr Micros kSecond = 1'000'000;
    constexpr std::size_t kDue = 100'000, kAGo = 2'000;
    QueueFigures f;
    f.jobs = jobs;
    malloc_trim(0);
    const auto used = [] { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd); };
    const double before = used();
    JobQueue all({jobs, std::size_t{8} << 30, 16});
    const TubeId tube = *all.find_or_create_tube("t");
    all.add_user(tube);
    Micros begun = net::Loop::now();
    for (std::size_t i = 0; i < jobs; ++i)
        if (!all.put(0, tube, 1024,
                     i < kDue ? 10 * kSecond + static_cast<Micros>(i * 7919 % kDue * 10)
                              : 100 * kSecond + static_cast<Micros>(i * 31 % 1'000'000),
                     kSecond, std::string(32, 'x')))
            throw std::runtime_error("the queue is full too soon");
    f.put_us = static_cast<double>(net::Loop::now() - begun) / static_cast<double>(jobs);
    f.bytes_a_job = (used() - before) / static_cast<double>(jobs);
    std::vector<TubeId> stirred;
    Micros spent = 0;
    for (Micros now = 10 * kSecond; now <= 11 * kSecond + 200'000; now += 1'000) {
        begun = net::Loop::now();
        all.advance(now, kAGo, stirred);
        const Micros took = net::Loop::now() - begun;
        spent += took;
        f.longest_turn_us = std::max(f.longest_turn_us, static_cast<double>(took));
        stirred.clear();
    }
    if (all.at(tube).ready.size() != std::min(jobs, kDue))
        throw std::runtime_error("not all that was due became ready");
    f.due_us = static_cast<double>(spent) / static_cast<double>(std::min(jobs, kDue));
    return f;
}

}  // namespace gannethold::rehearsal
