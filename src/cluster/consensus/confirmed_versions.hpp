// Records of which configuration was committed under which version. They are part of the replicated state, so
// that a later leader answers a repeated proposal as the earlier leader did, and two configurations are never
// committed under the same version. Their number is bounded: the records of the oldest log entries are
// dropped first.
#pragma once

#include <vector>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// About 100 KB of memory at 24 bytes per record.
constexpr std::size_t kMaxConfirmedVersions = 4096;

// Returns the record of the version, or nullptr if there is none.
const ConfirmedVersion* find_confirmed(const std::vector<ConfirmedVersion>& records,
                                       ConfigurationVersion version);

// Appends a record, and drops the oldest one if there are more than kMaxConfirmedVersions.
void add_confirmed(std::vector<ConfirmedVersion>& records, const ConfirmedVersion& record);

// Returns the records of the log entries after the index.
std::vector<ConfirmedVersion> confirmed_after(const std::vector<ConfirmedVersion>& records, LogIndex index);

// Whether records may have been dropped, so that a version without a record may still have been committed.
bool may_have_dropped_records(const std::vector<ConfirmedVersion>& records);

}  // namespace gannethold::cluster
