// JSON values of what a process tells about itself (gannethold-explain).
#pragma once

#include <string>

#include "json/json.hpp"
#include "types.hpp"

namespace gannethold::cluster {

/// A whole number is written without a fraction, another with four significant digits.
json::Value json_value(double number);
json::Value json_value(std::string text);
/// In whole milliseconds.
json::Value json_ms(Micros span);

}  // namespace gannethold::cluster
