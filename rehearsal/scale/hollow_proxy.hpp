// A proxy without requests: one session with the controller that leads, speaking the real protocol.
#pragma once

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/transport/message_connection.hpp"
#include "net/loop.hpp"
#include "scale/addresses.hpp"
#include "scale/meter.hpp"
#include "scale/options.hpp"
#include "scale/workload.hpp"

namespace gannethold::scale {

/// What all hollow proxies of one thread share.
struct HollowGround {
    HollowGround(net::Loop& turning, const Options& told, const Addresses& known, const Popularity& drawn)
        : loop(turning), options(told), addresses(known), popularity(drawn) {}

    net::Loop& loop;
    const Options& options;
    const Addresses& addresses;
    const Popularity& popularity;
    Meter sent, received;
    std::vector<double> waits_ms;  // from a request for a slot to its grant
    std::atomic<std::uint64_t> asked{0}, granted{0}, denied{0}, unasked{0}, alone{0}, dials{0};
    std::mt19937_64 random;
};

/// One hollow proxy. Its times are those of the real one (programs/proxy.cpp).
class HollowProxy {
  public:
    static constexpr int kNobody = -1;

    HollowProxy(HollowGround& ground, int number);

    /// To be called every few milliseconds.
    void tick(Micros now);
    /// Ends its connection; it dials anew.
    void reconnect();
    /// While it is cut off it neither hears nor says anything.
    void cut(bool is_cut);

    // Read from other threads.
    std::uint64_t version() const { return version_.load(std::memory_order_relaxed); }
    int served_by() const { return served_by_.load(std::memory_order_relaxed); }
    Micros served_since() const { return served_since_.load(std::memory_order_relaxed); }
    Micros granted_at() const { return granted_at_.load(std::memory_order_relaxed); }
    int zone() const { return zone_; }
    int number() const { return number_; }

  private:
    struct Known {  // an instance
        int function = 0;
        std::uint32_t number = 0, out = 0;
        std::string worker, zone;
        bool up = false;
    };
    struct Asked {
        int function = 0;
        Micros at = 0;
    };
    struct Working {
        Micros until = 0;
        std::uint32_t ask = 0;
        std::string instance;
    };
    struct Function {
        bool unrestricted = false;
        std::uint32_t count = 0, busy_ms = 0;
        cluster::FunctionLoad last;
        Micros called_at = 0;
        std::vector<std::string> instances;
    };
    struct Reachable {
        Micros at = 0;
        std::uint32_t number = 0;
    };

    void dial(Micros now);
    void drop();
    void say(const cluster::Message& message);
    void got(const cluster::Message& message);
    void got_redirect(const cluster::Redirect& message);
    void got_registered();
    void got_configuration(const cluster::ConfigurationUpdate& message);
    void got_runner(const cluster::RunnerUpdate& message);
    void got_grant(const cluster::AcquireGranted& message);
    void got_mode(const cluster::FunctionMode& message);
    void forget(const std::string& instance);
    cluster::RegisterRequest registration() const;
    bool registers(const Known& instance, Micros now) const;
    void call(Micros now);
    void call_unasked(Micros now, Function& function);
    void release_what_ended(Micros now);
    void report_loads(Micros now);
    void keep_line(Micros now);
    int core_of(const std::string& control_address) const;

    HollowGround& ground_;
    int number_, zone_, core_, next_core_;
    std::unique_ptr<cluster::MessageConnection> line_;
    std::vector<std::unique_ptr<cluster::MessageConnection>> old_;
    std::optional<int> redirected_to_;
    bool registered_ = false, cut_ = false;
    int failed_dials_ = 0;
    Micros dial_at_ = 0, dialed_at_ = 0, said_at_ = 0, reported_at_ = 0, call_at_ = 0;
    std::uint32_t last_ask_ = 0;
    std::unordered_map<std::string, Known> known_;
    std::unordered_map<std::uint32_t, std::string> by_number_;
    std::unordered_map<int, Function> functions_;
    std::unordered_map<std::uint32_t, Asked> asks_;
    std::deque<Working> working_;
    std::deque<Reachable> reachable_;
    std::atomic<std::uint64_t> version_{0};
    std::atomic<int> served_by_{kNobody};
    std::atomic<Micros> served_since_{0}, granted_at_{0};
};

}  // namespace gannethold::scale
