// What both programs share: flags, settings, signals, the loop.
#pragma once

#include <functional>
#include <string>

#include "net/address.hpp"
#include "net/loop.hpp"
#include "cluster/base/settings.hpp"

namespace gannethold::cluster {

// Reads the flags and the settings file and opens the log; on a fault one line names what is wrong, and the
// process ends with 2.
Settings begin_process(int argc, char** argv, const char* usage);

// Watches the settings file: SIGHUP, or a change without one, reads it again. A file that can not be read
// changes nothing.
class SettingsWatch {
  public:
    SettingsWatch(net::Loop& loop, std::function<void(const Settings&)> changed);
    void look(bool told);

  private:
    std::function<void(const Settings&)> changed_;
    std::string text_;
    net::Signal hup_;
};

net::Address address_or_end(const std::string& text, const char* key);
std::size_t blocks_for(const Settings& settings);

// Ends the process after its loop has: what was to be kept is on disk and what was to be said is written.
// Destructors of static objects don't run: one of a library's joins threads, and a process that leaves has no
// time to wait for them.
[[noreturn]] void end_process();

}  // namespace gannethold::cluster
