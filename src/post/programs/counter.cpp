// gannethold-counter: a front. Takes requests from clients, draws their runners, asks the keeper for slots, and brings the
// answers back.
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <map>
#include <optional>
#include <random>

#include "post/base/events.hpp"
#include "post/configuration/delta.hpp"
#include "post/front/desk.hpp"
#include "post/programs/admin.hpp"
#include "post/programs/process.hpp"
#include "post/transport/http_caller.hpp"
#include "post/transport/http_service.hpp"
#include "post/transport/line.hpp"

namespace gannethold::post {
namespace {

constexpr Micros kConnect = 350'000, kAnswer = 500'000, kReach = 800'000, kBeat = 250'000, kRedial = 60'000;
constexpr Micros kWatchEach = 40'000;
constexpr Micros kAsleep = 1'000'000;  // timers are at most 0.2 s apart
constexpr char kId[] = "X-Attempt-Id", kLeft[] = "X-Deadline-Remaining", kExpect[] = "X-Expected-Runner", kNotRun[] = "X-Request-Not-Run";

Desk::Terms desk_terms(const Settings& s) {
    std::random_device chance;
    return {s.node_name, s.zone, (static_cast<Number>(chance()) << 16) + 1, kReach, (static_cast<Number>(chance()) << 32) | chance(), s.late_turn};
}

class Counter {
  public:
    Counter(net::Loop& loop, Settings settings)
        : loop_(loop),
          settings_(std::move(settings)),
          watch_(loop, [this](const Settings& s) { settings_.seeds = s.seeds; }),
          desk_(desk_terms(settings_)),
          runners_(loop, {500'000, 8'000'000, 6, 16U << 20, kId},
                   {[this](HttpCaller::Call id, CallEnd how, HttpMessage&& answer, bool fresh) { ended(id, how, std::move(answer), fresh); },
                    [this](const std::string& a) { reached(a); }, [this](const std::string& a) { refused(a); }}),
          clients_(loop, address_or_end(settings_.frontend, "listen_addresses.frontend"),
                   {[this](HttpService::Exchange e, HttpMessage&& m) { asked(e, std::move(m)); }, [this](HttpService::Exchange e) { left(e); }},
                   static_cast<std::size_t>(std::max<std::int64_t>(64, settings_.descriptors * 6 / 10))),
          readiness_(loop, address_or_end(settings_.readiness, "listen_addresses.readiness"),
                     {[this](HttpService::Exchange e, HttpMessage&&) { ready(e); }, [](HttpService::Exchange) {}}, 64),
          explain_(loop, [this](const std::string& what) { return explain(what); }),
          timer_(loop, [this] { due(); }),
          term_(loop, SIGTERM, [this] { leave(); }),
          int_(loop, SIGINT, [this] { leave(); }) {
        due();
    }

  private:
    struct Watch {
        Micros since = 0, next = 0;
        bool out = false;
    };

    // ---- clients ----

    void ready(HttpService::Exchange exchange) {
        if (leaving_) return readiness_.answer(exchange, Kind::leaving, {}, 1000);
        if (!desk_.configuration()) return readiness_.answer(exchange, Kind::no_majority, "no configuration yet", 500);
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
        const std::string host(m.field("Host")), target = m.target;
        requests_[exchange] = std::move(m);
        Deeds deeds;
        desk_.arrived(net::Loop::now(), exchange, host, target, deadline, deeds);
        carry_out(deeds);
    }

    void left(HttpService::Exchange exchange) {
        Deeds deeds;
        desk_.client_left(net::Loop::now(), exchange, deeds);
        carry_out(deeds);
    }

    // ---- runners ----

    void forward(const Deeds::Forward& f) {
        const auto at = requests_.find(f.request);
        if (at == requests_.end()) return;
        const HttpMessage& from = at->second;
        HttpMessage to;
        to.method = from.method, to.target = from.target;
        for (const auto& [name, value] : from.fields)
            if (!of_one_connection(name) && !http::same_word(name, kLeft) && !http::same_word(name, kExpect)) to.fields.emplace_back(name, value);
        to.fields.emplace_back(kLeft, std::to_string(f.remaining_ms));
        to.fields.emplace_back(kExpect, f.runner);
        to.body = from.body;
        runners_.call(f.request, f.address, to);
    }

    void ended(HttpCaller::Call id, CallEnd how, HttpMessage&& answer, bool fresh) {
        RunEnd end = RunEnd::may_have_run;
        switch (how) {
            case CallEnd::unreachable: end = RunEnd::unreachable; break;
            case CallEnd::unsent: end = RunEnd::unsent; break;
            case CallEnd::broken:
            case CallEnd::malformed: break;
            case CallEnd::answered: {
                const bool named = !answer.field(kId).empty();
                const bool says_not = !answer.field(kNotRun).empty() || answer.status == 421;
                if (says_not) {
                    // Without our id on a connection that served others it may be an answer too many to one of those.
                    if (named || fresh) end = answer.status == 421 ? RunEnd::misdirected : RunEnd::not_run;
                } else if (named && answer.field("Content-Encoding").empty()) {
                    const int s = answer.status;
                    // Of these our client would think that it has not run, and the runner does not say so.
                    if (s == 408 || s == 429 || s == 503) end = RunEnd::may_have_run;
                    else end = s >= 500 ? RunEnd::failed : RunEnd::answered;
                }
                break;
            }
        }
        answers_[id] = std::move(answer);
        Deeds deeds;
        desk_.ended(net::Loop::now(), id, end, deeds);
        carry_out(deeds);
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
        Deeds deeds;
        desk_.reached(net::Loop::now(), address, true, deeds);
        carry_out(deeds);
    }

    void refused(const std::string& address) {
        const auto at = watches_.find(address);
        if (at == watches_.end()) return;
        at->second.out = false;
        at->second.next = net::Loop::now() + kWatchEach;
        set_timer();
    }

    // ---- deeds ----

    void carry_out(Deeds& deeds) {
        for (const Message& mail : deeds.mails) say(mail);
        for (const Loss& l : desk_.new_losses())
            Event("lost").with("how", Loss::name(l.how)).with("cause", Loss::name(l.cause)).with("service", l.service).with("took_ms", l.took / 1000);
        for (const Deeds::Reply& r : deeds.replies) {
            clients_.answer(r.request, r.kind, {}, r.retry_ms);
        }
        for (const RequestId id : deeds.relays) relay(id);
        for (const RequestId id : deeds.abandons) runners_.abandon(id);
        for (const Deeds::Forward& f : deeds.forwards) forward(f);
        for (const std::string& address : deeds.forgets) runners_.forget(address);
        for (const std::string& address : deeds.watches) watches_.try_emplace(address, Watch{net::Loop::now(), net::Loop::now(), false});
        for (const Deeds::Reply& r : deeds.replies) requests_.erase(r.request);
        for (const RequestId id : deeds.relays) requests_.erase(id);
        set_timer();
    }

    // ---- the keeper ----

    void say(const Message& message) {
        if (!line_ || !line_->open()) return;
        line_->send(message);
        said_at_ = net::Loop::now();
    }

    void drop_line() {
        if (!line_) return;
        line_->close();
        old_.push_back(std::move(line_));
        welcomed_ = false;
        Deeds deeds;
        desk_.keeper_lost(net::Loop::now(), deeds);
        carry_out(deeds);
    }

    void dial(Micros now) {
        std::string to = std::exchange(referred_, {});
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
        Line::Events events;
        events.up = [this] { line_->send(desk_.greeting()); };
        events.letter = [this](const Letter& letter) { got(letter.message); };
        events.ended = [this] { drop_line(); };
        line_ = std::make_unique<Line>(loop_, *address, kConnect, std::move(events));
    }

    void got(const Message& message) {
        const Micros now = net::Loop::now();
        // It stood still for so long that the keeper has given its slots to others: nothing is sent by old grants.
        if (now > turned_ + kAsleep) {
            turned_ = now;
            Event("woke", Level::warning);
            return drop_line();
        }
        Deeds deeds;
        if (const auto* m = std::get_if<Referral>(&message)) {
            referred_ = m->leader;
            drop_line();
            if (referred_.empty()) dialed_at_ = now;
            else dialed_at_ = 0;
            return;
        }
        if (const auto* m = std::get_if<ConfigurationSent>(&message)) return take(*m);
        desk_.said(now, message, deeds);
        if (const auto* m = std::get_if<Welcome>(&message)) {
            members_ = m->members;
            if (!welcomed_) {
                welcomed_ = true;
                desk_.keeper_up(now, deeds);
            }
        }
        carry_out(deeds);
    }

    void take(const ConfigurationSent& m) {
        if (m.version <= desk_.version()) return;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                if (m.patch.base != 0 && m.patch.base != desk_.version()) return failure(Kind::bytes_malformed, "a difference to a version that is not held");
                BOOST_LEAF_AUTO(body, patched(m.patch.base == 0 ? std::string() : body_, m.patch.bytes));
                BOOST_LEAF_AUTO(configuration, Configuration::read(body));
                body_ = std::move(body);
                clients_.limit(configuration->limits());
                desk_.configure(std::move(configuration));
                Event("configuration").with("version", desk_.version());
                return {};
            },
            [&](Kind kind, const Detail& detail) { Event("configuration_passed_over", Level::warning).with("kind", answer_to(kind).name).with("detail", detail.text); },
            [] {});
        say(ConfigurationHeld{desk_.version()});
    }

