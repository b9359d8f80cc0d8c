#include "scale/system.hpp"

#include <stdlib.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace gannethold::scale {
namespace {

constexpr int kDescriptors = 8192;

std::string new_folder() {
    std::string name = std::filesystem::temp_directory_path().string() + "/gannethold-scale-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder for settings and disks");
    return name;
}

}  // namespace

System::System(const Options& options, const Addresses& addresses, std::string programs)
    : options_(options), addresses_(addresses), programs_(std::move(programs)), folder_(new_folder()) {
    controllers_.resize(static_cast<std::size_t>(options_.controllers));
    for (int number = 0; number < options_.controllers; ++number) start_controller(number);
    proxies_.resize(static_cast<std::size_t>(options_.real_proxies));
    for (int number = 0; number < options_.real_proxies; ++number) start_proxy(number);
}

System::~System() {
    controllers_.clear();
    proxies_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string System::settings_of(const std::string& name, bool controller, int number) {
    const std::string place = folder_ + "/" + name;
    const bool first = !std::filesystem::exists(place);
    std::filesystem::create_directories(place);
    const std::string ip = controller ? addresses_.controller_ip(number) : addresses_.proxy_ip(number);
    std::ofstream out(place + "/settings.conf");
    out << "node_name=" << name << "\nip_address=" << ip << "\nzone=z" << number % options_.zones << "\n";
    for (int zone = 0; zone < options_.zones; ++zone) out << "zones.z" << zone << "=r" << zone % 2 << "\n";
    out << "internal_port_range=" << kInternalPort << "," << kInternalPort + 15 << "\nseed_addresses=";
    for (int core = 0; core < options_.controllers; ++core)
        out << (core > 0 ? "," : "") << addresses_.control(core);
    out << "\ninitial_start=" << (first ? "true" : "false") << "\nlimits.memory_mb=" << options_.memory_mb
        << "\nlimits.file_descriptors=" << kDescriptors << "\nplatform_api.address=" << addresses_.platform()
        << "\nplatform_api.rate_per_s=" << options_.list_rate
        << "\nplatform_api.duty_per_s=" << options_.duty_rate
        << "\nplatform_api.max_lag_ms=800\nbounds.retry_budget_slack=50\nbounds.rejection_slack=10\n";
    if (controller)
        out << "listen_addresses.control_plane=" << addresses_.control(number) << "\ndata_directory=" << place
            << "/disk\n";
    else
        out << "listen_addresses.frontend=" << addresses_.frontend(number)
            << "\nlisten_addresses.readiness=" << addresses_.readiness(number) << "\n";
    return place + "/settings.conf";
}

void System::start_controller(int number) {
    const std::string name = "controller-" + std::to_string(number);
    const std::string settings = settings_of(name, true, number);
    controllers_[static_cast<std::size_t>(number)] = std::make_unique<Process>(
        std::vector<std::string>{programs_ + "/gannethold-controller", "--settings=" + settings},
        folder_ + "/" + name + ".log");
}

void System::start_proxy(int number) {
    const std::string name = "proxy-" + std::to_string(number);
    const std::string settings = settings_of(name, false, number);
    proxies_[static_cast<std::size_t>(number)] = std::make_unique<Process>(
        std::vector<std::string>{programs_ + "/gannethold-proxy", "--settings=" + settings},
        folder_ + "/" + name + ".log");
}

void System::kill_controller(int number) { controllers_[static_cast<std::size_t>(number)]->kill(); }

void System::pause_controller(int number, bool paused) {
    controllers_[static_cast<std::size_t>(number)]->signal(paused ? SIGSTOP : SIGCONT);
}

std::vector<Usage> System::controllers() const {
    std::vector<Usage> all;
    for (const auto& process : controllers_) all.push_back(process->usage());
    return all;
}

std::vector<Usage> System::proxies() const {
    std::vector<Usage> all;
    for (const auto& process : proxies_) all.push_back(process->usage());
    return all;
}

std::vector<std::string> System::ended_by_themselves() {
    std::vector<std::string> names;
    for (std::size_t number = 0; number < controllers_.size(); ++number)
        if (controllers_[number]->ended_by_itself()) names.push_back("controller-" + std::to_string(number));
    for (std::size_t number = 0; number < proxies_.size(); ++number)
        if (proxies_[number]->ended_by_itself()) names.push_back("proxy-" + std::to_string(number));
    return names;
}

}  // namespace gannethold::scale
