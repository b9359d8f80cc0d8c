#include "tubes/tube_benchmark.hpp"

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
#include "tubes/tube_client.hpp"

namespace gannethold::rehearsal {
namespace {

struct ClientSlot {
    std::unique_ptr<TubeClient> client;
    Micros reserved_at = 0;
};

}  // namespace

TubeFigures measure_tubes(std::size_t connections, Micros duration, const std::string& program,
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
    TubeFigures figures;
    figures.connections = connections;
    Latencies waits;
    std::uint64_t rounds = 0;
    bool is_measuring = false;
    std::vector<std::unique_ptr<ClientSlot>> slots;
    for (const Micros end = net::Loop::now() + 8'000'000; slots.size() < connections;) {
        auto slot = std::make_unique<ClientSlot>();
        ClientSlot* const slot_pointer = slot.get();
        try {
            slot->client = std::make_unique<TubeClient>(
                loop, at, [&, slot_pointer](TubeClient& client, std::string_view line, std::string_view) {
                    if (line.starts_with("RESERVED ")) {
                        if (is_measuring) waits.add(net::Loop::now() - slot_pointer->reserved_at);
                        client.send("delete " + std::string(line.substr(9, line.rfind(' ') - 9)) + "\r\n");
                    } else if (line == "DELETED") {
                        rounds += is_measuring;
                        client.put("a job of thirty-two bytes, or so", 1024, 0, 60);
                    } else if (line.starts_with("INSERTED ")) {
                        slot_pointer->reserved_at = net::Loop::now();
                        client.send("reserve\r\n");
                    } else {
                        throw std::runtime_error("unexpected reply of the dispatcher: " + std::string(line));
                    }
                });
        } catch (const std::runtime_error&) {
            if (child.ended() || net::Loop::now() > end)
                throw std::runtime_error("the dispatcher did not start\n" + last_lines(folder + "/d.log", 5));
            usleep(20'000);
            continue;
        }
        slots.push_back(std::move(slot));
    }
    for (auto& slot : slots) slot->client->put("a job of thirty-two bytes, or so", 1024, 0, 60);
    const auto run_for = [&](Micros span) {
        for (const Micros until = net::Loop::now() + span; net::Loop::now() < until;) loop.run_once(true);
    };
    run_for(500'000);
    const double before = child.cost().cpu_s;
    const Micros started_at = net::Loop::now();
    is_measuring = true;
    run_for(duration);
    is_measuring = false;
    const auto cost = child.cost();
    figures.rounds_per_second =
        static_cast<double>(rounds) * 1e6 / static_cast<double>(net::Loop::now() - started_at);
    figures.cpu_us_per_round = rounds > 0 ? (cost.cpu_s - before) * 1e6 / static_cast<double>(rounds) : 0;
    figures.p50 = waits.at(0.5), figures.p99 = waits.at(0.99), figures.p999 = waits.at(0.999);
    figures.memory_mb = cost.memory_mb;
    return figures;
}

QueueFigures measure_queue(std::size_t jobs) {
    using namespace queue;
    constexpr Micros kSecond = 1'000'000;
    constexpr std::size_t kDueJobs = 100'000, kMaxJobsPerTurn = 2'000;
    QueueFigures figures;
    figures.jobs = jobs;
    malloc_trim(0);
    const auto used = [] { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd); };
    const double before = used();
    JobQueue queue({jobs, std::size_t{8} << 30, 16});
    const TubeId tube = *queue.find_or_create_tube("t");
    queue.add_user(tube);
    Micros started_at = net::Loop::now();
    for (std::size_t i = 0; i < jobs; ++i)
        if (!queue.put(0, tube, 1024,
                       i < kDueJobs ? 10 * kSecond + static_cast<Micros>(i * 7919 % kDueJobs * 10)
                                    : 100 * kSecond + static_cast<Micros>(i * 31 % 1'000'000),
                       kSecond, std::string(32, 'x')))
            throw std::runtime_error("the queue is full before all jobs are put");
    figures.put_us = static_cast<double>(net::Loop::now() - started_at) / static_cast<double>(jobs);
    figures.bytes_per_job = (used() - before) / static_cast<double>(jobs);
    std::vector<TubeId> changed_tubes;
    Micros spent = 0;
    for (Micros now = 10 * kSecond; now <= 11 * kSecond + 200'000; now += 1'000) {
        started_at = net::Loop::now();
        queue.advance(now, kMaxJobsPerTurn, changed_tubes);
        const Micros turn_time = net::Loop::now() - started_at;
        spent += turn_time;
        figures.max_turn_us = std::max(figures.max_turn_us, static_cast<double>(turn_time));
        changed_tubes.clear();
    }
    if (queue.at(tube).ready.size() != std::min(jobs, kDueJobs))
        throw std::runtime_error("not all due jobs became ready");
    figures.due_us = static_cast<double>(spent) / static_cast<double>(std::min(jobs, kDueJobs));
    return figures;
}

}  // namespace gannethold::rehearsal
