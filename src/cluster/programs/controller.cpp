// gannethold-controller: a core machine. Keeps the shared state with the other core machines, answers the
// operator, and, while it leads, keeps slots and places runners for all fronts.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <optional>
#include <random>

#include "net/listener.hpp"
#include "cluster/consensus/consensus.hpp"
#include "cluster/base/events.hpp"
#include "cluster/programs/admin.hpp"
#include "cluster/programs/coordinator.hpp"
#include "cluster/programs/process.hpp"
#include "cluster/store/store.hpp"
#include "cluster/transport/http_server.hpp"
#include "cluster/transport/message_connection.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnect = 400'000, kRedial = 100'000, kDeaf = 1'500'000, kReopen = 300'000;
constexpr std::size_t kMostHeld = 20'000;  // letters of fronts while a lease has run out

constexpr std::uint32_t kRetryMs = 200;  // told to an operator whose order has no clear answer
constexpr std::size_t kMostUnsentBytes =
    std::size_t{256} * 1024;                 // to one core machine; what is over is sent again later
constexpr Micros kLeastLeaveTime = 300'000;  // in which answers under way reach their callers
constexpr Micros kLeaveCheck = 20'000;

// Times come from what the deployment promises to bear.
Consensus::Options consensus_options(const Settings& settings) {
    Consensus::Options options;
    options.self = settings.control_plane;
    options.seeds = settings.seeds;
    options.random_seed = std::random_device()();
    // A machine counts as lost for catch_up after its start: by then its predecessor must be out.
    constexpr Micros kLeastReplaceAfter = 600'000;
    constexpr Micros kMostReplaceAfter = 3'000'000;
    options.replace_after = std::clamp(settings.catch_up / 4, kLeastReplaceAfter, kMostReplaceAfter);
    options.remove_after = 2 * options.replace_after;
    return options;
}

class Controller {
  public:
    Controller(net::Loop& loop, Settings settings)
        : loop_(loop),
          settings_(std::move(settings)),
          watch_(loop, [this](const Settings& s) { restated(s); }),
          control_(loop, address_or_end(settings_.control_plane, "listen_addresses.control_plane"),
                   {.on_request = [this](ExchangeId exchange,
                                         HttpMessage&& request) { asked(exchange, std::move(request)); },
                    .on_client_disconnected = [this](ExchangeId exchange) { puts_.erase(exchange); }},
                   512),
          listener_(
              loop,
              net::Door(address_or_end(settings_.ip_address + ":" + std::to_string(settings_.internal_port),
                                       "internal_port_range")),
              [this](evutil_socket_t s) { accepted(s); }, [] {}),
          explain_(loop, [this](const std::string& what) { return explain(what); }),
          timer_(loop, [this] { due(); }),
          term_(loop, SIGTERM, [this] { leave(); }),
          int_(loop, SIGINT, [this] { leave(); }) {
        Limits limits;
        limits.body_bytes = 16U << 20;
        control_.set_limits(limits);
        open();
        due();
    }

  private:
    struct Peer {
        std::unique_ptr<MessageConnection> line;
        Micros dialed = 0, heard = 0;
    };
    struct InboundPeer {  // who dialed us
        std::unique_ptr<MessageConnection> line;
        std::string member;
        Session session = 0;
        bool front = false;
        Register registration;
    };

    // ---- disk and consensus ----

