#include "cluster/controller/controller_status.hpp"

#include <utility>

#include "cluster/status/json_values.hpp"
#include "cluster/transport/message_connection.hpp"

namespace gannethold::cluster {
namespace {

json::Value json_number(Number number) { return json_value(static_cast<double>(number)); }

json::Array member_rows(Micros now, const Settings& settings, const Consensus& consensus) {
    json::Array rows;
    for (const std::string& member : consensus.voters()) {
        const Micros last_contact = consensus.last_contact(member);
        rows.emplace_back(
            json::Object{{"member", json_value(member)},
                         {"itself", json::Value(member == settings.control_plane_address)},
                         {"heard_ms_ago", last_contact > 0 ? json_ms(now - last_contact) : json::Value()}});
    }
    return rows;
}

}  // namespace

json::Value controller_status(Micros now, const std::string& part, const Settings& settings,
                              const Consensus* consensus, const Coordinator* coordinator) {
    json::Object status{{"node", json_value(settings.node_name)},
                        {"role", json_value(std::string("controller"))}};
    if (!consensus) {
        status["state"] = json_value(std::string("its disk can not be used"));
        return json::Value(std::move(status));
    }
    const LogEntry* const committed = consensus->committed_entry();
    status["term"] = json_number(consensus->current_term());
    status["leader"] = json_value(consensus->leader());
    status["leads"] = json::Value(consensus->has_lease(now));
    status["recovering"] = json::Value(consensus->is_recovering());
    status["fence"] = json_number(coordinator ? coordinator->term() : 0);
    status["version"] = json_number(committed ? committed->version : 0);
    status["malformed_lines"] = json_number(MessageConnection::malformed_connections());
    if (part.empty() || part == "core") {
        json::Array rows = member_rows(now, settings, *consensus);
        if (!rows.empty()) status["core"] = json::Value(std::move(rows));
    }
    if (coordinator) coordinator->explain(now, part, status);
    return json::Value(std::move(status));
}

}  // namespace gannethold::cluster
