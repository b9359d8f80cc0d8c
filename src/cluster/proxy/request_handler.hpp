// What a front does with each request, from its head to its answer. Routes are looked up in the configuration
// in force, the runner is drawn by the function's split, the slot is asked for at the coordinator
// (slots/slot_table.hpp); what the answer may be follows from whether the request may have run. While no
// coordinator answers, a front uses its own part of each runner's slots, so that all fronts together keep the
// limit.
//
// No I/O and no clock: inputs are noted, and what is to be done is collected in Actions.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/base/bounded_history.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/proxy/work_time.hpp"
#include "cluster/split/split.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

using RequestId = std::uint64_t;

struct Actions {
    struct Forward {
        RequestId request = 0;
        std::string runner, address;
        std::uint32_t remaining_ms = 0;
    };
    struct Reply {  // our own
        RequestId request = 0;
        ErrorCode code = ErrorCode::no_slot;
        std::uint32_t retry_ms = 0;
    };
    std::vector<Message> mails;  // to the coordinator
    std::vector<Forward> forwards;
    std::vector<Reply> replies;
    std::vector<RequestId> relays;              // the runner's answer goes to the client as it is
    std::vector<RequestId> abandons;            // the call to the runner is broken off
    std::vector<std::string> watches, forgets;  // addresses: connect until it works; close what is open
};

enum class AttemptResult {
    answered,     // whole and ours
    failed,       // likewise, a 5xx of the runner's own: it has run
    not_run,      // the runner says so
    misdirected,  // likewise: another runner has the address
    unreachable,  // nothing was sent
    unsent,       // not its whole head: it has not run
    may_have_run,
};

// Why a request went where it went, or what it was answered with.
struct RoutingDecision {
    Micros at = 0, waited = 0;  // waited: since it came
    RequestId request = 0;
    std::string service, runner;
    const char* why = "";
};

// Why an answer earned less than its whole worth, and how much less: late, refused (it has not run) or
// failed.
struct ValueLoss {
    enum class Cause : std::uint8_t { start, slot, memory, coordinator, runner, work, budget, route };
    enum class How : std::uint8_t { late, refused, failed };
    static constexpr std::size_t kCauses = 8, kHows = 3;
    static const char* name(Cause cause);
    static const char* name(How how);
    Micros at = 0, took = 0;
    std::string service;
    Cause cause = Cause::work;
    How how = How::late;
};

class RequestHandler {
  public:
    using ValueLossCounts = std::array<std::array<std::uint64_t, ValueLoss::kHows>, ValueLoss::kCauses>;
    static constexpr std::size_t kDecisions = 256;
    struct Options {
        std::string name, zone;
        Number incarnation = 1;
        Micros reach = 700'000;  // without a word from the coordinator for so long, it is taken for lost
        std::uint64_t chance = 1;
        int late_turn =
            4;  // as the coordinator's (slots/slot_table.hpp): of so many slots one goes to a late one
    };
    explicit RequestHandler(Options terms) : options_(std::move(terms)), chance_(options_.chance * 2 + 1) {}

    // A version below the one held alters nothing: a front never goes back.
    void configure(std::shared_ptr<const Configuration> configuration);
    const Configuration* configuration() const { return configuration_.get(); }
    Number version() const { return configuration_ ? configuration_->version() : 0; }

    void arrived(Micros now, RequestId id, std::string_view host, std::string_view path,
                 std::uint32_t deadline_ms, Actions& out);
    void on_client_disconnected(Micros now, RequestId id, Actions& out);
    void ended(Micros now, RequestId id, AttemptResult how, Actions& out);

    // The coordinator: a session with it begins and ends; what it says.
    // What the coordinator is told as a session begins; what changes until coordinator_connected() is told
    // after it.
    RegisterRequest registration();
    void on_coordinator_registered(Micros now, Actions& out);
    void on_coordinator_disconnected(Micros now, Actions& out);
    bool coordinator() const { return coordinator_; }
    void said(Micros now, const Message& message, Actions& out);

    // A watched address took a connection, or did not for too long.
    void reached(Micros now, const std::string& address, bool up, Actions& out);

    void tick(Micros now, Actions& out);

    /// This process ends and can give its last answers at `answer_by`. From now on a request that was not
    /// sent to a runner, and whose work usually takes longer than is left, is refused at once: it has not run
    /// and can go elsewhere.
    void begin_shutdown(Micros now, Micros answer_by, Actions& out);
    /// Answers all that is open: a refusal for what never ran, a failure for what may have run. What arrives
    /// later is refused.
    void answer_all(Micros now, Actions& out);
    const BoundedHistory<RoutingDecision>& decisions() const { return decisions_; }
    const BoundedHistory<ValueLoss>& losses() const { return losses_; }
    const ValueLossCounts& loss_counts() const { return loss_counts_; }
    // The newest ones, once each: for the log.
    std::vector<ValueLoss> new_losses() { return std::exchange(new_losses_, {}); }
    struct Share {
        std::string service, runner;
        double fraction = 0, latency = 0;
        std::uint32_t out = 0;
        bool unrestricted = false;
    };
    std::vector<Share> shares() const;
    std::size_t open() const { return requests_.size(); }
    Micros next_deadline() const { return deadlines_.empty() ? 0 : deadlines_.begin()->first; }

