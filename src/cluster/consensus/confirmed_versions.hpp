// The memory of which body was confirmed under which configuration number. It is part of the replicated
// state, so that any later leader answers an order that is sent again as the earlier one did, and never
// confirms two bodies under one number. Bounded: the records of the oldest log entries are forgotten first.
#pragma once

#include <vector>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// Records kept: about 100 KB of memory at 24 bytes each.
constexpr std::size_t kMostConfirmedVersions = 4096;

// The record of that number; nullptr: none is kept.
const ConfirmedVersion* find_confirmed(const std::vector<ConfirmedVersion>& records, Number version);

// Appends a record and forgets the oldest where there are too many.
void add_confirmed(std::vector<ConfirmedVersion>& records, const ConfirmedVersion& record);

// The records of log entries after that index.
std::vector<ConfirmedVersion> confirmed_after(const std::vector<ConfirmedVersion>& records, Number index);

// Whether a number not above the newest one may have been confirmed and forgotten.
bool may_be_forgotten(const std::vector<ConfirmedVersion>& records);

}  // namespace gannethold::cluster
