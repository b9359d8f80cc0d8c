#include "settings/settings_format.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace gannethold::settings {
namespace {

using NamePair = std::pair<std::string_view, std::string_view>;  // external, internal

// Names that differ; a name in neither table is used as it is.
constexpr std::array<NamePair, 7> kNames{{{"dcs", "zones"},
                                          {"balancers", "dispatchers"},
                                          {"registry_mode", "roster.how"},
                                          {"reporting.names", "reports.names"},
                                          {"reporting.how", "reports.how"},
                                          {"importance_by", "importance.by"},
                                          {"surplus_importance", "importance.surplus"}}};
constexpr std::array<NamePair, 3> kPrefixes{
    {{"tenants.", "customers."}, {"specifics.", "trade."}, {"score_parts.", "weights."}}};
constexpr std::array<NamePair, 3> kEffects{
    {{"pure", "idempotent"}, {"token", "fingerprinted"}, {"side_effect", "side-effecting"}}};
constexpr std::array<NamePair, 4> kReports{
    {{"q", "waiting"}, {"rif", "held"}, {"fail_rate", "errors"}, {"lat_ms", "latency_ms"}}};

template <std::size_t N>
std::string to_internal(const std::array<NamePair, N>& table, std::string_view name) {
    for (const auto& [external, internal] : table)
        if (external == name) return std::string(internal);
    return std::string(name);
}

std::string internal_name(std::string_view name) {
    for (const auto& [external, internal] : kPrefixes)
        if (name.starts_with(external))
            return std::string(internal) + std::string(name.substr(external.size()));
    return to_internal(kNames, name);
}

std::string internal_report_names(const SettingsMap& settings, std::string_view list) {
    std::string result;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        std::string name = to_internal(kReports, list.substr(0, comma));
        // The meaning of x0 and x1 is a setting of its own, since it differs between sites.
        if (const auto meaning = settings.find("trade.report_" + name); meaning != settings.end())
            name = meaning->second;
        result += (result.empty() ? "" : ",") + name;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return result;
}

}  // namespace

std::string external_name(std::string_view name) {
    for (const auto& [external, internal] : kPrefixes)
        if (name.starts_with(internal))
            return std::string(external) + std::string(name.substr(internal.size()));
    for (const auto& [external, internal] : kNames)
        if (name == internal) return std::string(external);
    return std::string(name);
}

SettingsMap parse_settings(std::string_view text) {
    SettingsMap settings;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        if (const auto equals = line.find('='); equals != std::string_view::npos) {
            std::string name = internal_name(line.substr(0, equals));
            const auto value = line.substr(equals + 1);
            settings[name] = name.ends_with(".effect") ? to_internal(kEffects, value) : std::string(value);
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (const auto names = settings.find("reports.names"); names != settings.end())
        names->second = internal_report_names(settings, names->second);
    return settings;
}

}  // namespace gannethold::settings
