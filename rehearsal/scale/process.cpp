#include "scale/process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace gannethold::scale {
namespace {

constexpr double kKilo = 1024;
constexpr int kCannotStart = 127;

// The number behind a name in a file of lines "name value".
double field_of(const std::string& path, const std::string& name) {
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        if (!line.starts_with(name)) continue;
        std::istringstream rest(line.substr(name.size()));
        double value = 0;
        rest >> value;
        return value;
    }
    return 0;
}

double processor_seconds_of(const std::string& folder) {
    std::ifstream in(folder + "/stat");
    std::string text;
    std::getline(in, text);
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos) return 0;
    std::istringstream rest(text.substr(name_end + 2));
    constexpr int kFieldsBefore = 11;  // from the state on to utime
    std::string passed;
    for (int field = 0; field < kFieldsBefore; ++field) rest >> passed;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int descriptors_of(const std::string& folder) {
    std::error_code none;
    int count = 0;
    for (auto at = std::filesystem::directory_iterator(folder + "/fd", none);
         at != std::filesystem::directory_iterator(); at.increment(none))
        ++count;
    return count;
}

[[noreturn]] void become(const std::vector<std::string>& words, int log, pid_t parent) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kCannotStart);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::vector<char*> arguments;
    for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    _exit(kCannotStart);
}

}  // namespace

Usage usage_of(pid_t process) {
    const std::string folder = "/proc/" + std::to_string(process);
    Usage usage;
    usage.processor_seconds = processor_seconds_of(folder);
    usage.memory_mb = field_of(folder + "/status", "VmRSS:") / kKilo;
    usage.most_memory_mb = field_of(folder + "/status", "VmHWM:") / kKilo;
    usage.read_bytes = field_of(folder + "/io", "rchar:");
    usage.written_bytes = field_of(folder + "/io", "wchar:");
    usage.descriptors = descriptors_of(folder);
    return usage;
}

double machine_memory_mb() { return field_of("/proc/meminfo", "MemTotal:") / kKilo; }

Process::Process(const std::vector<std::string>& words, const std::string& log) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (out < 0) throw std::runtime_error("cannot write " + log);
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) become(words, out, parent);
    close(out);
    if (process_ < 0) throw std::runtime_error("cannot start " + words.front());
}

Process::~Process() { kill(); }

void Process::kill() {
    if (over_) return;
    over_ = true;
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
}

void Process::signal(int number) const {
    if (!over_) ::kill(process_, number);
}

bool Process::ended_by_itself() {
    if (over_) return false;
    int status = 0;
    if (waitpid(process_, &status, WNOHANG) != process_) return false;
    over_ = true;
    return true;
}

}  // namespace gannethold::scale
