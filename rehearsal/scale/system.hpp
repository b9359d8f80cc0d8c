// The real programs of a run: controllers and proxies, with their settings in a folder of their own.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "scale/addresses.hpp"
#include "scale/options.hpp"
#include "scale/process.hpp"

namespace gannethold::scale {

/// Starts and ends the programs, and looks at what they use.
class System {
  public:
    /// programs: where gannethold-controller and gannethold-proxy stand.
    System(const Options& options, const Addresses& addresses, std::string programs);
    ~System();

    void start_controller(int number);
    void kill_controller(int number);
    /// Stops it, as if it were cut off, and lets it go on.
    void pause_controller(int number, bool paused);
    std::vector<Usage> controllers() const;
    std::vector<Usage> proxies() const;
    /// Names of those that ended without having been told to, each told once.
    std::vector<std::string> ended_by_themselves();

  private:
    std::string settings_of(const std::string& name, bool controller, int number);
    void start_proxy(int number);

    const Options& options_;
    const Addresses& addresses_;
    std::string programs_, folder_;
    std::vector<std::unique_ptr<Process>> controllers_, proxies_;
};

}  // namespace gannethold::scale
