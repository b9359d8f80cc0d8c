#include "sockets/child.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <deque>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace gannethold::rehearsal {

Child::Child(const std::vector<std::string>& words, const std::string& log) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (out < 0) throw std::runtime_error("cannot write " + log);
    std::vector<char*> args;
    for (const std::string& w : words) args.push_back(const_cast<char*>(w.c_str()));
    args.push_back(nullptr);
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) {
        // Against dispatchers left behind by a rehearsal that was killed; one that died before this line is
        // met by the second look.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        // Ctrl-C at the terminal is for the rehearsal, which ends its children in its own order.
        setpgid(0, 0);
        execv(args[0], args.data());
        dprintf(STDERR_FILENO, "cannot start %s: %s\n", args[0], std::strerror(errno));
        _exit(127);
    }
    close(out);
    if (process_ < 0) throw std::runtime_error("no process can be started for a dispatcher");
}

Child::~Child() {
    if (over_ || process_ <= 0) return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
}

void Child::signal(int number) const {
    if (!over_) kill(process_, number);
}

std::optional<std::string> Child::ended() {
    if (!over_) {
        int status = 0;
        if (waitpid(process_, &status, WNOHANG) != process_) return std::nullopt;
        over_ = true;
        status_ = status;
    }
    return WIFSIGNALED(status_) ? "killed by signal " + std::to_string(WTERMSIG(status_))
                                : "ended with status " + std::to_string(WEXITSTATUS(status_));
}

bool Child::wait(Micros longest) {
    for (Micros waited = 0; !ended(); waited += 5'000) {
        if (waited >= longest) return false;
        usleep(5'000);
    }
    return true;
}

Child::Cost Child::cost() const {
    Cost cost;
    const std::string at = "/proc/" + std::to_string(process_);
    std::ifstream stat(at + "/stat");
    std::string text;
    std::getline(stat, text);
    if (const auto name_ends = text.rfind(')'); name_ends != std::string::npos) {
        std::istringstream rest(text.substr(name_ends + 2));
        std::string skipped;
        double user = 0, system = 0;
        for (int i = 0; i < 11; ++i) rest >> skipped;
        rest >> user >> system;
        cost.cpu_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    std::ifstream status(at + "/status");
    while (std::getline(status, text))
        if (text.starts_with("VmHWM:")) cost.memory_mb = std::stod(text.substr(6)) / 1024;
    return cost;
}

std::string last_lines(const std::string& path, std::size_t most) {
    std::ifstream file(path);
    std::deque<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
        if (lines.size() > most) lines.pop_front();
    }
    std::string all;
    for (const std::string& line : lines) all += "    " + line + "\n";
    return all;
}

}  // namespace gannethold::rehearsal
