// Simulates the state of a disk after a power loss. Each rename or removal of a file that was not followed by
// a sync of its folder may be undone, independently of the others.
//
// unsynced_changes.cpp replaces the C library's rename(), unlink(), fsync() and fdatasync() in the program
// that links it. The replacements call the originals and record the changes that a power loss could undo.
#pragma once

#include <cstddef>
#include <filesystem>

namespace gannethold::cluster::tests {

/// Starts to record changes of the files directly in the folder, and discards earlier records.
void watch_folder(const std::filesystem::path& folder);

/// The number of changes in the watched folder that a power loss could undo now.
std::size_t unsynced_change_count();

/// Copies the watched folder in its state after a power loss. The n-th unsynced change is kept if bit n of
/// `kept` is set, and undone otherwise. REQUIRES: `copy` does not exist.
void copy_after_power_loss(const std::filesystem::path& copy, std::size_t kept);

}  // namespace gannethold::cluster::tests
