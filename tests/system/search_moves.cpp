#include "search_moves.hpp"

#include <algorithm>

namespace gannethold::cluster::played {

void Story::say(const std::string& text) {
    text_ << "at " << static_cast<double>(world_.now() - start_) / 1e6 << " " << text << "\n";
}

std::string OperatorMoves::fresh_mark() { return "m" + std::to_string(++marks_); }

void OperatorMoves::send(const Sent& order, std::size_t core) {
    story_.say("put " + std::to_string(order.version) + " " + std::to_string(core) + " " + order.mark);
    world_.put(order.version, core, order.mark);
}

void OperatorMoves::put(std::size_t core) {
    sent_.push_back({++version_, fresh_mark()});
    send(sent_.back(), core);
}

void OperatorMoves::puts() {
    const Number version = version_ + 1 + pick_(3);
    const std::uint64_t operators = 1 + pick_(3);
    const bool same_body = pick_(4) == 0;
    const std::string first = fresh_mark();
    for (std::uint64_t n = 0; n < operators; ++n) {
        sent_.push_back({version, n == 0 || same_body ? first : fresh_mark()});
        send(sent_.back(), anywhere());
    }
    version_ = std::max(version_, version);
}

void OperatorMoves::resend(std::size_t core) {
    if (sent_.empty()) return;
    // Half of them are of the last few: their answers may be under way.
    const std::size_t newest = std::min<std::size_t>(sent_.size(), 3);
    const std::size_t back = 1 + (pick_(2) == 0 ? pick_(newest) : pick_(sent_.size()));
    send(sent_[sent_.size() - back], core);
}

void OperatorMoves::rival(std::size_t core) {
    if (sent_.empty()) return;
    const Number version = sent_[pick_(sent_.size())].version;
    sent_.push_back({version, fresh_mark()});
    send(sent_.back(), core);
}

void OperatorMoves::overtaken(std::size_t core) {
    if (version_ < 2) return;
    sent_.push_back({1 + pick_(version_), fresh_mark()});
    send(sent_.back(), core);
}

void OperatorMoves::any_at(std::size_t core) {
    const std::string which = std::to_string(core);
    switch (pick_(8)) {
        case 0:
        case 1:
            put(core);
            break;
        case 2:
            resend(core);
            break;
        case 3:
            rival(core);
            break;
        case 4:
            overtaken(core);
            break;
        case 5:
            puts();
            break;
        case 6:
            story_.say("register " + which);
            world_.register_front(core);
            break;
        default:
            story_.say("get " + which);
            world_.get(core);
            break;
    }
}

void OperatorMoves::any() { any_at(anywhere()); }

}  // namespace gannethold::cluster::played
