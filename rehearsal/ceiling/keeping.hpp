// What keeping over a restart costs a dispatcher with many runners, and whether kills in the middle of it
// leave a whole file. On the real disk and with real processes; the runners are a list only.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace gannethold::rehearsal {

struct KeepingFigures {
    double file_mb = 0;
    double took_ms = 0;          // from the first part told to the word that it lies on the disk
    double longest_turn_us = 0;  // of the loop, of five keepsakes
    double start_ms = 0;         // of a dispatcher that believes all of it, over one that has nothing to read
    double start_with_few_ms = 0;  // likewise where only so few of the runners are left
};
KeepingFigures measure_keeping(const std::string& folder, std::size_t runners, std::size_t few);

struct KillFigures {
    int kills = 0, in_write = 0, whole = 0, none = 0, torn = 0;
};
// Kills a process with kill -9 that writes one generation after the other, at moments spread over a write.
KillFigures kill_in_writes(const std::string& folder, int kills, const std::function<bool()>& stop);

}  // namespace gannethold::rehearsal
