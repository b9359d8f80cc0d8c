#include "model/runner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gannethold::rehearsal {
namespace {

constexpr Micros kColdStep = 100'000;  // a cold runner's speed is taken as constant for so long
constexpr Micros kLongestPast = 20'000'000;
constexpr double kLittle = 0.5;  // microseconds of work: less is done

}  // namespace

Runner::Runner(std::string name, const Build& build, GroupMemory& group, Chance chance)
    : name_(std::move(name)), build_(build), group_(group), chance_(chance) {}

double Runner::warmth(Micros now) const {
    if (started_at_ == 0) return 1;
    const double age =
        static_cast<double>(now - started_at_) / static_cast<double>(std::max<Micros>(1, build_.warm_after));
    return std::min(1.0, build_.cold_from + (1 - build_.cold_from) * std::max(0.0, age));
}

double Runner::capacity(Micros now) const {
    return build_.cores * build_.speed * warmth(now) / trouble.slowness;
}

// What each slot in use gets: a core of its own, or its part where there are fewer cores than slots in use.
double Runner::speed_of_each(Micros now) const {
    if (trouble.hangs || trouble.stalls || slots_out_ <= 0) return 0;
    return build_.speed * warmth(now) / trouble.slowness * std::min(1.0, build_.cores / slots_out_);
}

void Runner::advance(Micros now) {
    const double speed = speed_of_each(last_);
    const auto span = static_cast<double>(now - last_);
    if (span > 0 && speed > 0)
        for (Running& r : running_)
            r.left -= span * speed * std::max(1.0, std::min(r.job.slots, build_.cores));
    last_ = std::max(last_, now);
}

void Runner::apply(Micros now, const Trouble& changed) {
    advance(now);
    trouble = changed;
}

void Runner::take(Micros now, const Job& job, std::vector<Word>& out) {
    if (!up_) return;
    pass(now, out);
    count_cold(now, job, out);
    if (!up_) return;
    if (chance_.happens(trouble.errors)) {
        out.push_back({job.token, job.request, Said::failed, 0});
        return;
    }
    if (job.slots > build_.slots || job.memory > build_.memory || queue_.size() >= build_.queue) {
        // With a free place for it nobody is turned away, however short the queue.
        const bool fits = queue_.empty() && slots_out_ + job.slots <= build_.slots &&
                          memory_out_ + job.memory <= build_.memory;
        if (!fits) {
            out.push_back({job.token, job.request, Said::returned, 0});
            return;
        }
    }
    queue_.push_back(job);
    admit(now, out);
    note_load(now);
}

void Runner::admit(Micros now, std::vector<Word>& out) {
    if (trouble.hangs || trouble.stalls) return;
    while (!queue_.empty()) {
        const Job& first = queue_.front();
        if (slots_out_ + first.slots > build_.slots || memory_out_ + first.memory > build_.memory) return;
        Job job = first;
        queue_.pop_front();
        if (job.fingerprint != 0 && group_.has(job.fingerprint, now)) {
            // Against two effects: somebody in the group has begun it, and answers for both.
            out.push_back({job.token, job.request, Said::dropped, 0});
            continue;
        }
        if (job.fingerprint != 0) group_.begin(job.fingerprint, now + job.repeats_within);
        slots_out_ += job.slots;
        memory_out_ += job.memory;
        out.push_back({job.token, job.request, Said::started, 0});
        Running r{job, static_cast<double>(job.work), kNever};
        if (build_.progress_every > 0) r.next_word = now + build_.progress_every;
        running_.push_back(std::move(r));
    }
}

