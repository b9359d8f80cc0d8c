#include "orders/spelling.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace gannethold::orders {
namespace {

using Pair = std::pair<std::string_view, std::string_view>;

// Where the wire's words and ours differ; what stands in neither table goes over as it is.
constexpr std::array<Pair, 7> kOurNames{{{"dcs", "zones"},
                                         {"balancers", "dispatchers"},
                                         {"registry_mode", "roster.how"},
                                         {"reporting.names", "reports.names"},
                                         {"reporting.how", "reports.how"},
                                         {"importance_by", "importance.by"},
                                         {"surplus_importance", "importance.surplus"}}};
constexpr std::array<Pair, 3> kOurPrefixes{
    {{"tenants.", "customers."}, {"specifics.", "trade."}, {"score_parts.", "weights."}}};
constexpr std::array<Pair, 3> kOurEffects{
    {{"pure", "idempotent"}, {"token", "fingerprinted"}, {"side_effect", "side-effecting"}}};
constexpr std::array<Pair, 4> kOurReports{
    {{"q", "waiting"}, {"rif", "held"}, {"fail_rate", "errors"}, {"lat_ms", "latency_ms"}}};

template <std::size_t N>
std::string in_our_words(const std::array<Pair, N>& table, std::string_view word) {
    for (const auto& [theirs, ours] : table)
        if (theirs == word) return std::string(ours);
    return std::string(word);
}

std::string our_name(std::string_view name) {
    for (const auto& [theirs, ours] : kOurPrefixes)
        if (name.starts_with(theirs)) return std::string(ours) + std::string(name.substr(theirs.size()));
    return in_our_words(kOurNames, name);
}

std::string our_report_names(const StatedOrders& orders, std::string_view list) {
    std::string ours;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        std::string name = in_our_words(kOurReports, list.substr(0, comma));
        // x0 and x1 are named elsewhere in the settings: free slots at one site, something else at the next.
        if (const auto meant = orders.find("trade.report_" + name); meant != orders.end())
            name = meant->second;
        ours += (ours.empty() ? "" : ",") + name;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return ours;
}

}  // namespace

std::string their_name(std::string_view name) {
    for (const auto& [theirs, ours] : kOurPrefixes)
        if (name.starts_with(ours)) return std::string(theirs) + std::string(name.substr(ours.size()));
    for (const auto& [theirs, ours] : kOurNames)
        if (name == ours) return std::string(theirs);
    return std::string(name);
}

StatedOrders read_lines(std::string_view text) {
    StatedOrders orders;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        if (const auto equals = line.find('='); equals != std::string_view::npos) {
            std::string name = our_name(line.substr(0, equals));
            const auto value = line.substr(equals + 1);
            orders[name] = name.ends_with(".effect") ? in_our_words(kOurEffects, value) : std::string(value);
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (const auto names = orders.find("reports.names"); names != orders.end())
        names->second = our_report_names(orders, names->second);
    return orders;
}

}  // namespace gannethold::orders
