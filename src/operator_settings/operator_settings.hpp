// The operators' own file, one table a subsystem (deploy/operator.toml shows all of it). Whatever is missing
// has a cautious default, and so may the file be: the dispatcher then serves as the platform's configuration
// says, and no more.
#pragma once

#include <string>
#include <vector>

#include "beanstalk/server.hpp"
#include "control/desk.hpp"
#include "drain/drain.hpp"
#include "log/log.hpp"
#include "retry/execution_log.hpp"
#include "snapshot/snapshot_scheduler.hpp"

namespace gannethold::operator_settings {

// Other settings, whose decisions are counted beside those in force and never acted upon.
struct ShadowSettings {
    std::string configuration;          // its file; empty: none
    int sample_interval = 16;           // turns of the loop, of which one is sampled
    Micros max_cpu_per_second = 2'000;  // of the processor's time
};

struct OperatorSettings {
    log::Form log_form = log::Form::plain;
    control::Furniture control;  // an empty path: no control socket
    drain::Manners drain;
    retry::DeduplicationSettings deduplication;
    beanstalk::Furnishing tubes;          // without an address to listen at: off
    snapshot::SnapshotSettings snapshot;  // an empty folder: no snapshots
    ShadowSettings shadow;

    std::vector<std::string> warnings;  // one line for each old name in the file, "file:line: ..."

    // Both throw toml::TomlError: one line with file, line and name.
    static OperatorSettings read_file(const std::string& path);  // "": no file, all defaults
    static OperatorSettings read(const std::string& text, const std::string& source);
};

}  // namespace gannethold::operator_settings
