// The coordinator's coordinator, open while this core machine leads: fronts' sessions, the slots of slots,
// the planner, and the platform's calls. It is opened anew with each term and knows nothing of the one before
// but what fronts and the list tell.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "json/json.hpp"
#include "cluster/base/bounded_history.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/placement/planner.hpp"
#include "cluster/runners/platform_api.hpp"
#include "cluster/runners/runner_list_poller.hpp"
#include "cluster/slots/slot_table.hpp"
#include "cluster/transport/http_client.hpp"

namespace gannethold::cluster {

class Coordinator {
  public:
    Coordinator(net::Loop& loop, const Settings& settings, Number term,
                std::function<void(Session, const Message&)> say);

    // A newer configuration, or other members. read: the entry's configuration where it has been read
    // already.
    void committed(const LogEntry& entry, std::shared_ptr<const Configuration> read);
    void came(Session session, const Register& registration);
    void left(Session session);
    void said(Session session, const Message& message);
    void tick(Micros now);
    Micros next_tick() const { return next_tick_; }
    Number term() const { return term_; }
    // For operators: what is asked of starts, functions, waiting, fronts; empty: all.
    void explain(const std::string& what, json::Object& into) const;

  private:
    struct Call {
        enum class What { list, workers, begin, stop } what = What::list;
        StartRunner begin;
        StopRunner stop;
        Micros until = 0;
    };
    struct ProxySession {
        std::string name;
        Number version = 0, sent = 0;
    };

    void push(Session session, ProxySession& front);
    void announce_registered();
    void post(ProxyOutbox& mail);
    void plan(Micros now, Function* one = nullptr);
    void call(Call call, const HttpMessage& request, Micros limit);
    void on_call_completed(CallId id, CallResult result, const HttpMessage& answer);

    const Settings& settings_;
    Number term_;
    std::function<void(Session, const Message&)> say_;
    SlotTable slot_table_;
    Planner planner_;
    RunnerListPoller list_poller_;
    PlatformApi platform_api_;
    HttpClient platform_;
    std::map<CallId, Call> calls_;
    std::uint64_t last_call_ = 0;
    std::map<Session, ProxySession> proxies_;
    std::map<Number, std::string> bodies_;  // lately committed ones, by version
    std::vector<std::string> members_;
    Number version_ = 0;
    std::map<Number, std::string> deltas_;  // to version_, by base
    Micros next_tick_ = 0, next_workers_ = 0, announce_at_ = 0;
    bool workers_out_ = false;
    std::size_t priority_inversions_logged_ = 0;
    struct PlatformAction {
        Micros at = 0;
        std::string service, worker, runner, answer;
        const char* why = "";
        bool start = true;
    };
    BoundedHistory<PlatformAction> recent_actions_{512};
};

}  // namespace gannethold::cluster
