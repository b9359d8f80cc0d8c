// gannethold-proxy: takes requests from clients, draws their runners, acquires slots from the coordinator,
// and brings the responses back (proxy_server/proxy_server.hpp).
#include <csignal>
#include <utility>

#include "cluster/programs/admin.hpp"
#include "cluster/programs/process.hpp"
#include "cluster/programs/proxy_explain.hpp"
#include "cluster/proxy_server/proxy_server.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kSweepInterval = 500'000;
constexpr Micros kSettingsInterval = 2'000'000;

// The server with what a process has beside it: the settings file, the operators' resource and signals.
class ProxyProgram {
  public:
    ProxyProgram(net::Loop& loop, const Settings& settings)
        : server_(loop, settings,
                  {address_or_end(settings.frontend, "listen_addresses.frontend"),
                   address_or_end(settings.readiness, "listen_addresses.readiness")},
                  [&loop] { loop.stop(); }),
          settings_watch_(loop, [this](const Settings& changed) { server_.set_seeds(changed.seeds); }),
          explain_(
              loop,
              [this](const std::string& what) { return explain_proxy(server_, what, net::Loop::now()); }),
          sweep_timer_(loop, [this] { on_sweep_timer(); }),
          terminate_(loop, SIGTERM, [this] { server_.begin_shutdown(); }),
          interrupt_(loop, SIGINT, [this] { server_.begin_shutdown(); }) {
        on_sweep_timer();
    }

  private:
    void on_sweep_timer() {
        const Micros now = net::Loop::now();
        explain_.sweep(now);
        if (now >= next_settings_check_) {
            next_settings_check_ = now + kSettingsInterval;
            settings_watch_.look(false);
        }
        sweep_timer_.set(now + kSweepInterval);
    }

    ProxyServer server_;
    SettingsWatch settings_watch_;
    ExplainResource explain_;
    Micros next_settings_check_ = 0;
    net::Timer sweep_timer_;
    net::Signal terminate_;
    net::Signal interrupt_;
};

}  // namespace
}  // namespace gannethold::cluster

int main(int argc, char** argv) {
    using namespace gannethold;
    const cluster::Settings settings =
        cluster::begin_process(argc, argv,
                               "gannethold-proxy takes requests from clients and brings them to runners.\n"
                               "It takes its addresses and bounds from the settings file.");
    net::Loop loop(cluster::blocks_for(settings));
    cluster::ProxyProgram program(loop, settings);
    loop.run([] {});
    cluster::end_process();
}
