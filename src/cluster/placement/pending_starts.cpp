#include "cluster/placement/pending_starts.hpp"

#include <utility>

namespace gannethold::cluster {

void PendingStarts::add(PendingStart start) {
    const std::string nonce = start.start.nonce;
    nonces_[start.start.service].push_back(nonce);
    by_nonce_[nonce] = std::move(start);
}

void PendingStarts::remove(const std::string& nonce) {
    const auto at = by_nonce_.find(nonce);
    if (at == by_nonce_.end()) return;
    const auto nonces = nonces_.find(at->second.start.service);
    std::erase(nonces->second, nonce);
    if (nonces->second.empty()) nonces_.erase(nonces);
    by_nonce_.erase(at);
}

PendingStart* PendingStarts::find(const std::string& nonce) {
    const auto at = by_nonce_.find(nonce);
    return at == by_nonce_.end() ? nullptr : &at->second;
}

std::size_t PendingStarts::count(const std::string& service) const {
    const auto at = nonces_.find(service);
    return at == nonces_.end() ? 0 : at->second.size();
}

std::vector<std::string> PendingStarts::workers_of(const std::string& service) const {
    std::vector<std::string> workers;
    const auto at = nonces_.find(service);
    if (at == nonces_.end()) return workers;
    for (const std::string& nonce : at->second) workers.push_back(by_nonce_.at(nonce).start.worker);
    return workers;
}

}  // namespace gannethold::cluster