    void open() {
        const Micros now = net::Loop::now();
        consensus_.reset();
        reopen_at_ = now + kReopen;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                std::error_code ignored;
                std::filesystem::create_directories(settings_.data_directory, ignored);
                BOOST_LEAF_AUTO(state, store_.open(settings_.data_directory));
                Consensus::Options options = consensus_options(settings_);
                options.first_start = settings_.initial_start && !state.promise.member;
                Event("disk_opened")
                    .with("member", state.promise.member)
                    .with("term", state.promise.term)
                    .with("version", state.entry.version);
                consensus_.emplace(std::move(options), std::move(state), now);
                carry_out(consensus_->start());
                return {};
            },
            [&](ErrorCode kind, const ErrorDetail& detail) {
                Event("disk_failed", Level::error)
                    .with("kind", error_response(kind).name)
                    .with("detail", detail.text);
            },
            [] {});
    }

    // First what is written, then what follows from it.
    void carry_out(const ConsensusOutput& out) {
        if (out.must_persist) {
            const bool done = leaf::try_handle_all(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_CHECK(store_.write(consensus_->persistent_state()));
                    return true;
                },
                [&](ErrorCode kind, const ErrorDetail& detail) {
                    Event("write_failed", Level::error)
                        .with("kind", error_response(kind).name)
                        .with("detail", detail.text);
                    return false;
                },
                [] { return false; });
            if (!done) {
                // Nothing of it was said; the machine steps back to what its disk holds, once that can be
                // read again.
                step_back();
                return;
            }
        }
        for (const ConsensusOutput::Envelope& mail : out.messages) send(mail.to, mail.message);
        for (const ProposalResult& result : out.proposal_results) answer_operator(result);
        look();
    }

    void answer_operator(const ProposalResult& result) {
        const auto at = std::find_if(puts_.begin(), puts_.end(),
                                     [&](const auto& put) { return put.second == result.ticket; });
        if (at == puts_.end()) return;
        const ExchangeId exchange = at->first;
        puts_.erase(at);
        switch (result.outcome) {
            case ProposalOutcome::committed:
                return acknowledge(exchange);
            case ProposalOutcome::conflict:
                return control_.respond(exchange, ErrorCode::version_conflict,
                                        "another body was confirmed under it");
            case ProposalOutcome::unknown:
                return control_.respond(exchange, ErrorCode::no_majority, {}, kRetryMs);
        }
    }

    void step_back() {
        close_coordinator();
        consensus_.reset();
        reopen_at_ = net::Loop::now() + kReopen;
        for (const auto& [exchange, ticket] : std::exchange(puts_, {}))
            control_.respond(exchange, ErrorCode::disk_failed, {}, 300);
    }

    // Whether this machine leads, and what is committed, may have changed.
    void look() {
        if (!consensus_) return;
        const Micros now = net::Loop::now();
        const bool leads = acts(now);
        // A lease that runs out while this machine is short of time comes back with the next round: until
        // then nothing is said and nothing taken, but the coordinator stays. To close it would make all
        // fronts greet anew at the worst moment.
        if (coordinator_ && (!consensus_->is_established_leader() || leaving_ ||
                             coordinator_->term() != consensus_->current_term()))
            close_coordinator();
        if (leads && !coordinator_) {
            coordinator_ = std::make_unique<Coordinator>(loop_, settings_, consensus_->current_term(),
                                                         [this](Session s, const Message& m) { tell(s, m); });
            for (auto& [key, inbound_peer] : inbound_peers_)
                if (inbound_peer->front && inbound_peer->line->is_open())
                    coordinator_->came(inbound_peer->session, inbound_peer->registration);
        }
        if (!coordinator_ || !leads) return;
        if (const LogEntry* const entry = consensus_->committed_entry()) {
            const bool same = read_ && read_->version() == entry->version && read_body_ == entry->body;
            coordinator_->committed(*entry, same ? read_ : nullptr);
        }
        for (const auto& [session, message] : std::exchange(held_out_, {})) tell(session, message);
        for (const auto& [session, message] : std::exchange(held_in_, {})) take(session, message);
    }

    bool acts(Micros now) const { return consensus_ && !leaving_ && consensus_->has_lease(now); }

    // What a front says to the coordinator.
    void take(Session session, const Message& message) {
        if (!acts(net::Loop::now())) {
            if (held_in_.size() < kMostHeld)
                held_in_.emplace_back(session, message);
            else
                close_coordinator();  // its books would be wrong: fronts greet the next one
            return;
        }
        if (const auto* registration = std::get_if<Register>(&message))
            coordinator_->came(session, *registration);
        else
            coordinator_->said(session, message);
    }

    void close_coordinator() {
        if (!coordinator_) return;
        Event("coordinator_closed").with("term", coordinator_->term());
        closed_coordinators_.push_back(std::move(coordinator_));
        held_in_.clear();
        held_out_.clear();
        for (auto& [key, inbound_peer] : inbound_peers_)
            if (inbound_peer->front) {
                inbound_peer->line->close();
                gone_.push_back(key);
            }
    }

    // ---- mail ----

    void send(const std::string& to, const Message& message) {
        Peer& peer = peers_[to];
        const Micros now = net::Loop::now();
        if (!peer.line) {
            if (now < peer.dialed + kRedial) return;
            dial(to, peer);
        }
        if (peer.line && peer.line->unsent_bytes() < kMostUnsentBytes)
            peer.line->send(message, settings_.control_plane);
    }

    void dial(const std::string& to, Peer& peer) {
        const auto address = net::Address::read(settings_.internal_of(to));
        if (!address) return;
        peer.dialed = net::Loop::now();
        MessageConnection::Events events;
        events.on_message = [](const ReceivedMessage&) {};
        events.on_disconnected = [this, to] {
            Peer& p = peers_[to];
            if (p.line) old_lines_.push_back(std::move(p.line));
        };
        peer.line = std::make_unique<MessageConnection>(loop_, *address, kConnect, std::move(events));
    }

    void accepted(evutil_socket_t socket) {
        auto inbound_peer = std::make_unique<InboundPeer>();
        InboundPeer* const key = inbound_peer.get();
        MessageConnection::Events events;
        events.on_message = [this, key](const ReceivedMessage& message_received) {
            got(*key, message_received);
        };
        events.on_disconnected = [this, key] { gone_.push_back(key); };
        inbound_peer->line = std::make_unique<MessageConnection>(loop_, socket, std::move(events));
        inbound_peer->session = ++last_session_;
        by_session_[inbound_peer->session] = key;
        inbound_peers_[key] = std::move(inbound_peer);
    }

    void got(InboundPeer& inbound_peer, const ReceivedMessage& message_received) {
        const Micros now = net::Loop::now();
        if (!message_received.from.empty()) {
            inbound_peer.member = message_received.from;
            peers_[message_received.from].heard = now;
            if (!consensus_) return;
            carry_out(consensus_->on_message(now, message_received.from, message_received.message));
            set_timer();
            return;
        }
        if (const auto* registration = std::get_if<Register>(&message_received.message)) {
            inbound_peer.front = true;
            inbound_peer.registration = *registration;
            const bool fresh = !coordinator_;
            look();
            if (coordinator_ && fresh) return;  // it was told of all guests as it opened
            if (coordinator_) return take(inbound_peer.session, message_received.message);
            const std::string leader = consensus_ ? consensus_->leader() : std::string();
            inbound_peer.line->send(Redirect{leader == settings_.control_plane ? std::string() : leader});
            return;
        }
        if (coordinator_ && inbound_peer.front) take(inbound_peer.session, message_received.message);
    }

    void tell(Session session, const Message& message) {
        if (!acts(net::Loop::now())) {
            held_out_.emplace_back(session, message);
            return void();
        }
        const auto at = by_session_.find(session);
        if (at != by_session_.end() && at->second->line->is_open()) at->second->line->send(message);
    }

    // ---- the operator ----

    void asked(ExchangeId exchange, HttpMessage&& m) {
        const std::string path = m.target.substr(0, m.target.find('?'));
        if (path != "/v1/configuration") return control_.respond(exchange, ErrorCode::no_route, path);
        if (m.method != "PUT" && m.method != "GET")
            return control_.respond(exchange, ErrorCode::request_malformed, "PUT or GET");
        const Micros now = net::Loop::now();
        if (leaving_ || !consensus_ || !consensus_->has_lease(now)) {
            const std::string leader = consensus_ && !leaving_ ? consensus_->leader() : std::string();
            if (leader.empty() || leader == settings_.control_plane)
                return control_.respond(exchange, ErrorCode::no_majority, {}, 200);
            HttpMessage answer;
            answer.status = error_response(ErrorCode::not_leading).status;
            answer.fields.emplace_back("Location", "http://" + leader + m.target);
            return control_.respond(exchange, answer);
        }
        if (m.method == "GET") {
            const LogEntry* const entry = consensus_->committed_entry();
            if (!entry || entry->version == 0)
                return control_.respond(exchange, ErrorCode::no_majority, "no configuration yet", 200);
            HttpMessage answer;
            answer.status = 200;
            answer.fields.emplace_back("Content-Type", "application/json");
            answer.body = entry->body;
            return control_.respond(exchange, answer);
        }
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(configuration, Configuration::read(m.body));
                read_ = configuration;
                read_body_ = m.body;
                const Number ticket = ++last_ticket_;
                puts_[exchange] = ticket;
                carry_out(consensus_->propose(now, {ticket, configuration->version(), std::move(m.body)}));
                set_timer();
                return {};
            },
            [&](ErrorCode kind, const ErrorDetail& detail) {
                Event("configuration_refused", Level::warning)
                    .with("kind", error_response(kind).name)
                    .with("detail", detail.text);
                control_.respond(exchange, kind, detail.text);
            },
            [&] { control_.respond(exchange, ErrorCode::configuration_cut); });
    }

    void acknowledge(ExchangeId exchange) {
        HttpMessage answer;
        answer.status = 200;
        answer.fields.emplace_back("Content-Type", "application/json");
        answer.body = "{}";
        control_.respond(exchange, answer);
    }

    json::Value explain(const std::string& what) const {
        const Micros now = net::Loop::now();
        json::Object all{{"node", told(settings_.node_name)}, {"role", told(std::string("controller"))}};
        if (!consensus_) {
            all["state"] = told(std::string("its disk can not be used"));
            return json::Value(std::move(all));
        }
        all["term"] = told(static_cast<double>(consensus_->current_term()));
        all["leader"] = told(consensus_->leader());
        all["leads"] = json::Value(consensus_->has_lease(now));
        all["recovering"] = json::Value(consensus_->is_recovering());
        all["fence"] = told(coordinator_ ? static_cast<double>(coordinator_->term()) : 0);
        all["version"] = told(
            consensus_->committed_entry() ? static_cast<double>(consensus_->committed_entry()->version) : 0);
        all["malformed_lines"] = told(static_cast<double>(MessageConnection::malformed_connections()));
        json::List core;
        if (what.empty() || what == "core")
            for (const std::string& m : consensus_->voters()) {
                const Micros heard = consensus_->last_contact(m);
                core.emplace_back(
                    json::Object{{"member", told(m)},
                                 {"itself", json::Value(m == settings_.control_plane)},
                                 {"heard_ms_ago", heard > 0 ? told_ms(now - heard) : json::Value()}});
            }
        if (!core.empty()) all["core"] = json::Value(std::move(core));
        if (coordinator_) coordinator_->explain(what, all);
        return json::Value(std::move(all));
    }

    // ---- time ----

    void due() {
        const Micros now = net::Loop::now();
        if (!consensus_ && now >= reopen_at_) open();
        if (consensus_) {
            carry_out(consensus_->on_timer(now));
        }
        if (coordinator_ && acts(now)) coordinator_->tick(now);
        if (now >= next_sweep_) sweep(now);
        end_if_done(now);
        set_timer();
    }

    void sweep(Micros now) {
        next_sweep_ = now + 500'000;
        control_.close_expired(now);
        explain_.sweep(now);
        old_lines_.clear();
        closed_coordinators_.clear();
        for (auto& [key, inbound_peer] : inbound_peers_)
            if (now > inbound_peer->line->last_received_at() + kDeaf) {
                inbound_peer->line->close();
                gone_.push_back(key);
            }
        for (InboundPeer* const key : std::exchange(gone_, {})) {
            const auto at = inbound_peers_.find(key);
            if (at == inbound_peers_.end()) continue;
            if (coordinator_ && key->front) coordinator_->left(key->session);
            by_session_.erase(key->session);
            inbound_peers_.erase(at);
        }
        // Against a path that is cut: what was written there is not waited for.
        for (auto& [to, peer] : peers_)
            if (peer.line && now > std::max(peer.heard, peer.dialed) + kDeaf) {
                peer.line->close();
                old_lines_.push_back(std::move(peer.line));
            }
        if (now >= next_look_) {
            next_look_ = now + 2'000'000;
            watch_.look(false);
        }
    }

    void set_timer() {
        Micros next = next_sweep_;
        if (consensus_)
            next = std::min(next, consensus_->next_timer());
        else
            next = std::min(next, reopen_at_);
        if (coordinator_ && acts(net::Loop::now())) next = std::min(next, coordinator_->next_tick());
        if (leaving_) next = std::min(next, net::Loop::now() + kLeaveCheck);
        timer_.set(next);
    }

    void restated(const Settings& s) {
        settings_.seeds = s.seeds;
        if (consensus_) consensus_->set_seeds(s.seeds);
    }

    void leave() {
        if (leaving_) return;
        leaving_ = true;
        Event("leaving").with("open", puts_.size());
        if (consensus_) {
            carry_out(consensus_->begin_leaving(net::Loop::now()));
        }
        close_coordinator();
        control_.disable_keep_alive();
        control_.drain();
        leave_by_ = net::Loop::now() + settings_.grace_period / 2;
        leave_no_sooner_ = net::Loop::now() + kLeastLeaveTime;
        set_timer();
    }

    // Ends once the others hold all that is committed here, and what was still to be answered has been.
    void end_if_done(Micros now) {
        if (!leaving_ || now < leave_no_sooner_) return;
        const bool may_end = !consensus_ || consensus_->may_stop();
        if (may_end || now >= leave_by_) loop_.stop();
    }

    net::Loop& loop_;
    Settings settings_;
    SettingsWatch watch_;
    HttpServer control_;
    net::Listener listener_;
    Store store_;
    std::optional<Consensus> consensus_;
    std::unique_ptr<Coordinator> coordinator_;
    std::vector<std::unique_ptr<Coordinator>> closed_coordinators_;
    std::vector<std::pair<Session, Message>> held_in_, held_out_;  // until the lease is back
    std::shared_ptr<const Configuration> read_;  // the newest that was handed in, and its text
    std::string read_body_;
    std::map<std::string, Peer> peers_;
    std::vector<std::unique_ptr<MessageConnection>> old_lines_;
    std::map<InboundPeer*, std::unique_ptr<InboundPeer>> inbound_peers_;
    std::map<Session, InboundPeer*> by_session_;
    std::vector<InboundPeer*> gone_;
    std::map<ExchangeId, Number> puts_;
    Number last_ticket_ = 0;
    Session last_session_ = 0;
    Micros reopen_at_ = 0, next_sweep_ = 0, next_look_ = 0;
    Micros leave_by_ = 0, leave_no_sooner_ = 0;
    bool leaving_ = false;
    ExplainResource explain_;
    net::Timer timer_;
    net::Signal term_, int_;
};

}  // namespace
}  // namespace gannethold::cluster

int main(int argc, char** argv) {
    using namespace gannethold;
    const cluster::Settings settings = cluster::begin_process(
        argc, argv,
        "gannethold-controller keeps the system's shared state and, while it leads, its slots and runners.\n"
        "It takes its addresses and bounds from the settings file.");
    net::Loop loop(cluster::blocks_for(settings));
    cluster::Controller controller(loop, settings);
    loop.run([] {});
    cluster::end_process();
}
