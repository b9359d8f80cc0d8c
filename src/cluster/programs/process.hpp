// Common parts of the proxy and controller programs: flags, settings, signals, startup and shutdown.
#pragma once

#include <csignal>
#include <functional>
#include <string>

#include "net/address.hpp"
#include "net/loop.hpp"
#include "cluster/base/events.hpp"
#include "cluster/base/settings.hpp"

namespace gannethold::cluster {

/// Parses the flags, reads the settings file and opens the log. On an error it writes one line that describes
/// the error to standard error and exits with status 2.
Settings initialize_process(int argc, char** argv, const char* usage);

/// Reloads the settings file on SIGHUP, and when a poll finds that it has changed. A file that cannot be read
/// or is invalid is ignored.
class SettingsWatcher {
  public:
    SettingsWatcher(net::Loop& loop, std::function<void(const Settings&)> on_changed);
    /// Reloads the file if it has changed. Call it every few seconds.
    void poll() { reload(Trigger::poll); }

  private:
    enum class Trigger { poll, signal };
    void reload(Trigger trigger);

    std::function<void(const Settings&)> on_changed_;
    std::string text_;
    net::Signal hangup_;
};

/// Calls on_shutdown once, on the first SIGTERM or SIGINT.
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

/// Parses an address ("ip:port"). If `text` is not one, names the setting `key` on standard error and exits
/// with status 2.
net::Address address_or_exit(const std::string& text, const char* key);

/// Returns the number of memory blocks that all connections together may use: a quarter of limits.memory_mb.
std::size_t blocks_for(const Settings& settings);

/// Blocks SIGTERM, SIGINT and SIGHUP from its construction until unblock(). Without that, a signal before the
/// program has installed its handlers would terminate the process at once.
class StartupSignalGuard {
  public:
    StartupSignalGuard();
    /// Delivers the signals that are pending. REQUIRES: the program handles all three signals.
    void unblock() const;

  private:
    sigset_t blocked_signals_{};
};

/// Runs a program and returns its exit status. Program is constructed with (net::Loop&, Settings). It stops
/// the loop when the process is to exit; by then durable state is on disk and all responses have been
/// written.
template <class Program>
int run_process(int argc, char** argv, const char* usage) {
    const StartupSignalGuard startup_signals;
    const Settings settings = initialize_process(argc, argv, usage);
    {
        net::Loop loop(blocks_for(settings));
        Program program(loop, settings);
        startup_signals.unblock();
        loop.run([] {});
    }
    return 0;
}

}  // namespace gannethold::cluster
