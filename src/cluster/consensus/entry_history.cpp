#include "cluster/consensus/entry_history.hpp"

#include <iterator>
#include <string_view>

#include "cluster/configuration/delta.hpp"
#include "cluster/consensus/confirmed_versions.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxBodies = 6;

}  // namespace

void EntryHistory::add(const LogEntry& head, const std::function<bool(const LogPosition&)>& is_needed) {
    payloads_.clear();
    bodies_[head.position] = head.body;
    std::size_t surplus = bodies_.size() > kMaxBodies ? bodies_.size() - kMaxBodies : 0;
    for (auto body = bodies_.begin(); surplus > 0; --surplus)
        body = is_needed(body->first) ? std::next(body) : bodies_.erase(body);
}

std::optional<LogPosition> EntryHistory::previous() const {
    if (bodies_.size() < 2) return std::nullopt;
    return std::prev(bodies_.end(), 2)->first;
}

std::shared_ptr<const std::string> EntryHistory::payload(const LogEntry& head, const LogPosition& base) {
    std::shared_ptr<const std::string>& payload = payloads_[base];
    if (payload) return payload;
    const auto found = bodies_.find(base);
    const std::string_view base_body = found == bodies_.end() ? std::string_view() : found->second;
    EntryPayload content;
    content.version = head.version;
    content.members = head.members;
    content.outgoing_members = head.outgoing_members;
    content.confirmed = confirmed_after(head.confirmed, base.index);
    content.body_delta = make_delta(base_body, head.body);
    payload = std::make_shared<const std::string>(encode_payload(content));
    return payload;
}

}  // namespace gannethold::cluster
