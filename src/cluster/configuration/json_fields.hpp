// Typed access to the fields of a JSON object, with errors for the operator who wrote it.
// Only for the sources of this folder: it includes simdjson.
#pragma once

#include <simdjson.h>

#include <string>

#include "cluster/base/error.hpp"

namespace gannethold::cluster {

// A configuration_invalid error; where says in which part of the configuration.
leaf::error_id invalid(const std::string& where, const std::string& what);

// Error: configuration_invalid, where the field is missing, empty or no text.
leaf::result<std::string> required_text(const simdjson::dom::object& object, const char* field,
                                        const std::string& where);

// The fallback where the field is missing or null. Error: configuration_invalid, where it is no number, below
// min or over 1e15.
leaf::result<double> number_or(double fallback, const simdjson::dom::object& object, const char* field,
                               const std::string& where, double min);

}  // namespace gannethold::cluster
