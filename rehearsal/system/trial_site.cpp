#include "trial_site.hpp"

namespace gannethold::trial {

const std::vector<FunctionSpec>& functions() {
    static const std::vector<FunctionSpec> kAll = {{"preview", 8, 1200, 512, 300, 60, 0.7},
                                                   {"frame", 1, 800, 128, 1500, 80, 0.25},
                                                   {"rare", 1, 800, 128, 1500, 80, 0.05}};
    return kAll;
}

const FunctionSpec* find_function(const std::string& name) {
    for (const FunctionSpec& function : functions())
        if (function.name == name) return &function;
    return nullptr;
}

std::string controller_ip(int index) { return "127.0.1.1" + std::to_string(index); }

std::string controller_address(int index) { return controller_ip(index) + ":18263"; }

std::string proxy_ip(int index) { return "127.0.2.1" + std::to_string(index); }

std::string proxy_address(int index) { return proxy_ip(index) + ":18269"; }

std::string zone_name(int index) { return "z" + std::to_string(index % kZones); }

}  // namespace gannethold::trial
