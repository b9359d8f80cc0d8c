#include "cluster/slots/proxy_sessions.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {
namespace {

template <class Item>
void remove_duplicates(std::vector<Item>& items) {
    std::sort(items.begin(), items.end());
    items.erase(std::unique(items.begin(), items.end()), items.end());
}

// Reserves twice the current size, so that the next record does not compact the vector again.
template <class Item>
void reserve_double(std::vector<Item>& items) {
    items.reserve(2 * items.size() + 1);
}

}  // namespace

ProxySession& ProxySessions::open(Session session, const std::string& name, const std::string& zone) {
    ProxySession& proxy = sessions_[session];
    proxy.name = name;
    proxy.zone = zone;
    return proxy;
}

std::optional<ProxySession> ProxySessions::close(Session session) {
    const auto at = sessions_.find(session);
    if (at == sessions_.end()) return std::nullopt;
    std::optional<ProxySession> closed = std::move(at->second);
    sessions_.erase(at);
    return closed;
}

ProxySession* ProxySessions::find(Session session) {
    const auto at = sessions_.find(session);
    return at == sessions_.end() ? nullptr : &at->second;
}

const ProxySession* ProxySessions::find(Session session) const {
    const auto at = sessions_.find(session);
    return at == sessions_.end() ? nullptr : &at->second;
}

void ProxySessions::record_function(Session session, Function& function) {
    ProxySession* const proxy = find(session);
    if (!proxy) return;
    std::vector<Function*>& functions = proxy->functions;
    if (functions.size() == functions.capacity()) {
        remove_duplicates(functions);
        reserve_double(functions);
    }
    functions.push_back(&function);
}

void ProxySessions::record_runner(Session session, std::uint32_t number, const RunnerTable& runners) {
    ProxySession* const proxy = find(session);
    if (!proxy) return;
    std::vector<std::uint32_t>& numbers = proxy->runners;
    if (numbers.size() == numbers.capacity()) {
        remove_duplicates(numbers);
        std::erase_if(numbers, [&](std::uint32_t known) { return !runners.all().contains(known); });
        reserve_double(numbers);
    }
    numbers.push_back(number);
}

}  // namespace gannethold::cluster
