#include "drain/drain.hpp"

#include <algorithm>

namespace gannethold::drain {
namespace {

constexpr Micros kAfterCall = 200'000;  // for answers of the last call to reach their clients
constexpr Micros kPace = 20'000;        // between two looks while connections are being closed

}  // namespace

const char* name_of(Phase phase) {
    switch (phase) {
        case Phase::serving:
            return "serving";
        case Phase::draining:
            return "draining";
        case Phase::drained:
            return "drained";
        case Phase::leaving:
            return "leaving";
        case Phase::gone:
            return "gone";
    }
    return "unknown";
}

Ruling Drain::refused() const {
    return {false, ticket_, "the order of " + by_ + " stands, ticket " + std::to_string(ticket_)};
}

Ruling Drain::order(Micros now, Micros deadline, std::uint64_t ticket, const std::string& by,
                    const Pace* pace) {
    if (leaves()) return {false, 0, "the dispatcher is leaving for good"};
    if (deadline > now + manners_.longest) return {false, ticket_, "the deadline is more than a day away"};
    if (ordered_ && ticket != ticket_) return refused();
    if (!ordered_ && ticket != 0) return {false, 0, "there is no order with that ticket"};
    if (!ordered_) {
        ordered_ = true;
        ++ticket_;
        since_ = now;
        pace_ = pace ? *pace : manners_;
        phase_ = Phase::draining;
    }
    by_ = by;
    // Moved later, whoever has come meanwhile has its time again; what was answered stays answered.
    called_ = false;
    deadline_ = std::max(deadline, now);
    if (phase_ == Phase::drained) phase_ = Phase::draining;
    return {true, ticket_, ""};
}

Ruling Drain::undo(Micros now, std::uint64_t ticket, const std::string& by) {
    if (leaves()) return {false, 0, "the dispatcher is leaving for good"};
    if (!ordered_) return {false, 0, "there is nothing to undo"};
    if (ticket != 0 ? ticket != ticket_ : by != by_) return refused();
    ordered_ = called_ = false;
    phase_ = Phase::serving;
    since_ = now;
    return {true, ticket_, ""};
}

void Drain::leave(Micros now, Micros deadline, Micros closing_from, Micros closing_takes) {
    if (leaves()) return;
    // Under an order that is already in force the time for the front to notice has been given.
    const bool noticed = ordered_ && now >= this->closing_from();
    phase_ = Phase::leaving;
    // A last call made before the signal stands; what has come since then was turned away.
    deadline_ = ordered_ ? std::min(deadline_, deadline) : deadline;
    ordered_ = false;
    since_ = now;
    leave_closing_takes_ = closing_takes;
    leave_closing_from_ = noticed ? now : closing_from;
    called_ = false;
}

std::optional<Micros> Drain::deadline() const {
    if (phase_ == Phase::serving) return std::nullopt;
    return deadline_;
}

// Before the front can have noticed, who has a connection has no other way; but with a near deadline half of
// the time must do.
Micros Drain::closing_from() const {
    if (phase_ == Phase::leaving) return leave_closing_from_;
    return since_ + std::min(pace_.front_notices, std::max<Micros>(0, deadline_ - since_) / 2);
}

Wanted Drain::look(Micros now, const Left& left) {
    Wanted w;
    if (phase_ == Phase::serving) return w;
    // A signal is heard of by the front through connections that are refused once the process is gone; until
    // it closes, it stays as healthy as it is.
    const Micros from = closing_from();
    const bool closing = now >= from;
    w.healthy = phase_ == Phase::leaving ? !closing : false;
    w.last_answers = closing;
    if (closing) {
        const Micros takes = phase_ == Phase::leaving
                                 ? leave_closing_takes_
                                 : std::min(pace_.closing_takes, std::max<Micros>(0, deadline_ - from) / 2);
        w.idle_to_keep =
            takes > 0 ? std::max(0.0, 1 - static_cast<double>(now - from) / static_cast<double>(takes)) : 0;
    }
    const bool over = now >= deadline_;
    // Whoever comes after the deadline finds nobody who may still answer in time.
    const Micros takes_until =
        phase_ != Phase::leaving && pace_.takes_for > 0 ? since_ + pace_.takes_for : deadline_;
    w.turns_away = over || now >= takes_until;
    if (over && !called_) w.last_call = called_ = true;
    if (phase_ == Phase::leaving) {
        w.exits = (closing && w.idle_to_keep <= 0 && left.tasks == 0 && left.busy == 0) ||
                  now >= std::max(deadline_, since_) + kAfterCall;
        if (w.exits) phase_ = Phase::gone;
    } else {
        // Empty before the deadline it is drained too, as long as nobody comes.
        // Once it is, a front that asks for its health does not make it drain again.
        const bool quiet = left.tasks == 0 && (left.busy == 0 || phase_ == Phase::drained);
        phase_ = quiet && (over || (closing && w.idle_to_keep <= 0)) ? Phase::drained : Phase::draining;
    }
    const Micros next = !closing                                         ? from
                        : w.idle_to_keep > 0 || phase_ == Phase::leaving ? now + kPace
                        : now < takes_until                              ? takes_until
                        : !over                                          ? deadline_
                                                                         : 0;
    w.wake_at =
        next > 0 && !over ? std::min({next, deadline_, takes_until > now ? takes_until : deadline_}) : next;
    return w;
}

}  // namespace gannethold::drain
