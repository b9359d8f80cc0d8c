// What both programs share: command-line flags, settings, signals, and the process's beginning and end.
#pragma once

#include <csignal>
#include <functional>
#include <string>

#include "net/address.hpp"
#include "net/loop.hpp"
#include "cluster/base/events.hpp"
#include "cluster/base/settings.hpp"

namespace gannethold::cluster {

/// Reads the flags and the settings file and opens the log. On a fault it writes one line to standard error
/// that names what is wrong, and ends the process with status 2.
Settings begin_process(int argc, char** argv, const char* usage);

/// Watches the settings file: SIGHUP, or a change without one, reads it again. A file that can not be read or
/// is not valid changes nothing.
class SettingsWatch {
  public:
    SettingsWatch(net::Loop& loop, std::function<void(const Settings&)> on_changed);
    /// Looks whether the file has changed. Call it every few seconds.
    void poll() { reload(Trigger::poll); }

  private:
    enum class Trigger { poll, signal };
    void reload(Trigger trigger);

    std::function<void(const Settings&)> on_changed_;
    std::string text_;
    net::Signal hangup_;
};

/// Calls on_shutdown once, at the first SIGTERM or SIGINT.
class ShutdownSignals {
  public:
    ShutdownSignals(net::Loop& loop, std::function<void()> on_shutdown);

  private:
    void on_signal();

    std::function<void()> on_shutdown_;
    bool received_ = false;
    net::Signal terminate_;
    net::Signal interrupt_;
};

/// The address that `text` ("ip:port") names. Ends the process with status 2 and names the setting `key`
/// where it names none.
net::Address address_or_end(const std::string& text, const char* key);

/// How many blocks of memory all connections may use together: a quarter of limits.memory_mb.
std::size_t blocks_for(const Settings& settings);

/// Holds SIGTERM, SIGINT and SIGHUP back from its construction until deliver(): one that comes before the
/// program handles it would end the process at once.
class StartSignalGuard {
  public:
    StartSignalGuard();
    /// What came meanwhile is delivered now. REQUIRES: the program handles all three.
    void deliver() const;

  private:
    sigset_t held_back_{};
};

/// A program from its first to its last line; returns its exit status. Program is constructed with
/// (net::Loop&, Settings), and stops the loop once it is to end: what must survive is on disk by then, and
/// every answer is written.
template <class Program>
int run_process(int argc, char** argv, const char* usage) {
    const StartSignalGuard start_signals;
    const Settings settings = begin_process(argc, argv, usage);
    {
        net::Loop loop(blocks_for(settings));
        Program program(loop, settings);
        start_signals.deliver();
        loop.run([] {});
    }
    return 0;
}

}  // namespace gannethold::cluster
