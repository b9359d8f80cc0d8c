// The sub-commands that speak to a running dispatcher: status, runners, tasks, failures, drain, undrain,
// hold, release, follow.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::control {

// What was given on the command line.
struct Command {
    std::string name, socket, argument, why, by;
    std::optional<double> deadline_s;
    std::optional<std::uint64_t> ticket, after;
    bool json = false, wait = false;
};

inline constexpr int kDone = 0, kUsage = 2, kRefused = 3, kUnreachable = 4, kUndone = 5, kInterrupted = 130;

bool is_command(const std::string& name);
// The exit status, as above. What is printed goes to standard output, why it was not done to standard error.
int run(const Command& command);

}  // namespace gannethold::control
