// A whole system on simulated time: the project's state machines for cores and fronts, and stand-ins for
// disks, network, platform, runners, clients and the operator. No sockets, no clock, no sleep. After each
// step it checks what must hold whatever happens; a breach is told once, with its time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/consensus.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/proxy/request_handler.hpp"
#include "cluster/proxy/shutdown.hpp"
#include "cluster/placement/planner.hpp"
#include "cluster/runners/platform_api.hpp"
#include "cluster/slots/slot_table.hpp"
#include "links.hpp"
#include "output_digest.hpp"

namespace gannethold::cluster::played {

// Faults put into the code under test on purpose, to show that the checks can fail.
enum class Sabotage {
    none,
    send_before_sync,
    vote_after_wipe,
    lease_without_drift,
    read_without_lease,         // a GET is answered by whoever holds something committed
    configure_without_lease,    // so is a front that registers
    compare_no_bodies,          // a number that is not above the held one is confirmed, whatever the body
    quorum_of_new_voters,       // while membership changes only the new voters are counted
    learner_votes_at_once,      // a learner becomes a voter before it holds the state
    change_without_joint_step,  // the voters before have no say in a change of membership
    resend_whole_entry,         // on a timer, without waiting for a confirmation
    end_without_answers,        // a front that ends answers nothing that is open
    repeat_after_silence,       // a call without an answer is taken for one that was not sent
};

class World {
  public:
    struct Shape {
        std::size_t cores = 3, seeds = 3, fronts = 0;
        std::uint64_t seed = 1;
        Micros delay = 1'000;  // one way, up to four times that by chance
        double loss = 0;
        double bits_per_second = 0;  // of a core's uplink; 0: no bound
        Sabotage sabotage = Sabotage::none;
        std::size_t workers = 6;
        std::int64_t worker_mb = 4096;
    };
    explicit World(const Shape& shape);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // Functions and routes of the configurations that put() sends.
    struct Made {
        std::string name;
        std::uint32_t slots = 1;
        int boot_ms = 900, memory_mb = 128, latency_target_ms = 1500, timeout_ms = 4000;
        bool idempotent = true;
        int attempts = 2;
        std::string of;  // a further route to that service, with aims of its own
        int priority = 1;
    };
    std::vector<Made> services;
    std::string ballast;  // stands in every configuration

    void run(Micros until);
    void at(Micros when, std::function<void()> what);
    Micros now() const { return now_; }

    // ---- what happens ----
    void kill_core(std::size_t i, bool lose_disk = false);
    void crash_in_write(std::size_t i);  // at its next write, which is on disk or not by chance
    void start_core(std::size_t i);
    std::size_t add_core();                    // an empty machine at a new address
    std::size_t add_successor(std::size_t i);  // likewise, in that one's place among the seeds
    void retire_core(std::size_t i);           // it goes for good, with its disk
    // It leaves, ends once it may or after its grace time, and is gone for good, or is started again.
    void end_core(std::size_t i, bool for_good);
    void disk(std::size_t i, bool works);
    void cut(std::size_t a, std::size_t b, bool one_way = false);  // cores
    void heal();
    void reset_link(std::size_t a, std::size_t b);  // what is under way between the two is lost
    void stall_core(std::size_t i, Micros span);    // frozen: nothing in, nothing out, the clock goes on
    void leave_core(std::size_t i);
    void cut_front(std::size_t f, bool off);
    void kill_front(std::size_t f);
    /// SIGTERM: the front is killed `grace` later at the latest, and starts again half a second after its
    /// end.
    void end_front(std::size_t f, Micros grace);
    void delay_front(std::size_t f,
                     Micros span);  // what the coordinator says to it comes so much later, in order
    void put(Number version, std::size_t core, const std::string& mark = {});
    std::string body(Number version, const std::string& mark) const;
    void get(std::size_t core);             // an operator reads; checked against what was acknowledged
    void register_front(std::size_t core);  // a front without anything greets that core, and no more
    // One request at a front for that service; outcomes are counted by status.
    void request(std::size_t front, const std::string& service, int work_ms, int deadline_ms);
    void crash_worker(const std::string& worker);
    void drain_worker(const std::string& worker);
    void answers_lost(double share) { answers_lost_ = share; }
    void platform_answers_lost(double share) { platform_answers_lost_ = share; }  // to starts and stops
    void reuse_address(const std::string& service);  // the runner of it ends, another has its address

