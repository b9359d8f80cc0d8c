// A process of our own that spells, writes and syncs keepsakes, started once while there is little to copy:
// the dispatcher hands it what is known in parts, as its loop finds the time, and never waits for it or for a
// disk.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "snapshot/snapshot_store.hpp"

namespace gannethold::keepsake {

class Scribe {
  public:
    // Without a process where none can be started; alive() tells.
    explicit Scribe(const Shelf& shelf);
    ~Scribe();  // it is ended at once, also in the middle of a write
    Scribe(const Scribe&) = delete;
    Scribe& operator=(const Scribe&) = delete;

    bool alive() const { return process_ > 0; }
    pid_t process() const { return process_; }
    // One part of a record: of the lists, each adds to those before it; of the rest, the first part's counts.
    void tell(const Record& part, bool last);
    // Whether it has taken all that it was told; what it has not is offered again.
    bool pushed();
    // After the last part: nothing as long as it works, "" once it is written, else why not.
    std::optional<std::string> answer();

  private:
    [[noreturn]] static void work(int line, const Shelf& shelf);
    void end();

    pid_t process_ = -1;
    int line_ = -1;
    std::string left_;  // to be pushed
};

}  // namespace gannethold::keepsake
