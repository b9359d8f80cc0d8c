#include "cluster/base/settings_file.hpp"

#include <boost/program_options.hpp>
#include <charconv>
#include <sstream>
#include <system_error>

namespace gannethold::cluster {
namespace {

constexpr double kMaxNumber = 1e12;

}  // namespace

leaf::result<SettingsFile> SettingsFile::parse(const std::string& text) {
    namespace po = boost::program_options;
    SettingsFile file;
    try {
        std::istringstream lines(text);
        const po::options_description all_are_unregistered;
        constexpr bool kAllowUnregistered = true;
        for (const auto& option :
             po::parse_config_file(lines, all_are_unregistered, kAllowUnregistered).options)
            if (!option.value.empty()) file.values_[option.string_key] = option.value.front();
    } catch (const po::error& exception) {
        return make_error(ErrorCode::settings_unreadable, exception.what());
    }
    return file;
}

leaf::result<std::string> SettingsFile::required_text(const std::string& name) const {
    std::string value = text(name);
    if (value.empty()) return make_error(ErrorCode::settings_invalid, name + " is missing");
    return value;
}

std::string SettingsFile::text(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? std::string() : found->second;
}

leaf::result<double> SettingsFile::number(const std::string& name, double fallback) const {
    const auto found = values_.find(name);
    if (found == values_.end()) return fallback;
    const std::string& text = found->second;
    const char* const text_end = text.data() + text.size();
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text_end, value);
    const bool in_range = value >= 0 && value <= kMaxNumber;  // false for NaN
    if (error != std::errc() || end != text_end || !in_range)
        return make_error(ErrorCode::settings_invalid,
                          name + " is not a number in the accepted range (0 to 1e12): " + text);
    return value;
}

leaf::result<Micros> SettingsFile::time(const std::string& name, double micros_per_unit,
                                        Micros fallback) const {
    if (!values_.contains(name)) return fallback;
    BOOST_LEAF_AUTO(value, number(name, 0));
    return static_cast<Micros>(value * micros_per_unit);
}

std::map<std::string, std::string> SettingsFile::with_prefix(const std::string& prefix) const {
    std::map<std::string, std::string> found;
    for (const auto& [name, value] : values_)
        if (name.starts_with(prefix)) found[name.substr(prefix.size())] = value;
    return found;
}

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream list(text);
    for (std::string part; std::getline(list, part, ',');)
        if (!part.empty()) parts.push_back(part);
    return parts;
}

}  // namespace gannethold::cluster
