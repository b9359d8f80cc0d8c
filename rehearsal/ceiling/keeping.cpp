#include "ceiling/keeping.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <sstream>

#include "dispatcher/dispatcher.hpp"
#include "snapshot/snapshot_format.hpp"
#include "snapshot/snapshot_store.hpp"

namespace gannethold::rehearsal {
namespace {

namespace files = std::filesystem;

std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

// One that the system has just given and taken back.
std::uint16_t free_port() {
    const int one = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    socklen_t length = sizeof at;
    at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(one, reinterpret_cast<sockaddr*>(&at), sizeof at);
    ::getsockname(one, reinterpret_cast<sockaddr*>(&at), &length);
    ::close(one);
    return ntohs(at.sin_port);
}

std::string posting(std::size_t runners) {
    std::ostringstream out;
    out << R"({"name":"kept","listen":"127.0.0.1:)" << free_port()
        << R"(","discovery":"127.0.0.1:1","seed":"2a","known":{"version":1,"full":true,"servers":[)";
    for (std::size_t i = 0; i < runners; ++i)
        out << (i ? "," : "") << R"({"id":"s-)" << i
            << R"(","addr":"127.0.0.1:1","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1.0,"started_ms":0})";
    out << R"(]},"settings":{"balancers":1,"registry_mode":"on_request","zones":["a"],"kinds":["m"],"workloads":[{"name":"proof","effect":"pure",)"
        << R"("due_time_us":400000,"expiry_us":5000000,"importance":1}]}})";
    return out.str();
}

snapshot::Snapshot make_snapshot(std::int64_t generation, std::size_t runners) {
    snapshot::Snapshot r;
    r.written_ms = unix_ms();
    r.dispatcher = "kept";
    for (std::size_t i = 0; i < runners; ++i)
        r.runners.push_back({"s-" + std::to_string(i), "m", "a", "127.0.0.1:1", generation,
                             snapshot::HistogramBins(20, 1.5F), 0.5, 4, 0.02});
    return r;
}

// How long a dispatcher takes to be there; turns it until it has kept so often, and tells the cost of that.
struct Life {
    double start_ms = 0;
    snapshot::SnapshotStats stats;
};
Life live(const std::string& text, const std::string& folder, std::uint64_t snapshots) {
    net::Loop loop(64);
    std::ostringstream said;
    log::Log log(said, log::Level::error);
    const dispatcher::DispatcherConfig where = dispatcher::DispatcherConfig::read(text);
    dispatcher::DispatcherOptions options;
    options.snapshot.folder = folder;
    options.snapshot.interval = 50'000;
    const Micros begun = net::Loop::now();
    dispatcher::Dispatcher one(loop, where, log, options);
    one.end_turn();
    Life life;
    life.start_ms = static_cast<double>(net::Loop::now() - begun) / 1e3;
    for (const Micros end = begun + 60'000'000; snapshots > 0 && net::Loop::now() < end; usleep(200)) {
        loop.run_once(false);
        one.end_turn();
        if (const snapshot::SnapshotStats* const stats = one.snapshot_stats();
            stats && stats->written + stats->failed >= snapshots) {
            life.stats = *stats;
            break;
        }
    }
    return life;
}

}  // namespace

KeepingFigures measure_keeping(const std::string& folder, std::size_t runners, std::size_t few) {
    KeepingFigures f;
    const std::string all = posting(runners), left = posting(few);
    for (const auto& entry : files::directory_iterator(folder)) files::remove_all(entry.path());
    const double nothing = live(all, "", 0).start_ms, nothing_few = live(left, "", 0).start_ms;
    const Life first = live(all, folder, 5);
    f.took_ms = static_cast<double>(first.stats.duration) / 1e3;
    f.longest_turn_us = static_cast<double>(first.stats.max_loop_blocked);
    const snapshot::SnapshotStore store(folder, "kept");
    f.file_mb = static_cast<double>(files::file_size(store.path())) / 1e6;
    f.start_ms = live(all, folder, 0).start_ms - nothing;
    f.start_with_few_ms = live(left, folder, 0).start_ms - nothing_few;
    return f;
}

KillFigures kill_in_writes(const std::string& folder, int kills, const std::function<bool()>& stop) {
    constexpr std::size_t kRunners = 400;
    KillFigures figures;
    const snapshot::SnapshotStore store(folder, "killed");
    std::int64_t last = 0;
    for (int round = 0; round < kills && !stop(); ++round) {
        const pid_t writer = fork();
        if (writer < 0) break;
        if (writer == 0) {
            for (std::int64_t generation = last + 1;; ++generation)
                store.write(snapshot::encode(make_snapshot(generation, kRunners)));
        }
        usleep(static_cast<useconds_t>(1'000 + 977 * round % 20'000));
        kill(writer, SIGKILL);
        waitpid(writer, nullptr, 0);
        ++figures.kills;
        figures.in_write += files::exists(store.path() + ".new") || files::exists(store.path() + ".link");
        const snapshot::SnapshotStore::LoadResult loaded = store.load();
        if (!loaded.snapshot) {
            loaded.skipped.empty() ? ++figures.none : ++figures.torn;
            continue;
        }
        const std::int64_t generation =
            loaded.snapshot->runners.empty() ? -1 : loaded.snapshot->runners[0].started_ms;
        const bool whole =
            loaded.skipped.empty() && loaded.snapshot->runners.size() == kRunners && generation >= last &&
            std::all_of(loaded.snapshot->runners.begin(), loaded.snapshot->runners.end(),
                        [&](const snapshot::SavedRunner& r) { return r.started_ms == generation; });
        whole ? ++figures.whole : ++figures.torn;
        last = std::max(last, generation);
    }
    return figures;
}

}  // namespace gannethold::rehearsal
