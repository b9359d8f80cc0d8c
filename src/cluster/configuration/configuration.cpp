#include "cluster/configuration/configuration.hpp"

namespace gannethold::cluster {
namespace {

// Returns the host in lower case and without port. An IPv6 address keeps its opening bracket, but not the
// closing one.
std::string normalized_host(std::string_view text) {
    std::string host(text.substr(0, text.starts_with('[') ? text.find(']') : text.find(':')));
    for (char& character : host)
        if (character >= 'A' && character <= 'Z') character = static_cast<char>(character - 'A' + 'a');
    return host;
}

}  // namespace

std::string Configuration::route_key(std::string_view host, std::string_view prefix) {
    std::string key = normalized_host(host);
    key += '\n';
    key.append(prefix);
    return key;
}

const Service* Configuration::find_service(std::string_view name) const {
    const auto found = service_by_name_.find(std::string(name));
    return found == service_by_name_.end() ? nullptr : &services_[found->second];
}

const Route* Configuration::find_route(std::string_view host, std::string_view path) const {
    path = path.substr(0, path.find('?'));
    std::string key = route_key(host, path);
    const std::size_t path_begin = key.find('\n') + 1;
    // Prefixes end with a slash, so the path is shortened to its previous slash until a prefix matches.
    for (;;) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < path_begin) return nullptr;
        key.resize(slash + 1);
        const auto found = route_by_key_.find(key);
        if (found != route_by_key_.end()) return &routes_[found->second];
        key.resize(slash);
    }
}

}  // namespace gannethold::cluster
