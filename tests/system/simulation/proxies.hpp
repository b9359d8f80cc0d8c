// The proxies: their sessions with the coordinator, their requests' way to runners, and their shutdown.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "client_requests.hpp"
#include "cluster/proxy/request_handler.hpp"
#include "cluster/proxy/shutdown.hpp"
#include "coordinators.hpp"
#include "core_machines.hpp"
#include "environment.hpp"
#include "platform.hpp"

namespace gannethold::cluster::simulation {

class Proxies final : public ProxyChannel {
  public:
    Proxies(Environment& environment, const CoreMachines& cores, Coordinators& coordinators,
            Platform& platform, ClientRequests& requests);

    /// REQUIRES: called once, before time passes.
    void start_all();
    /// A client's request; it fails to connect at a proxy that accepts no connections.
    void request(std::size_t proxy, const std::string& route, int work_ms, int deadline_ms);

    // ---- faults
    /// Cut off: no coordinator reaches it.
    void set_cut_off(std::size_t proxy, bool cut_off) { at(proxy).cut_off = cut_off; }
    /// What the coordinator sends to it arrives so much later, in order.
    void delay_messages(std::size_t proxy, Micros delay);
    void kill(std::size_t proxy);
    /// SIGTERM: the proxy is killed `grace` later at the latest, and starts again half a second after its
    /// end.
    void shut_down(std::size_t proxy, Micros grace);

    // ---- ProxyChannel
    void send(std::size_t core, const ProxyOutbox& messages) override;
    void configure(std::size_t proxy, const std::shared_ptr<const Configuration>& configuration) override;

    // ---- state
    Number version(std::size_t proxy) const { return proxies_[proxy]->handler->version(); }
    /// Sessions that proxies opened so far.
    std::uint64_t session_count() const { return last_session_; }

  private:
    struct Proxy {
        std::string name;
        std::string zone;
        Number incarnation = 0;
        std::unique_ptr<RequestHandler> handler;
        bool cut_off = false;
        bool accepts_connections = true;
        Shutdown shutdown;
        // Its session with a coordinator.
        std::optional<std::size_t> core;
        Number core_incarnation = 0;
        Number term = 0;
        Session session = 0;
        Micros last_heartbeat = 0;  // of the coordinator
        Micros next_delivery = 0;   // messages of one connection arrive in order
        std::size_t next_core = 0;  // that it tries to register with
        Number newest_version = 0;
        std::map<std::string, Micros> probed_addresses;  // of runners that it can't reach yet
    };

    Proxy& at(std::size_t proxy) { return *proxies_[proxy]; }
    void make_handler(std::size_t proxy, std::uint64_t random_seed);
    void tick(std::size_t proxy);
    /// Whether the coordinator of its session is gone or out of reach.
    bool has_lost_session(const Proxy& proxy);
    void drop_lost_session(std::size_t proxy, Actions& actions);
    /// Registers with the next core in turn, if that has a coordinator.
    void register_with_next(std::size_t proxy, Actions& actions);
    void configure_from(const CoreMachine& core, Proxy& proxy);
    void check_probed_addresses(std::size_t proxy);
    void carry_out(std::size_t proxy, const Actions& actions);
    void forward(std::size_t proxy, const Actions::Forward& attempt);
    void send_to_coordinator(std::size_t proxy, const Message& message);
    void receive_at_coordinator(std::size_t proxy, std::size_t core, Number incarnation, Number term,
                                Session session, const Message& message);
    void receive(std::size_t proxy, Session session, const Message& message);
    void advance_shutdown(std::size_t proxy);
    void stop(std::size_t proxy);

    Environment& environment_;
    const CoreMachines& cores_;
    Coordinators& coordinators_;
    Platform& platform_;
    ClientRequests& requests_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    Session last_session_ = 0;
};

}  // namespace gannethold::cluster::simulation
