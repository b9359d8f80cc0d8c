#include "cluster/proxy_server/configuration_receiver.hpp"

#include <utility>

#include "cluster/configuration/delta.hpp"

namespace gannethold::cluster {

leaf::result<std::shared_ptr<const Configuration>> ConfigurationReceiver::receive(
    const ConfigurationUpdate& update, Number version) {
    const bool is_complete = update.delta.base == 0;
    if (!is_complete && update.delta.base != version)
        return make_error(ErrorCode::bytes_malformed,
                          "the base of the difference is not the current version");
    BOOST_LEAF_AUTO(body, apply_delta(is_complete ? std::string() : body_, update.delta.bytes));
    BOOST_LEAF_AUTO(configuration, Configuration::parse(body));
    body_ = std::move(body);
    return configuration;
}

}  // namespace gannethold::cluster
