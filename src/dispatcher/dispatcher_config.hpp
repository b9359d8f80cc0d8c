// The platform's configuration of a dispatcher, read at its start and again at a reload.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/address.hpp"
#include "peers/peer_channel.hpp"
#include "membership/endpoint_list.hpp"
#include "types.hpp"

namespace gannethold::dispatcher {

struct DispatcherConfig {
    std::string name;
    net::Address listen, discovery;
    std::optional<int> inherited_listener;  // the clients' listening socket, if the platform holds it
    std::string handover_folder;  // shared with the previous and the next process; empty: no handover
    std::optional<net::Address> admin_address;  // disengaged: no admin server
    peers::PeerAddresses peer_addresses;
    std::uint64_t seed = 0;
    std::size_t memory_mb = 256, sockets = 1024;
    membership::EndpointList known_runners;
    SettingsMap settings;
    std::vector<std::string> report_names;  // as runners spell them
    std::set<std::string> stated_names;  // names that the file states, nested ones included (in "settings")

    std::size_t workload_count() const;

    // The external names of the settings that differ from `other` and take effect only at a restart. The list
    // of runners comes from discovery and the seed is new at each start, so neither is compared.
    std::vector<std::string> restart_only_differences(const DispatcherConfig& other) const;

    // Throws std::runtime_error if a name is missing that the configuration in force states. A default in its
    // place would silently change how tasks are handled.
    void check_states_all_of(const DispatcherConfig& in_force) const;
    // Copies the settings that cannot change while serving from the configuration in force.
    void keep_restart_only_settings(const DispatcherConfig& in_force);

    // Throws std::runtime_error with one line, also if the Balancer could not use the settings.
    static DispatcherConfig read(const std::string& text);
    static DispatcherConfig read_file(const std::string& path);
};

}  // namespace gannethold::dispatcher
