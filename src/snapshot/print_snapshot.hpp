// `gannethold snapshot show|verify FILE`.
#pragma once

#include <iosfwd>
#include <string>

#include "snapshot/decay.hpp"

namespace gannethold::snapshot {

enum class PrintDetail {
    summary,  // one line
    full,     // and what is in it, and how much of that would count now
};

// Prints what a snapshot's file holds. Returns the exit status: 0, or 1 where the file cannot be read, which
// `errors` says.
int print_snapshot(const std::string& path, PrintDetail detail, const DecayPolicy& policy, std::ostream& out,
                   std::ostream& errors);

}  // namespace gannethold::snapshot