    json::Value explain(const std::string& what) const {
        const Micros now = net::Loop::now();
        json::Object all{{"node", told(settings_.node_name)}, {"role", told(std::string("counter"))}, {"version", told(static_cast<double>(desk_.version()))},
                         {"keeper", json::Value(desk_.keeper())}, {"open", told(static_cast<double>(desk_.open()))}, {"malformed_lines", told(static_cast<double>(Line::malformed()))}};
        json::List requests, splits;
        if (what.empty() || what == "requests")
            for (const Decision& d : desk_.decisions().kept())
                requests.emplace_back(json::Object{{"ago_ms", told_ms(now - d.at)}, {"request", told(static_cast<double>(d.request))}, {"service", told(d.service)},
                                                   {"runner", told(d.runner)}, {"waited_ms", told_ms(d.waited)}, {"why", told(std::string(d.why))}});
        if (what.empty() || what == "splits")
            for (const Desk::Share& s : desk_.shares())
                splits.emplace_back(json::Object{{"service", told(s.service)}, {"runner", told(s.runner)}, {"fraction", told(s.fraction)}, {"latency_ms", told(s.latency * 1e3)},
                                                 {"out", told(s.out)}, {"mode", told(std::string(s.free ? "free" : "kept"))}});
        if (what.empty() || what == "losses") {
            json::List losses;
            for (std::size_t cause = 0; cause < Loss::kCauses; ++cause)
                for (std::size_t how = 0; how < Loss::kHows; ++how)
                    if (const auto count = desk_.loss_counts()[cause][how]; count > 0)
                        losses.emplace_back(json::Object{{"cause", told(std::string(Loss::name(static_cast<Loss::Cause>(cause))))}, {"how", told(std::string(Loss::name(static_cast<Loss::How>(how))))},
                                                         {"count", told(static_cast<double>(count))}});
            all["losses"] = json::Value(std::move(losses));
        }
        if (what.empty() || what == "requests") all["requests"] = json::Value(std::move(requests));
        if (what.empty() || what == "splits") all["splits"] = json::Value(std::move(splits));
        return json::Value(std::move(all));
    }

