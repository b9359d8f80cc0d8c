// The members of a World: its cores with their disks, its fronts and its runners. For the files of World
// only.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "world.hpp"

namespace gannethold::cluster::played {

// How long after its start or end the platform's list shows a runner.
constexpr Micros kListLag = 800'000;
constexpr Micros kCallLimit = 1'200'000;  // of the leader's, for a call to the platform
// How long a front does without its coordinator before it takes it for lost.
constexpr Micros kReach = 800'000;

struct World::Core {
    std::string name;
    bool up = false, disk_works = true, crash = false;
    Number life = 0;
    PersistentState disk;
    std::optional<Consensus> consensus;
    LogPosition checked;  // the newest committed entry that was looked at
    LogPosition synced;   // the newest that was ever on a disk at this address
    bool retired = false, restarts = false;
    Micros ends_by = 0;  // it leaves, and ends no later; 0: it stays
    Micros stalled_until = 0, reopen_at = 0;
    struct Coordinator {
        Number term = 0;
        SlotTable slot_table;
        Planner planner;
        RunnerListPoller list_poller;
        std::set<std::size_t> fronts;
        Number version = 0;
        Micros next = 0;
        std::size_t priority_inversions = 0;  // looked at
        Coordinator(Number t, const SlotTable::Options& b, const Planner::Options& p, Micros now)
            : term(t), slot_table(b), planner(p, now), list_poller({.max_pages_per_s = 20}, now) {}
    };
    std::unique_ptr<Coordinator> coordinator;
    bool first = true;
};

struct World::Front {
    std::string name, zone;
    std::unique_ptr<RequestHandler> handler;
    bool up = true, off = false;
    bool accepts = true;
    Shutdown shutdown;
    std::optional<std::size_t> core;  // its session
    Number core_life = 0, term = 0, life = 0;
    Session session = 0;
    Micros heard = 0, next = 0;
    std::size_t next_core = 0;
    Number best_version = 0;
    std::map<std::string, Micros> watches;
};

struct World::Runner {
    std::string id, service, address, worker, zone;
    std::uint32_t slots = 1, busy = 0;
    Micros ready_at = 0, listed_at = 0, ended_at = 0;
    bool draining = false, ended = false;
    Micros ended_seen() const { return ended_at + kListLag; }
};

}  // namespace gannethold::cluster::played
