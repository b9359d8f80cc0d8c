#include "trial_site.hpp"

namespace gannethold::trial {
namespace {

int network_number = 0;

std::string ip(const std::string& host) { return "127." + std::to_string(network_number) + "." + host; }

}  // namespace

void set_network(int network) { network_number = network; }

std::string platform_address() { return ip("3.1:18300"); }

std::string runner_address(int port) { return ip("4.1:" + std::to_string(port)); }

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

std::string controller_ip(int index) { return ip("1.1" + std::to_string(index)); }

std::string controller_address(int index) { return controller_ip(index) + ":18263"; }

std::string proxy_ip(int index) { return ip("2." + std::to_string(10 + index)); }

std::string proxy_address(int index) { return proxy_ip(index) + ":18269"; }

std::string zone_name(int index) { return "z" + std::to_string(index % kZones); }

}  // namespace gannethold::trial
