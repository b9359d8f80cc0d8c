// Runs one of the system's programs as a child process of a test.
#pragma once

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace gannethold::cluster {

/// A child process with its own settings file and data directory. The destructor kills the process and
/// removes its files.
class Program {
  public:
    /// Starts the program with the given settings. A `pending_signal` other than 0 is blocked at the start
    /// and sent at once, so that it is pending before the program's first instruction.
    Program(const char* path, const std::string& settings, int pending_signal = 0) {
        static int started = 0;
        folder_ = std::filesystem::temp_directory_path() /
                  ("gannethold-calls-" + std::to_string(getpid()) + "-" + std::to_string(++started));
        std::filesystem::create_directories(folder_);
        const std::string file = folder_ / "settings.conf";
        std::ofstream(file) << settings << "data_directory=" << (folder_ / "disk").string() << "\n";
        std::string program = path;
        std::string settings_flag = "--settings=" + file;
        char* const arguments[] = {program.data(), settings_flag.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        sigset_t blocked;
        sigemptyset(&blocked);
        if (pending_signal != 0) sigaddset(&blocked, pending_signal);
        posix_spawnattr_setsigmask(&attributes, &blocked);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        BOOST_REQUIRE(posix_spawn(&process_, path, &actions, &attributes, arguments, environ) == 0);
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&actions);
        if (pending_signal != 0) kill(process_, pending_signal);
    }
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;
    ~Program() {
        if (!exit_status().has_value()) {
            kill(process_, SIGKILL);
            waitpid(process_, nullptr, 0);
        }
        std::filesystem::remove_all(folder_);
    }
    /// REQUIRES: the process has not exited.
    void send_signal(int number) const { kill(process_, number); }
    /// Returns the status from waitpid(); nullopt while the process runs.
    std::optional<int> exit_status() {
        int status = 0;
        if (!status_ && waitpid(process_, &status, WNOHANG) == process_) status_ = status;
        return status_;
    }
    /// Returns the resident memory in KiB; 0 if it can not be read.
    long resident_kb() const {
        std::ifstream status("/proc/" + std::to_string(process_) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with("VmRSS:")) return std::stol(line.substr(6));
        return 0;
    }

    /// REQUIRES: the process has not exited.
    std::ptrdiff_t thread_count() const {
        const std::filesystem::directory_iterator threads("/proc/" + std::to_string(process_) + "/task");
        return std::distance(begin(threads), end(threads));
    }

  private:
    std::filesystem::path folder_;
    pid_t process_ = 0;
    std::optional<int> status_;  // nullopt: the process has not exited
};

}  // namespace gannethold::cluster
