// What is believed, put the wrong way round: the quickest runner's beliefs go to the slowest and so on. For
// both lanes, each with its own form of a belief.
#pragma once

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace gannethold::rehearsal {

// mean: how slow one is believed to be; swap: exchanges what is believed of two, not who they are.
template <class One, class Mean, class Swap>
void put_wrong_way_round(std::vector<One>& all, Mean mean, Swap swap) {
    std::vector<std::size_t> order(all.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return mean(all[a]) < mean(all[b]); });
    for (std::size_t i = 0; i < order.size() / 2; ++i) swap(all[order[i]], all[order[order.size() - 1 - i]]);
}

// The mean bin of a histogram in any form; enough to order them.
template <class Bins>
double middle_bin(const Bins& bins) {
    double sum = 0, n = 0, place = 0;
    for (const float b : bins) sum += b * place, n += b, ++place;
    return n > 0 ? sum / n : 0;
}

template <class One>
void swap_beliefs(One& a, One& b) {
    std::swap(a.latency, b.latency);
    std::swap(a.min_latency, b.min_latency), std::swap(a.slots, b.slots), std::swap(a.fraction, b.fraction);
}

}  // namespace gannethold::rehearsal
