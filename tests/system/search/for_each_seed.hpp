// Runs seeds on all processors.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace gannethold::cluster::simulation {

struct SeedRange {
    std::uint64_t first = 1;
    std::uint64_t count = 0;
};

/// Calls visit(seed) once for each seed, from several threads at the same time.
template <class Visit>
void for_each_seed(const SeedRange& range, const Visit& visit) {
    std::atomic<std::uint64_t> next{range.first};
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < std::max(1U, std::thread::hardware_concurrency()); ++n)
        threads.emplace_back([&] {
            for (std::uint64_t seed = next++; seed < range.first + range.count; seed = next++) visit(seed);
        });
    for (std::thread& thread : threads) thread.join();
}

}  // namespace gannethold::cluster::simulation
