// gannethold-proxy: a front. Takes requests from clients, draws their runners, asks the coordinator for
// slots, and brings the answers back.
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <map>
#include <optional>
#include <random>

#include "cluster/base/events.hpp"
#include "cluster/configuration/delta.hpp"
#include "cluster/proxy/request_handler.hpp"
#include "cluster/proxy/shutdown.hpp"
#include "cluster/programs/admin.hpp"
#include "cluster/programs/process.hpp"
#include "cluster/programs/run_end.hpp"
#include "cluster/transport/http_caller.hpp"
#include "cluster/transport/http_service.hpp"
#include "cluster/transport/message_connection.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnect = 350'000, kAnswer = 500'000, kReach = 800'000, kBeat = 250'000, kRedial = 60'000;
constexpr Micros kWatchEach = 40'000;
constexpr Micros kShutdownCheck = 50'000;  // what is written meanwhile is noticed so late
constexpr Micros kAsleep = 1'000'000;      // timers are at most 0.2 s apart
constexpr char kLeft[] = "X-Deadline-Remaining", kExpect[] = "X-Expected-Runner";

RequestHandler::Options handler_options(const Settings& s) {
    std::random_device chance;
    return {s.node_name,
            s.zone,
            (static_cast<Number>(chance()) << 16) + 1,
            kReach,
            (static_cast<Number>(chance()) << 32) | chance(),
            s.late_turn};
}