    // ---- time ----

    void due() {
        const Micros now = net::Loop::now();
        if (now > turned_ + kAsleep && line_) Event("woke", Level::warning), drop_line();
        turned_ = now;
        if (line_) {
            const Micros quiet = welcomed_ ? kReach : kAnswer;
            if (now > std::max(line_->heard(), dialed_at_) + quiet) drop_line();
            else if (welcomed_ && now >= std::max(line_->heard(), said_at_) + kBeat) say(Beat{});
        }
        if (!line_ && now >= dialed_at_ + kRedial) dial(now);
        Deeds deeds;
        desk_.tick(now, deeds);
        carry_out(deeds);
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
            Deeds more;
            desk_.reached(now, address, false, more);
            carry_out(more);
        }
        if (now >= next_sweep_) {
            next_sweep_ = now + 500'000;
            old_.clear();
            clients_.sweep(now);
            readiness_.sweep(now);
            explain_.sweep(now);
            runners_.sweep(now);
            if (now >= next_look_) next_look_ = now + 2'000'000, watch_.look(false);
        }
        if (leaving_) {
            if (now >= leaving_ + 2'600'000 && !closed_) closed_ = true, clients_.close_idle();
            const bool done = closed_ && clients_.under_way() == 0;
            if (done || now >= leaving_ + settings_.grace_period - 300'000) loop_.stop();
        }
        set_timer();
    }

    void set_timer() {
        const Micros now = net::Loop::now();
        Micros next = std::min(next_sweep_, now + 200'000);
        if (!line_) next = std::min(next, dialed_at_ + kRedial);
        else if (welcomed_) next = std::min(next, std::max(line_->heard(), said_at_) + kBeat);
        if (desk_.next_deadline() > 0) next = std::min(next, desk_.next_deadline());
        if (!desk_.keeper() && desk_.open() > 0) next = std::min(next, now + 30'000);
        for (const auto& [address, w] : watches_)
            if (!w.out) next = std::min(next, w.next);
        timer_.set(next);
    }

    void leave() {
        if (leaving_) return;
        leaving_ = net::Loop::now();
        Event("leaving").with("open", desk_.open());
        clients_.say_goodbye();
        set_timer();
    }

    net::Loop& loop_;
    Settings settings_;
    SettingsWatch watch_;
    Desk desk_;
    HttpCaller runners_;
    HttpService clients_, readiness_;
    std::unordered_map<RequestId, HttpMessage> requests_, answers_;
    std::map<std::string, Watch> watches_;
    std::unique_ptr<Line> line_;
    std::vector<std::unique_ptr<Line>> old_;
    std::vector<std::string> members_;
    std::string referred_, body_;
    std::size_t next_core_ = static_cast<std::size_t>(getpid());
    Micros turned_ = net::Loop::now();
    Micros dialed_at_ = -1'000'000, said_at_ = 0, next_sweep_ = 0, next_look_ = 0, leaving_ = 0;
    bool welcomed_ = false, closed_ = false;
    ExplainResource explain_;
    net::Timer timer_;
    net::Signal term_, int_;
};

}  // namespace
}  // namespace gannethold::post

int main(int argc, char** argv) {
    using namespace gannethold;
    const post::Settings settings = post::begin_process(argc, argv,
        "gannethold-counter takes requests from clients and brings them to runners.\n"
        "It takes its addresses and bounds from the settings file.");
    net::Loop loop(post::blocks_for(settings));
    post::Counter counter(loop, settings);
    loop.run([] {});
    return 0;
}
