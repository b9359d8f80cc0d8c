// gannethold-proxy: accepts requests from clients, selects their runners, acquires slots from the coordinator
// and forwards the responses (proxy_server/proxy_server.hpp).
#include <utility>

#include "cluster/programs/explain_resource.hpp"
#include "cluster/programs/process.hpp"
#include "cluster/programs/proxy_explain.hpp"
#include "cluster/proxy_server/proxy_server.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kSweepInterval = 500'000;
constexpr Micros kSettingsPollInterval = 2'000'000;

// The proxy server together with the process's settings watcher, admin endpoint and signal handling.
class ProxyProgram {
  public:
    ProxyProgram(net::Loop& loop, const Settings& settings)
        : server_(loop, settings,
                  {address_or_exit(settings.frontend_address, "listen_addresses.frontend"),
                   address_or_exit(settings.readiness_address, "listen_addresses.readiness")},
                  [&loop] { loop.stop(); }),
          settings_watcher_(loop,
                            [this](const Settings& changed) { server_.set_seeds(changed.seed_addresses); }),
          explain_(
              loop,
              [this](const std::string& part) { return explain_proxy(server_, part, net::Loop::now()); }),
          sweep_timer_(loop, [this] { on_sweep_timer(); }),
          signals_(loop, [this] { server_.begin_shutdown(); }) {
        on_sweep_timer();
    }

  private:
    void on_sweep_timer() {
        const Micros now = net::Loop::now();
        explain_.sweep(now);
        if (now >= next_settings_poll_) {
            next_settings_poll_ = now + kSettingsPollInterval;
            settings_watcher_.poll();
        }
        sweep_timer_.set(now + kSweepInterval);
    }

    ProxyServer server_;
    SettingsWatcher settings_watcher_;
    ExplainResource explain_;
    Micros next_settings_poll_ = 0;
    net::Timer sweep_timer_;
    ShutdownSignals signals_;
};

}  // namespace
}  // namespace gannethold::cluster

int main(int argc, char** argv) {
    using namespace gannethold;
    return cluster::run_process<cluster::ProxyProgram>(
        argc, argv,
        "gannethold-proxy accepts requests from clients and forwards them to runners.\n"
        "Its addresses and limits are read from the settings file.");
}