class Proxy {
  public:
    Proxy(net::Loop& loop, Settings settings)
        : loop_(loop),
          settings_(std::move(settings)),
          watch_(loop, [this](const Settings& s) { settings_.seeds = s.seeds; }),
          handler_(handler_options(settings_)),
          runners_(
              loop, {500'000, 8'000'000, 6, 16U << 20, kAttemptIdField},
              {[this](HttpCaller::Call id, CallEnd how, HttpMessage&& answer, bool fresh) {
                   ended(id, how, std::move(answer), fresh);
               },
               [this](const std::string& a) { reached(a); }, [this](const std::string& a) { refused(a); }}),
          clients_(loop, address_or_end(settings_.frontend, "listen_addresses.frontend"),
                   {[this](HttpService::Exchange e, HttpMessage&& m) { asked(e, std::move(m)); },
                    [this](HttpService::Exchange e) { left(e); }},
                   static_cast<std::size_t>(std::max<std::int64_t>(64, settings_.descriptors * 6 / 10))),
          readiness_(
              loop, address_or_end(settings_.readiness, "listen_addresses.readiness"),
              {[this](HttpService::Exchange e, HttpMessage&&) { ready(e); }, [](HttpService::Exchange) {}},
              64),
          explain_(loop, [this](const std::string& what) { return explain(what); }),
          timer_(loop, [this] { due(); }),
          signals_(loop, [this] { leave(); }) {
        due();
    }

  private:
    struct Asked {
        HttpMessage message;
        std::vector<std::string> sent_to;  // addresses
    };
    struct Watch {
        Micros since = 0, next = 0;
        bool out = false;
    };

    // ---- clients ----

    void ready(HttpService::Exchange exchange) {
        if (shutdown_.begun()) return readiness_.answer(exchange, ErrorCode::leaving, {}, 1000);
        if (!handler_.configuration())
            return readiness_.answer(exchange, ErrorCode::no_majority, "no configuration yet", 500);
        HttpMessage answer;
        answer.status = 200;
        readiness_.answer(exchange, answer);
    }

    void asked(HttpService::Exchange exchange, HttpMessage&& m) {
        std::uint32_t deadline = 0;
        const std::string_view stated = m.field(kLeft);
        const auto [end, wrong] = std::from_chars(stated.data(), stated.data() + stated.size(), deadline);
        if (stated.empty() || wrong != std::errc()) deadline = 600'000;
        (void)end;
        const std::string host(m.field("Host"));
        const std::string target = m.target;
        requests_[exchange].message = std::move(m);
        Actions actions;
        handler_.arrived(net::Loop::now(), exchange, host, target, deadline, actions);
        carry_out(actions);
    }

    void left(HttpService::Exchange exchange) {
        requests_.erase(exchange);  // its client does not wait any more, so it is not sent again
        Actions actions;
        handler_.on_client_disconnected(net::Loop::now(), exchange, actions);
        carry_out(actions);
    }

    // ---- runners ----

    void forward(const Actions::Forward& f) {
        const auto at = requests_.find(f.request);
        if (at == requests_.end()) return;
        const HttpMessage& from = at->second.message;
        HttpMessage to;
        to.method = from.method;
        to.target = from.target;
        for (const auto& [name, value] : from.fields)
            if (!of_one_connection(name) && !http::same_word(name, kLeft) && !http::same_word(name, kExpect))
                to.fields.emplace_back(name, value);
        to.fields.emplace_back(kLeft, std::to_string(f.remaining_ms));
        to.fields.emplace_back(kExpect, f.runner);
        to.body = from.body;
        std::vector<std::string>& sent_to = at->second.sent_to;
        const bool been_there = std::find(sent_to.begin(), sent_to.end(), f.address) != sent_to.end();
        if (!been_there) sent_to.push_back(f.address);
        runners_.call(f.request, f.address, to, been_there);
    }

    void ended(HttpCaller::Call id, CallEnd how, HttpMessage&& answer, bool fresh) {
        const AttemptResult end = judge(how, answer, fresh);
        answers_[id] = std::move(answer);
        Actions actions;
        handler_.ended(net::Loop::now(), id, end, actions);
        carry_out(actions);
        answers_.erase(id);
    }

    void relay(RequestId id) {
        const auto at = answers_.find(id);
        if (at == answers_.end()) return;
        HttpMessage to;
        to.status = at->second.status;
        for (auto& [name, value] : at->second.fields)
            if (!of_one_connection(name)) to.fields.emplace_back(std::move(name), std::move(value));
        to.body = std::move(at->second.body);
        clients_.answer(id, to);
    }

    void reached(const std::string& address) {
        if (watches_.erase(address) == 0) return;
        Actions actions;
        handler_.reached(net::Loop::now(), address, true, actions);
        carry_out(actions);
    }

    void refused(const std::string& address) {
        const auto at = watches_.find(address);
        if (at == watches_.end()) return;
        at->second.out = false;
        at->second.next = net::Loop::now() + kWatchEach;
        set_timer();
    }

    // ---- actions ----

    void carry_out(Actions& actions) {
        for (const Message& mail : actions.mails) say(mail);
        for (const ValueLoss& l : handler_.new_losses())
            Event("lost")
                .with("how", ValueLoss::name(l.how))
                .with("cause", ValueLoss::name(l.cause))
                .with("service", l.service)
                .with("took_ms", l.took / 1000);
        for (const Actions::Reply& r : actions.replies) {
            clients_.answer(r.request, r.kind, {}, r.retry_ms);
        }
        for (const RequestId id : actions.relays) relay(id);
        for (const RequestId id : actions.abandons) runners_.abandon(id);
        for (const Actions::Forward& f : actions.forwards) forward(f);
        for (const std::string& address : actions.forgets) runners_.forget(address);
        for (const std::string& address : actions.watches)
            watches_.try_emplace(address, Watch{net::Loop::now(), net::Loop::now(), false});
        for (const Actions::Reply& r : actions.replies) requests_.erase(r.request);
        for (const RequestId id : actions.relays) requests_.erase(id);
        set_timer();
    }

    // ---- the coordinator ----

    void say(const Message& message) {
        if (!line_ || !line_->open()) return;
        line_->send(message);
        said_at_ = net::Loop::now();
    }

    void drop_line() {
        if (!line_) return;
        line_->close();
        old_.push_back(std::move(line_));
        registered_ = false;
        Actions actions;
        handler_.on_coordinator_disconnected(net::Loop::now(), actions);
        carry_out(actions);
    }

    void dial(Micros now) {
        std::string to = std::exchange(redirected_to_, {});
        if (to.empty()) {
            std::vector<std::string> all = members_;
            for (const std::string& seed : settings_.seeds)
                if (std::find(all.begin(), all.end(), seed) == all.end()) all.push_back(seed);
            if (all.empty()) return;
            to = all[next_core_++ % all.size()];
        }
        dialed_at_ = now;
        const auto address = net::Address::read(settings_.internal_of(to));
        if (!address) return;
        MessageConnection::Events events;
        events.up = [this] { line_->send(handler_.registration()); };
        events.message_received = [this](const ReceivedMessage& message_received) {
            got(message_received.message);
        };
        events.ended = [this] { drop_line(); };
        line_ = std::make_unique<MessageConnection>(loop_, *address, kConnect, std::move(events));
    }

    void got(const Message& message) {
        const Micros now = net::Loop::now();
        // It stood still for so long that the coordinator has given its slots to others: nothing is sent by
        // old grants.
        if (now > turned_ + kAsleep) {
            turned_ = now;
            Event("woke", Level::warning).with("open", handler_.open());
            return drop_line();
        }
        Actions actions;
        if (const auto* m = std::get_if<Redirect>(&message)) {
            redirected_to_ = m->leader;
            drop_line();
            if (redirected_to_.empty())
                dialed_at_ = now;
            else
                dialed_at_ = 0;
            return;
        }
        if (const auto* m = std::get_if<ConfigurationSent>(&message)) return take(*m);
        handler_.said(now, message, actions);
        if (const auto* m = std::get_if<Registered>(&message)) {
            members_ = m->members;
            if (!registered_) {
                registered_ = true;
                handler_.on_coordinator_registered(now, actions);
            }
        }
        carry_out(actions);
    }

    void take(const ConfigurationSent& m) {
        if (m.version <= handler_.version()) return;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                if (m.delta.base != 0 && m.delta.base != handler_.version())
                    return failure(ErrorCode::bytes_malformed, "a difference to a version that is not held");
                BOOST_LEAF_AUTO(body, apply_delta(m.delta.base == 0 ? std::string() : body_, m.delta.bytes));
                BOOST_LEAF_AUTO(configuration, Configuration::read(body));
                body_ = std::move(body);
                clients_.limit(configuration->limits());
                handler_.configure(std::move(configuration));
                Event("configuration").with("version", handler_.version());
                return {};
            },
            [&](ErrorCode kind, const ErrorDetail& detail) {
                Event("configuration_passed_over", Level::warning)
                    .with("kind", error_response(kind).name)
                    .with("detail", detail.text);
            },
            [] {});
        say(ConfigurationHeld{handler_.version()});
    }

    json::Value explain(const std::string& what) const {
        const Micros now = net::Loop::now();
        json::Object all{
            {"node", json_value(settings_.node_name)},
            {"role", json_value(std::string("proxy"))},
            {"version", json_value(static_cast<double>(handler_.version()))},
            {"coordinator", json::Value(handler_.coordinator())},
            {"open", json_value(static_cast<double>(handler_.open()))},
            {"malformed_lines", json_value(static_cast<double>(MessageConnection::malformed()))}};
        json::List requests;
        json::List splits;
        if (what.empty() || what == "requests")
            for (const RoutingDecision& d : handler_.decisions().kept())
                requests.emplace_back(json::Object{{"ago_ms", json_ms(now - d.at)},
                                                   {"request", json_value(static_cast<double>(d.request))},
                                                   {"service", json_value(d.service)},
                                                   {"runner", json_value(d.runner)},
                                                   {"waited_ms", json_ms(d.waited)},
                                                   {"why", json_value(std::string(d.why))}});
        if (what.empty() || what == "splits")
            for (const RequestHandler::Share& s : handler_.shares())
                splits.emplace_back(json::Object{
                    {"service", json_value(s.service)},
                    {"runner", json_value(s.runner)},
                    {"fraction", json_value(s.fraction)},
                    {"latency_ms", json_value(s.latency * 1e3)},
                    {"out", json_value(s.out)},
                    {"mode", json_value(std::string(s.unrestricted ? "unrestricted" : "coordinated"))}});
        if (what.empty() || what == "losses") {
            json::List losses;
            for (std::size_t cause = 0; cause < ValueLoss::kCauses; ++cause)
                for (std::size_t how = 0; how < ValueLoss::kHows; ++how)
                    if (const auto count = handler_.loss_counts()[cause][how]; count > 0)
                        losses.emplace_back(json::Object{
                            {"cause",
                             json_value(std::string(ValueLoss::name(static_cast<ValueLoss::Cause>(cause))))},
                            {"how",
                             json_value(std::string(ValueLoss::name(static_cast<ValueLoss::How>(how))))},
                            {"count", json_value(static_cast<double>(count))}});
            all["losses"] = json::Value(std::move(losses));
        }
        if (what.empty() || what == "requests") all["requests"] = json::Value(std::move(requests));
        if (what.empty() || what == "splits") all["splits"] = json::Value(std::move(splits));
        return json::Value(std::move(all));
    }

    // ---- time ----

    void due() {
        const Micros now = net::Loop::now();
        if (now > turned_ + kAsleep && line_) {
            Event("woke", Level::warning).with("open", handler_.open());
            drop_line();
        }
        turned_ = now;
        if (line_) {
            const Micros quiet = registered_ ? kReach : kAnswer;
            if (now > std::max(line_->heard(), dialed_at_) + quiet)
                drop_line();
            else if (registered_ && now >= std::max(line_->heard(), said_at_) + kBeat)
                say(Heartbeat{});
        }
        if (!line_ && now >= dialed_at_ + kRedial) dial(now);
        Actions actions;
        handler_.tick(now, actions);
        carry_out(actions);
        std::vector<std::string> given_up;
        for (auto& [address, w] : watches_) {
            if (w.out || now < w.next) continue;
            if (now > w.since + 12'000'000) {
                given_up.push_back(address);
                continue;
            }
            w.out = true;
            runners_.preconnect(address);
        }
        for (const std::string& address : given_up) {
            watches_.erase(address);
            Actions more;
            handler_.reached(now, address, false, more);
            carry_out(more);
        }
        if (now >= next_sweep_) {
            next_sweep_ = now + 500'000;
            old_.clear();
            clients_.sweep(now);
            readiness_.sweep(now);
            explain_.sweep(now);
            runners_.sweep(now);
            if (now >= next_look_) {
                next_look_ = now + 2'000'000;
                watch_.poll();
            }
        }
        if (shutdown_.begun()) shut_down(now);
        set_timer();
    }

    void shut_down(Micros now) {
        for (;;) {
            switch (shutdown_.step(now, clients_.unfinished())) {
                case Shutdown::Step::none:
                    return;
                case Shutdown::Step::close_idle:
                    clients_.close_idle();
                    break;
                case Shutdown::Step::answer_open: {
                    Actions actions;
                    handler_.answer_all(now, actions);
                    carry_out(actions);
                    break;
                }
                case Shutdown::Step::stop:
                    loop_.stop();
                    return;
            }
        }
    }

    void set_timer() {
        const Micros now = net::Loop::now();
        Micros next = std::min(next_sweep_, now + 200'000);
        if (!line_)
            next = std::min(next, dialed_at_ + kRedial);
        else if (registered_)
            next = std::min(next, std::max(line_->heard(), said_at_) + kBeat);
        if (handler_.next_deadline() > 0) next = std::min(next, handler_.next_deadline());
        if (shutdown_.begun()) next = std::min(next, now + kShutdownCheck);
        if (!handler_.coordinator() && handler_.open() > 0) next = std::min(next, now + 30'000);
        for (const auto& [address, w] : watches_)
            if (!w.out) next = std::min(next, w.next);
        timer_.set(next);
    }

    void leave() {
        const Micros now = net::Loop::now();
        shutdown_.begin(now, settings_.grace_period);
        Event("shutdown_started").with("pending", handler_.open());
        clients_.say_goodbye();
        Actions actions;
        handler_.begin_shutdown(now, shutdown_.answer_by(), actions);
        carry_out(actions);
    }

    net::Loop& loop_;
    Settings settings_;
    SettingsWatch watch_;
    RequestHandler handler_;
    HttpCaller runners_;
    HttpService clients_, readiness_;
    std::unordered_map<RequestId, Asked> requests_;  // of clients that wait
    std::unordered_map<RequestId, HttpMessage> answers_;
    std::map<std::string, Watch> watches_;
    std::unique_ptr<MessageConnection> line_;
    std::vector<std::unique_ptr<MessageConnection>> old_;
    std::vector<std::string> members_;
    std::string redirected_to_, body_;
    std::size_t next_core_ = static_cast<std::size_t>(getpid());
    Micros turned_ = net::Loop::now();
    Micros dialed_at_ = -1'000'000, said_at_ = 0, next_sweep_ = 0, next_look_ = 0;
    bool registered_ = false;
    Shutdown shutdown_;
    ExplainResource explain_;
    net::Timer timer_;
    ShutdownSignals signals_;
};

}  // namespace
}  // namespace gannethold::cluster

int main(int argc, char** argv) {
    using namespace gannethold;
    return cluster::run_process<cluster::Proxy>(
        argc, argv,
        "gannethold-proxy takes requests from clients and brings them to runners.\n"
        "It takes its addresses and bounds from the settings file.");
}
