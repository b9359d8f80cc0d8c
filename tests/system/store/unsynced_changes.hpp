// A loss of power, as a disk shows it afterwards: each file that was renamed or removed while its folder was
// not synced is found as before the change or as after it, each by itself.
//
// The program that links unsynced_changes.cpp has its own rename(), unlink(), fsync() and fdatasync() in
// place of the C library's; they do the same and write down what a loss of power could undo.
#pragma once

#include <cstddef>
#include <filesystem>

namespace gannethold::cluster::tests {

/// Begins to watch the files directly in that folder; forgets what was written down before.
void watch_folder(const std::filesystem::path& folder);

/// How many changes in the watched folder a loss of power could undo now.
std::size_t unsynced_change_count();

/// Copies the watched folder as it is after a loss of power. Bit n of `kept` tells whether the n-th change
/// that was not synced is kept. REQUIRES: `copy` does not exist.
void copy_after_power_loss(const std::filesystem::path& copy, std::size_t kept);

}  // namespace gannethold::cluster::tests
