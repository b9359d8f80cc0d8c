// The controllers and proxies of a trial, as processes with settings and disks in a folder of the trial's
// own.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <optional>
#include <string>

namespace gannethold::trial {

class SystemProcesses {
  public:
    /// `programs`: the folder of the programs; empty: where this program stands. `folder`: for settings and
    /// disks; empty: a new one, which is removed at the end.
    SystemProcesses(const std::string& programs, const std::string& folder);
    SystemProcesses(const SystemProcesses&) = delete;
    SystemProcesses& operator=(const SystemProcesses&) = delete;
    /// Terminates all processes and waits for them, 5 s each at most.
    ~SystemProcesses();

    // Ends this program with status 2 where the process can not be started.
    void start_controller(int index);
    void start_proxy(int index);
    /// With SIGKILL. Its disk stays.
    void kill_controller(int index);
    /// Nothing happens where no process of that name runs.
    void send_signal(const std::string& name, int number) const;
    /// The status of a process that has ended, as waitpid() tells it; asked for once. nullopt: it runs, or
    /// there is none.
    std::optional<int> take_exit_status(const std::string& name);

    static std::string controller_name(int index);
    static std::string proxy_name(int index);

  private:
    void start(const std::string& name, const std::string& program, const std::string& ip,
               const std::string& settings);

    std::filesystem::path programs_;
    std::filesystem::path folder_;
    bool owns_folder_ = false;
    std::map<std::string, pid_t> processes_;  // by name
};

}  // namespace gannethold::trial
