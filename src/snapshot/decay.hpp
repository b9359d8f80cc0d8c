// How much of what is kept is still believed. No I/O: the time is passed in.
#pragma once

#include <string>

#include "snapshot/snapshot_format.hpp"

namespace gannethold::keepsake {

// What a reader goes by.
struct Prudence {
    std::int64_t half_life_ms = 12 * 3'600'000LL;
    std::int64_t skew_ms =
        300'000;              // a file from so far in the future is taken for one of now; beyond, for none
    double most_samples = 8;  // however much was learned: so many live samples weigh as much
};

// What is known now of a runner that was kept.
struct Present {
    std::string kind, zone, address;
    std::int64_t started_ms = 0;
};

// The part of a belief's weight that is left, from 0 to 1.
double weight_left(std::int64_t written_ms, std::int64_t now_ms, const Prudence& prudence);
// Likewise of one runner: less for another process, place or address, none for another kind of machine.
double weight_left(const KeptRunner& kept, const Present& present, double by_age);

// Scales so that no more than `most` samples' weight, times `weight`, is left.
Bins aged(const Bins& bins, double weight, double most);

}  // namespace gannethold::keepsake
