#include "cluster/coordinator/configuration_publisher.hpp"

#include <string_view>
#include <utility>

#include "cluster/base/mechanisms.hpp"
#include "cluster/configuration/delta.hpp"

namespace gannethold::cluster {
namespace {

// The number of recent versions that differences can be based on. A proxy with an older version receives the
// newest one in full.
constexpr std::size_t kMaxBases = 8;

}  // namespace

void ConfigurationPublisher::publish(Number version, std::string body) {
    newest_ = version;
    bodies_[version] = std::move(body);
    while (bodies_.size() > kMaxBases) bodies_.erase(bodies_.begin());
    deltas_.clear();
}

std::optional<ConfigurationUpdate> ConfigurationPublisher::next_update(ProxyConfiguration& proxy) {
    if (newest_ == 0 || proxy.acknowledged >= newest_ || proxy.in_flight != 0) return std::nullopt;
    const auto base = bodies_.find(proxy.acknowledged);
    const bool is_complete = base == bodies_.end() || is_off(Mechanism::configuration_delta);
    const Number base_version = is_complete ? 0 : proxy.acknowledged;
    std::string& delta = deltas_[base_version];
    if (delta.empty())
        delta = make_delta(base_version > 0 ? std::string_view{base->second} : std::string_view{},
                           bodies_[newest_]);
    proxy.in_flight = newest_;
    return ConfigurationUpdate{newest_, {base_version, delta}};
}

}  // namespace gannethold::cluster