    // ---- what can be looked at ----
    // Over all that the state machines put out since the start: messages as encoded, what is written to disk,
    // answers, calls to the platform and to runners, each with its time. 0 unless record_digest() came first.
    void record_digest() { records_digest_ = true; }
    std::uint64_t digest() const { return records_digest_ ? digest_.value() : 0; }
    std::optional<std::size_t> leader() const;  // that acts
    std::size_t leaders() const;
    Number acknowledged() const { return acknowledged_; }
    Number committed() const;          // at the leader; 0: none
    Number term() const;               // the highest of any core
    Number held(std::size_t i) const;  // version on that core's disk
    bool is_retired(std::size_t i) const;
    // Whether the leader's voters are just these, none of them retired.
    bool voters_live() const;
    std::size_t members() const;
    std::size_t learners() const;                                 // at the leader
    std::uint64_t greetings() const { return session_; }          // of fronts, so far
    std::map<int, int> statuses;                                  // of answers, by HTTP status
    std::map<std::string, int> answered_of, late_of, refused_of;  // by route's name
    std::map<std::string, Micros> worst_of;                       // longest time to a whole answer
    std::uint64_t overtaken = 0;
    int unconnected = 0;  // requests that met a front which accepts no connections
    int reads = 0, registrations = 0, conflicts = 0, confirmations = 0, ends_after_grace = 0;
    std::size_t most_queued = 0;  // bytes to one member
    int late = 0, ran = 0, rejected = 0, starts = 0, stops = 0, fence_refused = 0;
    std::map<std::string, Micros> refusal_worst_of;  // longest time to an answer that promises it has not run
    std::size_t runners(const std::string& service) const;   // that live
    bool is_unrestricted(const std::string& service) const;  // at the leader: fronts take its slots unasked
    std::string placed() const;                              // zone:count of all live runners
    bool core_up(std::size_t i) const;
    bool core_recovering(std::size_t i) const;
    std::string told() const;  // how each core stands
    Number front_version(std::size_t f) const;
    std::vector<std::string> breaches;
    std::vector<std::string> trail;  // what happened, for a scenario of a seed
    std::size_t cores() const;

  private:
    struct Core;
    struct Front;
    struct Runner;
    struct Ring;
    using BodyHash = std::size_t;  // bodies are large, and many
    struct Order {
        Number version = 0;
        std::size_t core = 0;
        BodyHash body = 0;
        Micros asked_at = 0;
    };

    void carry_out(Core& core, const ConsensusOutput& out);
    void deliver(std::size_t from, std::size_t to, const Message& message);
    void arrive(std::size_t from, std::size_t to, const Message& message, Number life);
    static BodyHash hash_of(const std::string& body) { return std::hash<std::string>{}(body); }
    void answered(Core& core, const ProposalResult& result);
    void confirmed(Core& core, const Order& order);
    void refused(const Order& order);
    void check_committed(Core& core);
    void check_disks(const LogEntry& entry);
    void check_contact(std::size_t i, Micros asked_at, const std::string& what);
    std::optional<std::size_t> serving(std::size_t core) const;  // that one, or whom it names, if it leads
    const LogEntry* read(std::size_t core, bool without_lease) const;
    Number acknowledged_before(Micros when) const;
    std::size_t index_of(const Core& core) const;
    void note_cut_off();
    void look(Core& core);
    void close_coordinator(Core& core);
    void tick_core(std::size_t i);
    void end_if_it_may(Core& core);
    void open_core(Core& core);
    void coordinator_step(Core& core);
    void post(std::size_t core, ProxyOutbox& mail);
    void to_coordinator(std::size_t front, const Message& message);
    void take(std::size_t front, std::size_t core, Number life, Number term, Session session,
              const Message& message);
    void tick_front(std::size_t f);
    void shut_down_step(std::size_t f);
    void stop_front(std::size_t f);
    std::vector<RequestId> unanswered(std::size_t f) const;
    void actions(std::size_t f, Actions& d);
    void begin(std::size_t core, Number life, const StartRunner& begin, Number fence);
    void breach(const std::string& what);
    template <class... Parts>
    void digest_output(const Parts&... parts) {
        if (!records_digest_) return;
        digest_.add(static_cast<std::uint64_t>(now_));
        (digest_.add(parts), ...);
    }
    void digest_message(std::uint64_t from, std::uint64_t to, const Message& message);
    void digest_consensus_output(std::size_t core, const ConsensusOutput& out);
    void digest_actions(std::size_t front, const Actions& actions);
    bool joined(std::size_t a, std::size_t b) const { return !cuts_.contains({a, b}); }
    Micros hop();
    bool chance(double p);

    Shape shape_;
    std::mt19937_64 random_;
    Micros now_ = 1'000'000;
    struct Later {
        Micros at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Later& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    std::priority_queue<Later> later_;
    std::uint64_t order_ = 0;
    std::vector<std::unique_ptr<Core>> cores_;
    std::vector<std::unique_ptr<Front>> fronts_;
    std::vector<std::string> seeds_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    Links links_;
    std::map<std::size_t, Micros> cut_off_since_;  // cores that no other one reaches and that reach none
    Number acknowledged_ = 0, ticket_ = 0;
    std::map<Micros, Number> acknowledged_at_;  // the highest, by time
    std::map<Number, BodyHash> acked_bodies_, seen_bodies_;
    std::map<Number, std::set<BodyHash>> sent_bodies_, refused_bodies_;
    std::map<Number, Order> tickets_;
    std::map<Number, std::size_t> term_leader_;
    std::map<std::string, std::unique_ptr<Runner>> runners_;  // by id
    std::map<std::string, std::string> nonces_;               // service + nonce: runner
    std::set<std::string> workers_down_, workers_draining_;
    Number fence_ = 0;
    std::string fence_holder_;
    std::uint64_t made_ = 0, session_ = 0, request_ = 0;
    double answers_lost_ = 0, platform_answers_lost_ = 0;
    struct Try {
        std::size_t front = 0;
        std::string service, at;  // at: the runner that works on it
        int work_ms = 0, runs = 0;
        bool idempotent = true, answered = false, promised = false;
        Micros came = 0;
        Micros latency_target = 0;
        Number front_life = 0;
    };
    std::map<RequestId, Try> tries_;
    bool records_digest_ = false;
    OutputDigest digest_;
};

}  // namespace gannethold::cluster::played
