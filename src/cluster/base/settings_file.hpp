// Lines "a.b=value" as a table of texts, and typed access to it.
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

class SettingsFile {
  public:
    // Of a name that stands twice the last value counts. Error: settings_unreadable.
    static leaf::result<SettingsFile> parse(const std::string& text);

    // Error: settings_invalid, where the setting is missing or empty.
    leaf::result<std::string> required_text(const std::string& name) const;
    // Empty where the setting is missing.
    std::string text(const std::string& name) const;
    // Error: settings_invalid, where the value is no number from 0 to 1e12.
    leaf::result<double> number(const std::string& name, double fallback) const;
    // A time that the file gives in a unit of so many microseconds. Errors as of number.
    leaf::result<Micros> time(const std::string& name, double micros_per_unit, Micros fallback) const;
    // The values of all names that begin with the prefix, by the rest of the name.
    std::map<std::string, std::string> with_prefix(const std::string& prefix) const;

  private:
    std::map<std::string, std::string> values_;
};

// The parts of a list with commas; empty parts are left out.
std::vector<std::string> split_list(const std::string& text);

}  // namespace gannethold::cluster