  private:
    enum class State { asking, held, out, over };
    struct Request {
        const Route* route = nullptr;
        std::shared_ptr<const Configuration> configuration;  // in which its route stands
        std::string service, runner;
        State state = State::asking;
        Micros came = 0, target_at = 0, deadline_at = 0, sent_at = 0, asked_at = 0;
        std::uint32_t ask = 0, sends = 0;
        bool by_slot = false;  // the runner's slot was granted, and is to be released
        bool client = true;    // it still waits
        bool again = false, unrestricted = false;
        bool may_have_run = false;                         // at a runner that it was sent to before
        std::uint32_t drawn_number = 0;                    // the runner that the coordinator was told
        ValueLoss::Cause slowed = ValueLoss::Cause::work;  // by what it was held up last
    };
    // Routes that agree in these are taken to ask for work that takes alike long. A route's request class
    // would not do: its number means something else in the next configuration.
    using WorkKind = std::tuple<std::uint8_t, Micros, bool>;  // priority, aim, idempotent
    static WorkKind kind_of(const Route& route) {
        return {route.priority, route.latency_target, route.is_idempotent};
    }
    struct Runner {
        RunnerInfo what;
        std::uint32_t number = 0, out = 0;
        std::uint32_t registered = 0;  // of those out, as the coordinator was told with the registration
        RunnerState state = RunnerState::starting;
        Micros aside_until = 0;  // for what it did to us
    };
    struct Coordinator {  // one function here
        Split split;
        std::vector<std::string> runners;
        bool unrestricted = false;  // no slot is asked for
        std::uint32_t count = 0;
        Micros busy = 0;    // since the last report
        FunctionLoad last;  // what that report said, a second of it
        int turns = 0;      // without a coordinator: slots taken since a late one had its turn
    };

    void finish(Micros now, RequestId id, Request& r, AttemptResult how, Actions& out);
    void seek(Micros now, RequestId id, Request& r, Actions& out);
    bool send_alone(Micros now, RequestId id, Request& r, Actions& out);
    void serve_alone(Micros now, const std::string& service, Actions& out);
    void send(Micros now, RequestId id, Request& r, Runner& runner, Actions& out);
    void release(Micros now, Request& r, ReleaseReason how, Actions& out);
    void set_mode(const FunctionMode& m, Actions& out);
    void report(Micros now, Actions& out);
    void give_up(Micros now, RequestId id, Request& r, ErrorCode code, std::uint32_t retry_ms, Actions& out);
    void close(RequestId id);
    void lost(Micros now, const Request& r, ValueLoss::How how);
    static void held_up(Request& r, WaitReason by);
    void note(Micros now, RequestId id, const Request& r, const std::string& runner, const char* why);
    void told(const RunnerUpdate& m, Actions& out);
    void told_gone(const RunnerUpdate& m, Actions& out);
    void correct_registration(Runner& runner, Actions& out);
    void drop_runner(const std::string& runner, Actions& out);
    std::uint32_t part(const Runner& runner) const;
    double unit();
    bool fits_before_end(Micros now, const Request& r) const;
    void refuse_what_can_not_end(Micros now, Actions& out);
    void withdraw_ask(const Request& r, Actions& out);
    void break_off(Micros now, RequestId id, Request& r, ErrorCode code, Actions& out);

    Options options_;
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<RequestId, Request> requests_;
    std::multimap<Micros, RequestId> deadlines_;
    std::unordered_map<std::uint32_t, RequestId> asks_;
    std::unordered_map<std::string, Coordinator> functions_;
    std::unordered_map<std::string, Runner> runners_;
    std::unordered_map<std::uint32_t, std::string> by_number_;
    std::map<std::string, std::vector<std::string>> watched_;  // address: runners
    bool coordinator_ = false;
    std::uint32_t rank_ = 0, proxies_ = 1, last_ask_ = 0;
    Micros reported_ = 0;
    BoundedHistory<RoutingDecision> decisions_{kDecisions};
    BoundedHistory<ValueLoss> losses_{kDecisions};
    ValueLossCounts loss_counts_{};
    std::vector<ValueLoss> new_losses_;
    std::uint64_t chance_;
    Micros answer_by_ = 0;  // 0: this process does not end
    std::map<WorkKind, WorkTime> work_times_;
};

}  // namespace gannethold::cluster
