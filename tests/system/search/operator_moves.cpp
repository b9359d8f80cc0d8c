#include "operator_moves.hpp"

#include <algorithm>

namespace gannethold::cluster::simulation {

std::string OperatorMoves::make_mark() { return "m" + std::to_string(++mark_count_); }

void OperatorMoves::send(const SentProposal& proposal, std::size_t core) {
    trace_.add("put " + std::to_string(proposal.version) + " " + std::to_string(core) + " " + proposal.mark);
    cluster_.operators().put(proposal.version, core, proposal.mark);
}

void OperatorMoves::propose(Number version, std::size_t core) {
    sent_.push_back({version, make_mark()});
    send(sent_.back(), core);
}

void OperatorMoves::put(std::size_t core) { propose(++newest_version_, core); }

void OperatorMoves::put_concurrently() {
    const Number version = newest_version_ + 1 + pick_below_(3);
    const std::uint64_t operators = 1 + pick_below_(3);
    const bool same_body = pick_below_(4) == 0;
    const std::string first_mark = make_mark();
    for (std::uint64_t n = 0; n < operators; ++n) {
        sent_.push_back({version, n == 0 || same_body ? first_mark : make_mark()});
        send(sent_.back(), pick_core());
    }
    newest_version_ = std::max(newest_version_, version);
}

void OperatorMoves::resend(std::size_t core) {
    if (sent_.empty()) return;
    // Half of them are of the last few: their answers may be in flight.
    const std::size_t newest = std::min<std::size_t>(sent_.size(), 3);
    const std::size_t back = 1 + (pick_below_(2) == 0 ? pick_below_(newest) : pick_below_(sent_.size()));
    send(sent_[sent_.size() - back], core);
}

void OperatorMoves::put_rival(std::size_t core) {
    if (sent_.empty()) return;
    propose(sent_[pick_below_(sent_.size())].version, core);
}

void OperatorMoves::put_outdated(std::size_t core) {
    if (newest_version_ < 2) return;
    propose(1 + pick_below_(newest_version_), core);
}

void OperatorMoves::move_at(std::size_t core) {
    const std::string name = std::to_string(core);
    switch (pick_below_(8)) {
        case 0:
        case 1:
            put(core);
            break;
        case 2:
            resend(core);
            break;
        case 3:
            put_rival(core);
            break;
        case 4:
            put_outdated(core);
            break;
        case 5:
            put_concurrently();
            break;
        case 6:
            trace_.add("register " + name);
            cluster_.operators().register_proxy(core);
            break;
        default:
            trace_.add("get " + name);
            cluster_.operators().read(core);
            break;
    }
}

}  // namespace gannethold::cluster::simulation
