// The operators' own file, one table a subsystem. What is missing has a cautious default, and the whole file
// may be: the dispatcher then serves as the platform's configuration says and no more.
#pragma once

#include <string>
#include <vector>

#include "beanstalk/server.hpp"
#include "control/desk.hpp"
#include "drain/drain.hpp"
#include "snapshot/snapshot_scheduler.hpp"
#include "log/log.hpp"
#include "retry/execution_log.hpp"

namespace gannethold::house {

struct HouseRules {
    log::Form log_form = log::Form::plain;
    control::Furniture control;  // an empty path: no control socket
    drain::Manners drain;
    retry::DeduplicationSettings deduplication;
    beanstalk::Furnishing tubes;          // without an entrance it is off
    snapshot::SnapshotSettings snapshot;  // an empty folder: no snapshots
    // Other settings that are watched beside those in force; an empty path: none are.
    struct Watch {
        std::string configuration;
        int every = 16;                // turns, of which one is sampled
        Micros most_a_second = 2'000;  // of the processor's time
    } watch;

    std::vector<std::string> warnings;  // one line for each old name in the file, "file:line: ..."

    // Throws sheets::SheetError: one line with file, line and name.
    static HouseRules read_file(const std::string& path);  // "": no file, all defaults
    static HouseRules read(const std::string& text, const std::string& source);
};

}  // namespace gannethold::house
