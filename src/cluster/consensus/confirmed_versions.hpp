// Which configuration was committed under which version. These records are part of the replicated state, so
// that any later leader answers a repeated proposal as the earlier one did, and no two configurations are
// ever committed under one version. Their number is bounded: those of the oldest log entries are dropped.
#pragma once

#include <vector>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// About 100 KB of memory at 24 bytes a record.
constexpr std::size_t kMaxConfirmedVersions = 4096;

// The record of that version; nullptr: none is kept.
const ConfirmedVersion* find_confirmed(const std::vector<ConfirmedVersion>& records,
                                       ConfigurationVersion version);

// Appends a record, and drops the oldest one where there are too many.
void add_confirmed(std::vector<ConfirmedVersion>& records, const ConfirmedVersion& record);

// The records of log entries after that index.
std::vector<ConfirmedVersion> confirmed_after(const std::vector<ConfirmedVersion>& records, LogIndex index);

// Whether the record of a version that is not above the newest one may have been dropped.
bool may_be_forgotten(const std::vector<ConfirmedVersion>& records);

}  // namespace gannethold::cluster
