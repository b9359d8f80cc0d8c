// The operators' settings file, with one table per subsystem (deploy/operator.toml shows all settings).
// Missing settings have conservative defaults. Without the file the dispatcher serves as the platform's
// configuration defines, with no optional subsystem enabled.
#pragma once

#include <string>
#include <vector>

#include "beanstalk/server.hpp"
#include "control/control_server.hpp"
#include "drain/drain.hpp"
#include "log/log.hpp"
#include "retry/execution_log.hpp"
#include "snapshot/snapshot_scheduler.hpp"

namespace gannethold::operator_settings {

// An alternative configuration, whose decisions are compared with the effective ones but never applied.
struct ShadowSettings {
    std::string configuration;          // the path of its file; empty: none
    int sample_interval = 16;           // loop iterations per sampled one
    Micros max_cpu_per_second = 2'000;  // CPU time
};

struct OperatorSettings {
    log::Format log_form = log::Format::plain;
    control::ControlOptions control;  // empty path: no control socket
    drain::DrainSettings drain;
    retry::DeduplicationSettings deduplication;
    beanstalk::ServerSettings tubes;      // no listen address: disabled
    snapshot::SnapshotSettings snapshot;  // empty folder: no snapshots
    ShadowSettings shadow;

    std::vector<std::string> warnings;  // one line for each old name in the file, "file:line: ..."

    // Both throw toml::TomlError, with file, line and name in one line.
    static OperatorSettings read_file(const std::string& path);  // "": no file, all defaults
    static OperatorSettings read(const std::string& text, const std::string& source);
};

}  // namespace gannethold::operator_settings
