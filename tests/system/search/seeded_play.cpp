#include "seeded_play.hpp"

namespace gannethold::cluster::simulation {

SeededPlay::SeededPlay(const PlaySetup& setup)
    : random_(setup.random),
      shape_(setup.shape),
      cluster_(shape_),
      trace_(cluster_),
      operators_(cluster_, trace_, [this](std::uint64_t bound) { return pick(bound); }) {
    const double delay_ms = static_cast<double>(shape_.delay) / static_cast<double>(kMicrosPerMilli);
    trace_.add_header("cores " + std::to_string(shape_.cores) + " seeds " + std::to_string(shape_.seeds) +
                      " proxies " + std::to_string(shape_.proxies) + " delay " + std::to_string(delay_ms) +
                      " loss " + std::to_string(shape_.loss) + " seed " + std::to_string(shape_.seed));
}

PlayResult SeededPlay::run() {
    play();
    return {cluster_.violations().found(), trace_.text(), cluster_.digest()};
}

Micros SeededPlay::pick_between(Micros min, Micros max) {
    return min + static_cast<Micros>(pick(static_cast<std::uint64_t>(max - min)));
}

void SeededPlay::kill(std::size_t core) {
    trace_.add("kill " + std::to_string(core));
    cluster_.cores().kill(core);
}

void SeededPlay::wipe(std::size_t core) {
    trace_.add("wipe " + std::to_string(core));
    cluster_.cores().kill(core, true);
}

void SeededPlay::start(std::size_t core) {
    trace_.add("start " + std::to_string(core));
    cluster_.cores().start(core);
}

void SeededPlay::start_all() {
    trace_.add("start all");
    cluster_.cores().start_all();
}

void SeededPlay::crash_at_next_write(std::size_t core) {
    trace_.add("crash-in-write " + std::to_string(core));
    cluster_.cores().crash_at_next_write(core);
}

void SeededPlay::stall(std::size_t core, Micros duration) {
    trace_.add("stall " + std::to_string(core) + " " + seconds_text(duration));
    cluster_.cores().stall(core, duration);
}

void SeededPlay::reset_connection(std::size_t one, std::size_t other) {
    trace_.add("reset " + std::to_string(one) + " " + std::to_string(other));
    cluster_.network().reset_connection(one, other);
}

void SeededPlay::heal() {
    trace_.add("heal");
    cluster_.network().heal();
}

void SeededPlay::expect_nothing_lost() {
    const Number committed = cluster_.cores().committed_version();
    const Number acknowledged = cluster_.checker().acknowledged();
    if (committed < acknowledged)
        report("acknowledged " + std::to_string(acknowledged) + " and committed " +
               std::to_string(committed));
}

void SeededPlay::expect_recovered() {
    if (!cluster_.cores().leader())
        report("no leader after recovery: " + cluster_.cores().describe());
    else
        expect_nothing_lost();
}

}  // namespace gannethold::cluster::simulation
