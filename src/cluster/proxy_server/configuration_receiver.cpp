#include "cluster/proxy_server/configuration_receiver.hpp"

#include <utility>

#include "cluster/configuration/delta.hpp"

namespace gannethold::cluster {

leaf::result<std::shared_ptr<const Configuration>> ConfigurationReceiver::receive(
    const ConfigurationSent& sent, Number version) {
    const bool is_complete = sent.delta.base == 0;
    if (!is_complete && sent.delta.base != version)
        return failure(ErrorCode::bytes_malformed, "a difference to a version that is not held");
    BOOST_LEAF_AUTO(body, apply_delta(is_complete ? std::string() : body_, sent.delta.bytes));
    BOOST_LEAF_AUTO(configuration, Configuration::read(body));
    body_ = std::move(body);
    return configuration;
}

}  // namespace gannethold::cluster
