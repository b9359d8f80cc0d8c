// `gannethold snapshot show|verify FILE`.
#pragma once

#include <iosfwd>
#include <string>

#include "snapshot/decay.hpp"

namespace gannethold::snapshot {

enum class PrintDetail {
    summary,  // one line
    full,     // also the content, and its present weight
};

// Prints the content of a snapshot's file. Returns the exit status: 0, or 1 if the file cannot be read; the
// reason is printed to `errors`.
int print_snapshot(const std::string& path, PrintDetail detail, const DecayPolicy& policy, std::ostream& out,
                   std::ostream& errors);

}  // namespace gannethold::snapshot
