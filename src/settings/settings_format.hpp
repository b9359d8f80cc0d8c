// Translates between the operators' names of settings and the internal ones, for every wire and file format.
#pragma once

#include <string_view>

#include "types.hpp"

namespace gannethold::settings {

// Parses lines of name=value, with commas between the items of lists, into internal names.
SettingsMap parse_settings(std::string_view text);

// The operators' name of an internal name, for messages.
std::string external_name(std::string_view internal);

}  // namespace gannethold::settings
