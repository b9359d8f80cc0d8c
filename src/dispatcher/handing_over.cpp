// What an old dispatcher hands to the new one at an upgrade, and what the new one does with it. Both live for
// a while: they share the limits evenly, and each keeps the rules by itself, since the budgets for cold
// runners leave half of an even part.
#include "dispatcher/dispatcher.hpp"
#include "snapshot/snapshot_format.hpp"

namespace gannethold::dispatcher {

std::vector<handover::Word> Dispatcher::hand_over() {
    handover::Troubles troubles;
    for (const RunnerEstimates& r : balancer_.learned_state().runners)
        if (r.ejected_for > 0 || r.warming_for >= 0)
            troubles[book_.name_of(r.runner)] = {r.ejected_for, r.warming_for};
    return {{handover::Kind::list, membership::format_endpoint_list(book_.to_list())},
            {handover::Kind::troubles, handover::spell(troubles)},
            {handover::Kind::learned,
             snapshot::encode(collect_snapshot(0, static_cast<std::size_t>(-1)).snapshot)}};
}

void Dispatcher::handed(const handover::Word& word) {
    const Micros now = net::Loop::now();
    switch (word.kind) {
        case handover::Kind::list: {
            // Against a discovery that is slow or down: the old one may know of drains that this one does
            // not. What discovery has said to this one itself is newer.
            if (list_is_own_) return;
            std::optional<membership::EndpointList> listing;
            try {
                listing = membership::parse_endpoint_list(json::parse(word.body));
            } catch (const json::ParseError&) {
            }
            if (!listing) return log_.warning(now, "handover: the list cannot be read");
            heard(*listing, UpdateScope::cached);
            return;
        }
        case handover::Kind::troubles:
            troubles_ = handover::read_troubles(word.body);
            return;
        case handover::Kind::learned:
            try {
                const std::size_t believed =
                    apply_snapshot(snapshot::decode(word.body), {}, std::exchange(troubles_, {}));
                log_.info(now, "handover: what was learned of ", log::field("runners", believed),
                          " runners goes on");
            } catch (const snapshot::FormatError& e) {
                log_.warning(now, "handover: what was learned cannot be read: ", e.what());
            }
            return;
        case handover::Kind::greeting:
        case handover::Kind::done:
            return;
    }
}

void Dispatcher::company(std::size_t others) {
    if (others == others_) return;
    others_ = others;
    log_.info(net::Loop::now(), "handover: ", log::field("others", others),
              " of this name beside this one; limits are shared");
    loop_.block_pool().set_max_blocks(own_part(all_blocks_));
    share_out();
}

}  // namespace gannethold::dispatcher
