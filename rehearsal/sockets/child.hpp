// A dispatcher's process, started and ended by the rehearsal. It ends with the rehearsal, also when that is
// killed and can do nothing more about it.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::rehearsal {

class Child {
  public:
    // Standard output and error go to the end of that file. Throws std::runtime_error where it cannot start.
    Child(const std::vector<std::string>& words, const std::string& log);
    ~Child();  // kills what still runs
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    void signal(int number) const;
    // How it ended, in words, once it has.
    std::optional<std::string> ended();
    bool ended_well() const { return status_ == 0; }
    bool wait(Micros longest);  // false: it still runs

    struct Cost {
        double cpu_s = 0, memory_mb = 0;  // memory: the most at a time
    };
    Cost cost() const;

  private:
    pid_t process_ = -1;
    bool over_ = false;
    int status_ = 0;
};

// The last lines of a log, for a message.
std::string last_lines(const std::string& path, std::size_t most);

}  // namespace gannethold::rehearsal
