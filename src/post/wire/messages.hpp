// What the system's own processes say to each other, as plain values; codec.hpp turns them to bytes and back.
// Core machines are named by their control_plane address, runners by their runner_id.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gannethold::post {

using Number = std::uint64_t;

// Where an accepted state stands among all others: later terms first, then later indexes.
struct Stamp {
    Number term = 0, index = 0;
    friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

// The core's whole shared state. Each change is a new one; the newest that a majority holds is in force.
struct Entry {
    Stamp stamp;
    Number version = 0;                // of the configuration; 0: none yet
    std::vector<std::string> members;  // of the core
    std::string body;                  // the configuration as the operator sent it
};

// A body as the difference to one that the receiver holds; whole where base is nothing.
struct Patch {
    Number base = 0;  // for the core: the index; for fronts: the version. 0: whole
    std::string bytes;
};

// ---- among the core ----
struct Ballot {
    Number term = 0;
    Stamp held;
    bool trial = false;   // would you? Nothing is promised by asking
    bool handed = false;  // the leader itself asked for it
};
struct Vote {
    Number term = 0;
    bool granted = false, trial = false;
};
struct Order {
    Number term = 0, round = 0;
    Stamp head, settled;  // what the leader holds; what a majority holds
    bool carries = false;
    Number version = 0;  // with the rest, if it carries the head
    std::vector<std::string> members;
    Stamp base;
    Patch patch;
};
struct Receipt {
    Number term = 0, round = 0;
    Stamp held;
};
struct Inquiry {
    Number nonce = 0;
};
struct Recollection {
    Number nonce = 0, term = 0;
    std::string leader;  // as far as it knows
    Entry entry;
};
struct Admission {};  // let me in
struct Succession {   // campaign at once: the leader leaves
    Number term = 0;
};

// ---- between fronts and the core ----
struct Holding {
    std::string runner, service, address, zone, worker;
    std::uint32_t slots = 1, out = 0;
    bool up = false;
};
struct Load {  // of one free function at one front, since its last report
    std::string service;
    std::uint32_t count = 0, busy_ms = 0;  // requests; time that they took together
};
struct Greeting {
    std::string name, zone;
    Number incarnation = 0, version = 0;
    std::vector<Holding> holdings;
    std::vector<Load> free;  // functions whose slots it takes unasked, and its part of each in the last second
};
struct Referral {  // not me
    std::string leader;
};
struct Welcome {
    Number term = 0;
    std::uint32_t rank = 0, fronts = 1;
    std::vector<std::string> members;
};
struct ConfigurationSent {
    Number version = 0;
    Patch patch;
};
struct ConfigurationHeld {
    Number version = 0;
};
enum class RunnerState : std::uint8_t { starting, ready, gone };
struct RunnerTold {
    std::uint32_t number = 0;  // for short, in this term
    RunnerState state = RunnerState::gone;
    Holding runner;
    bool watch = false;  // say when it can be reached
};
struct Ask {
    std::uint32_t id = 0, drawn = 0;  // drawn: the runner's number, 0: none
    std::string service;
    std::uint32_t aim_ms = 0, deadline_ms = 0;  // what is left of each
    std::uint8_t priority = 0;
    std::uint16_t shape = 0;  // of the work, by route: what has one shape takes alike long
    bool again = false;       // a second runner for the same request
};
enum class WaitedFor : std::uint8_t { nothing, start, slot, memory };  // memory: a start that no worker has room for
struct Grant {
    std::uint32_t id = 0, runner = 0;
    WaitedFor waited = WaitedFor::nothing;
};
struct Denial {
    std::uint32_t id = 0, retry_ms = 0;
    WaitedFor waited = WaitedFor::nothing;
};
enum class Ended : std::uint8_t { unused, answered, failed, turned_away, unreachable, gone };
struct Release {
    std::uint32_t id = 0, runner = 0;
    Ended how = Ended::unused;
    std::uint32_t took_ms = 0;
};
struct Up {
    std::uint32_t runner = 0;
    bool up = false;  // false: given up
};
// How a function's slots are kept. Free: there is so much room that each front sends where its fractions say, unasked.
struct Mode {
    std::string service;
    bool free = false;
};
struct Loads {
    std::uint32_t span_ms = 0;
    std::vector<Load> loads;
};
struct Outs {  // what a front has out of a function that is no longer free; each is released when it ends
    std::vector<std::pair<std::uint32_t, std::uint32_t>> by_runner;  // number, count
};
struct Beat {};

using Message = std::variant<Ballot, Vote, Order, Receipt, Inquiry, Recollection, Admission, Succession, Greeting, Referral,
                             Welcome, ConfigurationSent, ConfigurationHeld, RunnerTold, Ask, Grant, Denial, Release, Up, Beat, Mode, Loads, Outs>;

}  // namespace gannethold::post
