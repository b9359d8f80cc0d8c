#include "system_processes.hpp"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "trial_site.hpp"

namespace gannethold::trial {
namespace {

constexpr int kPollsForEnd = 100;
constexpr useconds_t kPollInterval = 50'000;

std::string common_settings(const std::string& name, const std::string& ip, const std::string& zone,
                            bool first_start) {
    std::ostringstream text;
    text << "node_name=" << name << "\nip_address=" << ip << "\nzone=" << zone << "\n";
    for (int index = 0; index < kZones; ++index) text << "zones." << zone_name(index) << "=r\n";
    text << "internal_port_range=17680,17695\nseed_addresses=";
    for (int index = 0; index < kControllers; ++index)
        text << (index > 0 ? "," : "") << controller_address(index);
    text << "\ninitial_start=" << (first_start ? "true" : "false")
         << "\nlimits.memory_mb=128\nlimits.file_descriptors=1024\n"
         << "platform_api.address=" << platform_address()
         << "\nplatform_api.rate_per_s=25\nplatform_api.duty_per_s=100\nplatform_api.max_lag_ms=800\n"
         << "bounds.retry_budget_slack=50\nbounds.rejection_slack=10\n";
    return text.str();
}

}  // namespace

std::string SystemProcesses::controller_name(int index) { return "core-" + std::to_string(index); }

std::string SystemProcesses::proxy_name(int index) { return "front-" + std::to_string(index); }

SystemProcesses::SystemProcesses(const std::string& programs, const std::string& folder)
    : programs_(programs), folder_(folder) {
    if (programs.empty()) programs_ = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    if (!folder.empty()) return;
    std::string pattern = std::filesystem::temp_directory_path() / "gannethold-try-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        std::fprintf(stderr, "no folder can be made as %s\n", pattern.c_str());
        std::exit(2);
    }
    folder_ = pattern;
    owns_folder_ = true;
}

SystemProcesses::~SystemProcesses() {
    for (const auto& [name, process] : processes_) ::kill(process, SIGTERM);
    for (const auto& [name, process] : processes_) {
        for (int polls = 0; polls < kPollsForEnd && waitpid(process, nullptr, WNOHANG) == 0; ++polls)
            usleep(kPollInterval);
    }
    if (owns_folder_) std::filesystem::remove_all(folder_);
}

void SystemProcesses::start_controller(int index) {
    const std::string name = controller_name(index);
    const bool first_start = !std::filesystem::exists(folder_ / name);
    start(name, "gannethold-controller", controller_ip(index),
          common_settings(name, controller_ip(index), zone_name(index), first_start) +
              "listen_addresses.control_plane=" + controller_address(index) +
              "\ndata_directory=" + (folder_ / name / "disk").string() + "\n");
}

void SystemProcesses::start_proxy(int index) {
    const std::string name = proxy_name(index);
    start(name, "gannethold-proxy", proxy_ip(index),
          common_settings(name, proxy_ip(index), zone_name(index), true) + "listen_addresses.frontend=" +
              proxy_address(index) + "\nlisten_addresses.readiness=" + proxy_ip(index) + ":18266\n");
}

void SystemProcesses::start(const std::string& name, const std::string& program, const std::string& ip,
                            const std::string& settings) {
    std::filesystem::create_directories(folder_ / name);
    const std::filesystem::path file = folder_ / name / "settings.conf";
    std::ofstream(file) << settings;
    std::string path = programs_ / program;
    std::string settings_flag = "--settings=" + file.string();
    std::string admin_flag = "--admin=" + ip + ":18900";
    char* const arguments[] = {path.data(), settings_flag.data(), admin_flag.data(), nullptr};
    pid_t process = 0;
    if (posix_spawn(&process, path.c_str(), nullptr, nullptr, arguments, environ) != 0) {
        std::fprintf(stderr, "%s can not be started\n", path.c_str());
        std::exit(2);
    }
    processes_[name] = process;
}

void SystemProcesses::kill_controller(int index) {
    const auto at = processes_.find(controller_name(index));
    if (at == processes_.end()) return;
    ::kill(at->second, SIGKILL);
    waitpid(at->second, nullptr, 0);
    processes_.erase(at);
}

void SystemProcesses::send_signal(const std::string& name, int number) const {
    const auto at = processes_.find(name);
    if (at != processes_.end()) ::kill(at->second, number);
}

std::optional<int> SystemProcesses::take_exit_status(const std::string& name) {
    const auto at = processes_.find(name);
    int status = 0;
    if (at == processes_.end() || waitpid(at->second, &status, WNOHANG) != at->second) return std::nullopt;
    processes_.erase(at);
    return status;
}

}  // namespace gannethold::trial
