// The sub-commands that control a running dispatcher: status, runners, tasks, failures, drain, undrain, hold,
// release, kick, follow.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::control {

// A sub-command with its arguments, from the command line.
struct Command {
    std::string name, socket, argument, why, by;
    std::optional<double> deadline_s;
    std::optional<std::uint64_t> ticket, after;
    bool json = false, wait = false;
};

// Exit statuses of the sub-commands.
inline constexpr int kDone = 0, kUsage = 2, kRefused = 3, kUnreachable = 4, kUndone = 5, kInterrupted = 130;

bool is_command(const std::string& name);
// Runs a sub-command and returns the exit status. The response is printed to standard output, errors to
// standard error.
int run(const Command& command);

}  // namespace gannethold::control
