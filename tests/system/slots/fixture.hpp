// Shared by the tests of the slot table, its parts and the planner: a configured function "f" and two
// proxies.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "cluster/configuration/configuration.hpp"
#include "cluster/slots/proxy_outbox.hpp"
#include "cluster/slots/slot_table.hpp"

namespace gannethold::cluster {

constexpr Session kFirstProxy = 1;
constexpr Session kSecondProxy = 2;

// A configuration with a function "f", whose runners have `slots` slots, and one route to it. With a
// latency_target_ms of 0 the route has the default latency target, for which the planner keeps a runner warm.
inline std::shared_ptr<const Configuration> one_function(int slots = 1, int boot_ms = 1000,
                                                         int latency_target_ms = 0) {
    const std::string latency_target =
        latency_target_ms > 0 ? R"("target_latency_ms":)" + std::to_string(latency_target_ms) + "," : "";
    const std::string text =
        R"({"version":1,"services":[{"name":"f","memory_mb":1024,"boot_duration_ms":)" +
        std::to_string(boot_ms) + R"(,"max_concurrency":)" + std::to_string(slots) +
        R"(}],"routes":[{"name":"r","host":"h","path_prefix":"/","route_kind":"idempotent",)" +
        latency_target + R"("service":"f"}]})";
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::shared_ptr<const Configuration>> { return Configuration::parse(text); },
        [] { return std::shared_ptr<const Configuration>(); });
}

inline RegisterRequest registration(const char* name, const char* zone = "z") {
    RegisterRequest registration;
    registration.name = name;
    registration.zone = zone;
    return registration;
}

inline RunnerInfo runner_info(const std::string& id, const char* zone = "z", const char* worker = "w") {
    return {id, "f", "127.0.0.1:1", zone, worker, 1, 0, true};
}

inline AcquireRequest acquire(std::uint32_t id) { return {id, 0, "f", 1000, 4000, 1, 1, false}; }

// The number of messages of the type to the session.
template <class Type>
std::ptrdiff_t count_of(const ProxyOutbox& outbox, Session to) {
    return std::count_if(outbox.begin(), outbox.end(), [&](const ProxyMessage& message) {
        return message.to == to && std::get_if<Type>(&message.message) != nullptr;
    });
}

// The last message of the type to the session; nullptr if there is none. Valid until the outbox changes.
template <class Type>
const Type* last_of(const ProxyOutbox& outbox, Session to) {
    const Type* last = nullptr;
    for (const ProxyMessage& message : outbox)
        if (message.to == to)
            if (const Type* const match = std::get_if<Type>(&message.message)) last = match;
    return last;
}

// A slot table with function "f" and two registered proxies, without runners.
struct SlotTableFixture {
    explicit SlotTableFixture(const SlotTable::Options& options = {}, int slots = 1) : slot_table(options) {
        slot_table.configure(one_function(slots));
        slot_table.on_proxy_registered(0, kFirstProxy, registration("first"), outbox);
        slot_table.on_proxy_registered(0, kSecondProxy, registration("second"), outbox);
    }
    const Function& function() const { return *slot_table.functions().at("f"); }
    // REQUIRES: there is exactly one runner.
    const RunnerSlots& only_runner() const { return slot_table.runners().begin()->second; }

    ProxyOutbox outbox;
    SlotTable slot_table;
};

}  // namespace gannethold::cluster
