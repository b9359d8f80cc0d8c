// A settings file: lines of the form "a.b=value", parsed into a table with typed access.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Factors from a setting's unit to microseconds.
constexpr double kMicrosPerMs = 1e3;
constexpr double kMicrosPerSecond = 1e6;

// The keys and values of a settings file. Immutable after parse().
class SettingsFile {
  public:
    // Parses the text of a file. The last value of a repeated name applies. Error: settings_unreadable.
    static leaf::result<SettingsFile> parse(const std::string& text);

    // Error: settings_invalid if the setting is missing or empty.
    leaf::result<std::string> required_text(const std::string& name) const;
    // Returns an empty text if the setting is missing.
    std::string text(const std::string& name) const;
    // Returns the fallback if the setting is missing. Error: settings_invalid if the value is not a number
    // from 0 to 1e12.
    leaf::result<double> number(const std::string& name, double fallback) const;
    // Returns a duration; micros_per_unit converts the file's unit to microseconds. Errors as for number().
    leaf::result<Micros> time(const std::string& name, double micros_per_unit, Micros fallback) const;
    // Returns the settings whose name begins with the prefix, keyed by the remainder of the name.
    std::map<std::string, std::string> with_prefix(const std::string& prefix) const;

  private:
    std::map<std::string, std::string> values_;
};

// Splits a comma-separated list; empty elements are omitted.
std::vector<std::string> split_list(const std::string& text);

}  // namespace gannethold::cluster
