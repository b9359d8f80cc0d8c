#include "snapshot/snapshot_scheduler.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace gannethold::keepsake {
namespace {

constexpr std::size_t kRunnersATurn = 32;
constexpr Micros kBreath = 5'000;        // between two parts: the loop has more urgent things to do
constexpr Micros kLook = 50'000;         // for the scribe's answer
constexpr Micros kLongest = 20'000'000;  // a disk that takes longer is as good as none
constexpr unsigned kMostDoublings = 4;

}  // namespace

Keeper::Keeper(net::Loop& loop, const Shelf& shelf, Micros every,
               std::function<Part(std::size_t, std::size_t)> part,
               std::function<void(const std::string&, bool)> heard)
    : shelf_(shelf),
      every_(every),
      part_(std::move(part)),
      heard_(std::move(heard)),
      claim_(shelf.path() + ".lock"),
      scribe_(std::make_unique<Scribe>(shelf)),
      timer_(loop, [this] { turn(); }) {
    timer_.set(net::Loop::now() + every_);
    claimed();  // who comes second is told at once
}

Micros Keeper::pace(Micros every, unsigned failed_in_a_row) {
    return every << std::min(failed_in_a_row, kMostDoublings);
}

bool Keeper::claimed() {
    const std::string why = claim_.hold();
    if (!why.empty()) failed(why);
    return why.empty();
}

void Keeper::begin() {
    if (busy() || !claimed()) return;
    // It can only have been killed from outside; a new one costs the loop a copy of its page tables.
    if (!scribe_ || !scribe_->alive()) scribe_ = std::make_unique<Scribe>(shelf_);
    if (!scribe_->alive()) return failed("keepsake: no process can be started");
    stage_ = Stage::telling;
    from_ = 0;
    began_ = net::Loop::now();
    kept_.held_up = 0;
    tell_more();
}

void Keeper::turn() {
    if (stage_ == Stage::resting) return begin();
    const Micros now = net::Loop::now();
    if (now - began_ > kLongest) {
        scribe_ = std::make_unique<Scribe>(shelf_);
        return failed("keepsake: the disk takes too long");
    }
    if (stage_ == Stage::telling) return tell_more();
    if (const auto answer = scribe_->answer()) return answer->empty() ? succeeded() : failed(*answer);
    timer_.set(now + kLook);
}

void Keeper::tell_more() {
    const Micros now = net::Loop::now();
    if (scribe_->pushed()) {
        const Part part = part_(from_, kRunnersATurn);
        scribe_->tell(part.record, part.next == 0);
        scribe_->pushed();
        from_ = part.next;
        if (from_ == 0) stage_ = Stage::waiting;
    } else if (!scribe_->alive()) {
        return failed("keepsake: the writing process has ended");
    }
    kept_.held_up = std::max(kept_.held_up, net::Loop::now() - now);
    kept_.longest_held_up = std::max(kept_.longest_held_up, kept_.held_up);
    timer_.set(net::Loop::now() + kBreath);
}

void Keeper::succeeded() {
    stage_ = Stage::resting;
    ++kept_.written;
    kept_.last_at = net::Loop::now();
    kept_.took = kept_.last_at - began_;
    kept_.last_failure.clear();
    if (std::exchange(kept_.failed_in_a_row, 0) > 0) heard_("keepsake: kept again", true);
    timer_.set(std::max(began_ + every_, kept_.last_at + kBreath));
}

void Keeper::failed(const std::string& why) {
    stage_ = Stage::resting;
    ++kept_.failed;
    ++kept_.failed_in_a_row;
    const Micros wait = pace(every_, kept_.failed_in_a_row);
    // Once for each reason: a disk that stays full says nothing new every half minute.
    if (std::exchange(kept_.last_failure, why) != why)
        heard_(why + "; service goes on, and it is tried again more rarely", false);
    timer_.set(net::Loop::now() + wait);
}

void Keeper::keep_now() {
    // The one under way is of before; two at once would write the same file aside.
    scribe_.reset();
    stage_ = Stage::resting;
    timer_.cancel();
    if (!claimed()) return timer_.cancel();
    try {
        const Part all = part_(0, static_cast<std::size_t>(-1));
        shelf_.put(spell(all.record));
        ++kept_.written;
        kept_.last_at = net::Loop::now();
    } catch (const std::exception& e) {
        failed(e.what());
        timer_.cancel();
    }
}

}  // namespace gannethold::keepsake
