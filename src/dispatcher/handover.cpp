// What an old dispatcher sends to the new one at an upgrade, and how the new one applies it. Both run for a
// while: they share the limits evenly, and each keeps within the rules on its own, since the slow-start
// budgets use only half of an even share.
#include "dispatcher/dispatcher.hpp"
#include "snapshot/snapshot_format.hpp"

namespace gannethold::dispatcher {

std::vector<handover::Message> Dispatcher::collect_handover() {
    handover::RunnerConditions conditions;
    for (const RunnerEstimates& r : balancer_.learned_state().runners)
        if (r.ejected_for > 0 || r.warming_for >= 0)
            conditions[book_.name_of(r.runner)] = {r.ejected_for, r.warming_for};
    return {{handover::MessageKind::list, membership::format_endpoint_list(book_.to_list())},
            {handover::MessageKind::runner_conditions, handover::encode(conditions)},
            {handover::MessageKind::learned,
             snapshot::encode(collect_snapshot(0, static_cast<std::size_t>(-1)).snapshot)}};
}

void Dispatcher::on_handover_message(const handover::Message& message) {
    const Micros now = net::Loop::now();
    switch (message.kind) {
        case handover::MessageKind::list: {
            // Discovery may be slow or down, and the old dispatcher may know of drains that this one does not
            // know. A list that this process has received from discovery itself is newer.
            if (has_discovery_list_) return;
            std::optional<membership::EndpointList> listing;
            try {
                listing = membership::parse_endpoint_list(json::parse(message.body));
            } catch (const json::ParseError&) {
            }
            if (!listing) return log_.warning(now, "handover: the list cannot be read");
            apply_listing(*listing, UpdateScope::cached);
            return;
        }
        case handover::MessageKind::runner_conditions:
            handed_over_conditions_ = handover::decode_runner_conditions(message.body);
            return;
        case handover::MessageKind::learned:
            try {
                const std::size_t restored_count = apply_snapshot(snapshot::decode(message.body), {},
                                                                  std::exchange(handed_over_conditions_, {}));
                log_.info(now, "handover: what was learned of ", log::field("runners", restored_count),
                          " runners goes on");
            } catch (const snapshot::FormatError& e) {
                log_.warning(now, "handover: what was learned cannot be read: ", e.what());
            }
            return;
        case handover::MessageKind::greeting:
        case handover::MessageKind::done:
            return;
    }
}

void Dispatcher::on_dispatcher_count(std::size_t others) {
    if (others == other_dispatchers_) return;
    other_dispatchers_ = others;
    log_.info(net::Loop::now(), "handover: ", log::field("others", others),
              " of this name beside this one; limits are shared");
    loop_.block_pool().set_max_blocks(own_share(total_blocks_));
    share_limits();
}

}  // namespace gannethold::dispatcher