void Runner::finish_due(Micros now, std::vector<Word>& out) {
    for (std::size_t i = 0; i < running_.size();) {
        Running& r = running_[i];
        if (r.left > kLittle) {
            if (now >= r.next_word) {
                const double whole = std::max(1.0, static_cast<double>(r.job.work));
                out.push_back(
                    {r.job.token, r.job.request, Said::running, std::clamp(1 - r.left / whole, 0.0, 1.0)});
                r.next_word = now + build_.progress_every;
            }
            ++i;
            continue;
        }
        const Said said = chance_.happens(trouble.garbles) ? Said::garbled
                          : chance_.happens(trouble.cuts)  ? Said::cut
                                                           : Said::done;
        out.push_back({r.job.token, r.job.request, said, 1});
        slots_out_ -= r.job.slots;
        memory_out_ -= r.job.memory;
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (running_.empty()) slots_out_ = memory_out_ = 0;  // no dust of additions
}

void Runner::pass(Micros now, std::vector<Word>& out) {
    if (!up_) return;
    // A cold runner gains speed: in steps, so that what it did meanwhile is reckoned by what it was.
    while (last_ < now && warmth(last_) < 1 && now - last_ > kColdStep) {
        advance(last_ + kColdStep);
        finish_due(last_, out);
        admit(last_, out);
    }
    advance(now);
    if (trouble.hangs) return;
    const std::size_t before = out.size();
    finish_due(now, out);
    admit(now, out);
    if (out.size() != before) note_load(now);
}

Micros Runner::next() const {
    if (!up_ || trouble.hangs || running_.empty()) return kNever;
    const double speed = speed_of_each(last_);
    Micros soonest = kNever;
    for (const Running& r : running_) {
        soonest = std::min(soonest, r.next_word);
        if (speed <= 0) continue;
        const double each = speed * std::max(1.0, std::min(r.job.slots, build_.cores));
        soonest = std::min(
            soonest, last_ + std::max<Micros>(1, static_cast<Micros>(std::ceil((r.left - kLittle) / each))));
    }
    if (soonest != kNever && warmth(last_) < 1) soonest = std::min(soonest, last_ + kColdStep);
    return soonest;
}

void Runner::drop(Micros now, std::uint64_t token, std::vector<Word>& out) {
    if (!up_) return;
    pass(now, out);
    std::erase_if(queue_, [&](const Job& j) { return j.token == token; });
    for (std::size_t i = 0; i < running_.size(); ++i) {
        if (running_[i].job.token != token) continue;
        slots_out_ -= running_[i].job.slots;
        memory_out_ -= running_[i].job.memory;
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        break;
    }
    admit(now, out);
    note_load(now);
}

// The cores do nothing else meanwhile: all that runs is set back by its part.
void Runner::connection_made(Micros now) {
    if (build_.handshake <= 0 || running_.empty()) return;
    advance(now);
    const double each = static_cast<double>(build_.handshake) * build_.speed / std::max(1.0, build_.cores);
    for (Running& r : running_) r.left += each;
}

void Runner::count_cold(Micros now, const Job& job, std::vector<Word>& out) {
    if (warmth(now) >= 1) return;
    while (!cold_sent_.empty() && cold_sent_.front().at < now - build_.topple_window) cold_sent_.pop_front();
    cold_sent_.push_back({now, static_cast<double>(job.work) * std::max(1.0, job.slots), job.token});
    double sent = 0;
    for (const Sent& s : cold_sent_) sent += s.work;
    const double able = capacity(now) * static_cast<double>(build_.topple_window);
    if (build_.topples_beyond <= 0 || sent <= build_.topples_beyond * able) return;
    crash(now, out);
    out.push_back({job.token, job.request, Said::broken, 0});
    toppled_ = true;
    fell_by_ = sent / able;
}

std::vector<std::uint64_t> Runner::take_window_tokens() const {
    std::vector<std::uint64_t> tokens;
    for (const Sent& s : cold_sent_) tokens.push_back(s.token);
    return tokens;
}

void Runner::crash(Micros now, std::vector<Word>& out) {
    if (!up_) return;
    advance(now);
    up_ = false;
    for (const Running& r : running_) out.push_back({r.job.token, r.job.request, Said::broken, 0});
    for (const Job& j : queue_) out.push_back({j.token, j.request, Said::broken, 0});
    running_.clear();
    queue_.clear();
    slots_out_ = memory_out_ = 0;
    past_.clear();
}

void Runner::start(Micros now) {
    running_.clear();
    queue_.clear();
    cold_sent_.clear();
    past_.clear();
    slots_out_ = memory_out_ = 0;
    up_ = true;
    toppled_ = false;
    started_at_ = std::max<Micros>(1, now);
    last_ = now;
}

void Runner::note_load(Micros now) {
    if (trouble.reports_late <= 0) {
        past_.clear();
        return;
    }
    const Micros late = std::exchange(trouble.reports_late, 0);
    past_.emplace_back(now, load(now));
    trouble.reports_late = late;
    while (past_.size() > 2 && past_[1].first < now - kLongestPast) past_.pop_front();
}

Load Runner::load(Micros now) const {
    if (trouble.reports_late > 0) {
        Load told;
        told.free = build_.slots, told.free_memory = build_.memory;
        for (const auto& [at, load] : past_)
            if (at <= now - trouble.reports_late) told = load;
        return told;
    }
    Load load;
    load.waiting = static_cast<double>(queue_.size());
    load.held = static_cast<double>(held());
    load.free = std::max(0.0, build_.slots - slots_out_ - load.waiting);
    load.busy = std::min(1.0, slots_out_ / std::max(1.0, build_.cores));
    load.free_memory = std::max(0.0, build_.memory - memory_out_);
    return load;
}

}  // namespace gannethold::rehearsal
