// JSON values for the status that a process reports to gannethold-explain.
#pragma once

#include <string>

#include "json/json.hpp"
#include "types.hpp"

namespace gannethold::cluster {

/// An integer has no fraction; other numbers have four significant digits.
json::Value json_value(double number);
json::Value json_value(std::string text);
/// Converts a duration to whole milliseconds.
json::Value json_ms(Micros duration);

}  // namespace gannethold::cluster
