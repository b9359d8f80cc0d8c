// A program of the system as a child process, and what the kernel says that it uses.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace gannethold::scale {

/// What a process has used until now.
struct Usage {
    double processor_seconds = 0;
    double memory_mb = 0;                      // resident now
    double most_memory_mb = 0;                 // resident at most
    double read_bytes = 0, written_bytes = 0;  // by its calls, sockets and files alike
    int descriptors = 0;
};

/// Of any process; all 0 where there is none.
Usage usage_of(pid_t process);

/// Memory of this machine in MB.
double machine_memory_mb();

/// One child. It ends with this object, by its own number, and with this process.
class Process {
  public:
    /// Standard output and error go to the end of the log. Throws std::runtime_error where it can not start.
    Process(const std::vector<std::string>& words, const std::string& log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// SIGKILL, and waits for it.
    void kill();
    void signal(int number) const;
    /// Whether it ended without having been told to.
    bool ended_by_itself();
    Usage usage() const { return usage_of(process_); }

  private:
    pid_t process_ = 0;
    bool over_ = false;
};

}  // namespace gannethold::scale
