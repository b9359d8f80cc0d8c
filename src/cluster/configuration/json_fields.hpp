// Typed access to the fields of a JSON object, with error messages for operators. Internal to this folder,
// since it includes simdjson.
#pragma once

#include <simdjson.h>

#include <string>

#include "cluster/base/error.hpp"

namespace gannethold::cluster {

// Returns a configuration_invalid error; `where` names the part of the configuration.
leaf::error_id invalid(const std::string& where, const std::string& what);

// Returns the string value of a field. Error: configuration_invalid if it is missing, empty or not a string.
leaf::result<std::string> required_text(const simdjson::dom::object& object, const char* field,
                                        const std::string& where);

// Returns the value of a numeric field, or `fallback` if it is missing or null. Error: configuration_invalid
// if it is not a number, below `min` or above 1e15.
leaf::result<double> number_or(double fallback, const simdjson::dom::object& object, const char* field,
                               const std::string& where, double min);

}  // namespace gannethold::cluster
