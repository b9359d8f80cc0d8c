// What the dispatcher hands on to the one after it, by names that outlive a process, and what it takes over
// from the one before.
#include <algorithm>
#include <chrono>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

keepsake::Bins bins_of(const Histogram& h) { return {h.bins().begin(), h.bins().end()}; }

Histogram histogram_of(const keepsake::Bins& bins, double weight, double most) {
    Histogram h;
    h.take(keepsake::aged(bins, weight, most));
    return h;
}

}  // namespace

keepsake::Keeper::Part Dispatcher::remember(std::size_t from, std::size_t most) const {
    keepsake::Keeper::Part part;
    keepsake::Record& record = part.record;
    record.written_ms = unix_ms();
    record.dispatcher = posting_.name;
    const Lore lore = choice_.lore(from, most);
    if (lore.places > from && lore.places - from > most) part.next = from + most;
    record.usual_cost = lore.usual_cost;
    for (const RunnerLore& r : lore.runners) {
        const std::string& name = book_.name_of(r.runner);
        const roster::Entry* const entry = book_.entry(name);
        if (!entry) continue;
        record.runners.push_back({name, entry->kind, entry->zone, entry->address ? entry->address->text : "",
                                  entry->started_ms, bins_of(r.latency), r.least, r.slots, r.fraction});
    }
    if (from > 0) return part;  // the rest stands in the first
    for (const KindLore& k : lore.kinds) {
        const auto place = static_cast<std::size_t>(k.kind);
        // What no list of kinds names shares the place behind the last.
        record.kinds.push_back(
            {place < book_.kinds().size() ? book_.kinds()[place] : "", bins_of(k.latency), k.weight});
    }
    for (std::size_t i = 0; i < lore.workloads.size(); ++i) {
        const WorkloadId id{static_cast<std::uint32_t>(i)};
        // Of a name that has changed its terms the present ones count.
        const auto in_force = directory_.workloads.find(workload_name(id));
        if (in_force == directory_.workloads.end() || in_force->second == id)
            record.workloads.push_back({workload_name(id), bins_of(lore.workloads[i])});
    }
    const Micros now = net::Loop::now();
    for (const auto& [runner, hold] : holds_.all())
        record.holds.push_back({runner, hold.by, hold.why, record.written_ms - (now - hold.since) / 1000});
    return part;
}

void Dispatcher::recall(const keepsake::Custom& custom) {
    const keepsake::Shelf shelf(custom.folder, posting_.name);
    keeper_ = std::make_unique<keepsake::Keeper>(
        loop_, shelf, custom.every,
        [this](std::size_t from, std::size_t most) { return remember(from, most); },
        [this](const std::string& line, bool good) {
            good ? log_.info(net::Loop::now(), line) : log_.warning(net::Loop::now(), line);
        });
    const keepsake::Shelf::Found found = shelf.take();
    const Micros now = net::Loop::now();
    for (const std::string& why : found.passed_over) log_.warning(now, "keepsake: passed over ", why);
    if (!found.record) {
        recalled_ = found.passed_over.empty() ? "nothing was kept" : "what was kept cannot be read";
        return log_.info(now, "keepsake: ", recalled_);
    }
    const keepsake::Record& record = *found.record;
    const std::size_t believed = take_over(record, custom.prudence, {});
    const double left = keepsake::weight_left(record.written_ms, unix_ms(), custom.prudence);
    recalled_ = std::to_string(believed) + " of " + std::to_string(record.runners.size()) +
                " runners believed, at " + std::to_string(static_cast<int>(left * 100 + 0.5)) + "%";
    log_.info(now, "keepsake: ", log::as("file", found.file), ", ", recalled_, ", ",
              log::as("holds", record.holds.size()), " holds");
}

// How many runners' lore was believed. troubles: of those that are told by one that lives.
std::size_t Dispatcher::take_over(const keepsake::Record& record, const keepsake::Prudence& prudence,
                                  const handover::Troubles& troubles) {
    const Micros now = net::Loop::now();
    const std::int64_t wall = unix_ms();
    const double left = keepsake::weight_left(record.written_ms, wall, prudence);
    Lore lore;
    for (const keepsake::KeptRunner& kept : record.runners) {
        const roster::Entry* const entry = book_.entry(kept.name);
        const auto number = book_.number_of(kept.name);
        if (!entry || !number) continue;
        const double part = keepsake::weight_left(
            kept, {entry->kind, entry->zone, entry->address ? entry->address->text : "", entry->started_ms},
            left);
        if (part <= 0) continue;
        const double mean = 1.0 / static_cast<double>(std::max<std::size_t>(1, record.runners.size()));
        lore.runners.push_back({*number, histogram_of(kept.latency, part, prudence.most_samples), kept.least,
                                1 + (std::max(1.0, kept.slots) - 1) * part,
                                kept.fraction * part + mean * (1 - part)});
        if (const auto trouble = troubles.find(kept.name); trouble != troubles.end())
            lore.runners.back().aside_for = trouble->second.aside_for,
            lore.runners.back().cold_for = trouble->second.cold_for;
    }
    for (const keepsake::KeptKind& kept : record.kinds) {
        const auto place =
            std::find(book_.kinds().begin(), book_.kinds().end(), kept.name) - book_.kinds().begin();
        if (kept.name.empty() && place != static_cast<std::ptrdiff_t>(book_.kinds().size())) continue;
        const Histogram h = histogram_of(kept.latency, left, prudence.most_samples);
        if (h.weight() > 0) lore.kinds.push_back({KindId(static_cast<std::uint32_t>(place)), h, h.weight()});
    }
    lore.workloads.resize(directory_.workloads.size());
    for (const keepsake::KeptWorkload& kept : record.workloads)
        if (const auto id = directory_.workloads.find(kept.name);
            id != directory_.workloads.end() && static_cast<std::size_t>(id->second) < lore.workloads.size())
            lore.workloads[static_cast<std::size_t>(id->second)] =
                histogram_of(kept.latency, left, prudence.most_samples);
    if (left > 0) lore.usual_cost = record.usual_cost;
    if (left > 0) choice_.believe(lore);
    // An operator's order does not fade: whoever was held back is, until somebody releases it.
    for (const keepsake::KeptHold& kept : record.holds)
        if (holds_.add(kept.runner,
                       {now - std::max<std::int64_t>(0, wall - kept.since_ms) * 1000, kept.by, kept.why}))
            heard_anew(kept.runner);
    return lore.runners.size();
}

json::Object Dispatcher::tell_keepsake() const {
    json::Object o;
    o["recalled"] = json::Value(recalled_);
    if (!keeper_) return o;
    const auto whole = [](auto n) { return json::Value(json::Number{std::to_string(n)}); };
    const keepsake::Kept& kept = keeper_->kept();
    o["written"] = whole(kept.written), o["failed"] = whole(kept.failed);
    if (kept.last_at > 0) o["last_ago_ms"] = whole((net::Loop::now() - kept.last_at) / 1000);
    o["held_up_us"] = whole(kept.held_up), o["longest_held_up_us"] = whole(kept.longest_held_up);
    o["took_ms"] = whole(kept.took / 1000);
    if (!kept.last_failure.empty()) o["last_failure"] = json::Value(kept.last_failure);
    return o;
}

}  // namespace gannethold::dispatcher
