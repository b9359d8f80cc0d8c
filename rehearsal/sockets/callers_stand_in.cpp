#include "sockets/callers_stand_in.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace gannethold::rehearsal {
namespace {

constexpr Micros kLookEvery = 200'000;   // how often the front looks at each dispatcher
constexpr Micros kNobodyThere = 50'000;  // until a call is tried again where no dispatcher is healthy

}  // namespace

// One connection of the front to one dispatcher: for calls, or for a look at its health.
class CallersStandIn::Line final : public net::Connection::Owner {
  public:
    Line(CallersStandIn& callers, std::size_t dispatcher)
        : dispatcher(dispatcher),
          callers_(callers),
          reader_(http::MessageKind::response, callers.backstage_.loop.block_pool()),
          connection_(callers.backstage_.loop, *this, callers.places_[dispatcher].address,
                      callers.backstage_.day.clients.connect_limit) {}

    void ask(std::string text) {
        any_byte_ = false;
        body_.clear();
        if (!up_) return void(waiting_ = std::move(text));
        connection_.write(text);
        written();
    }
    void close() {
        if (!std::exchange(over, true)) connection_.close();
    }

    const std::size_t dispatcher;
    std::optional<std::size_t> origin;
    std::uint64_t request = 0;
    bool over = false, used = false, looks = false, sent = false;

  private:
    void written() {
        if (looks || sent) return;
        sent = true;
        Backstage& b = callers_.backstage_;
        const Origin& o = callers_.origins_[*origin];
        if (!o.sent_again) b.judge.handed_in(b.now(), {request, o.call.workload, dispatcher, o.deadline});
    }
    void on_connected() override {
        up_ = true;
        if (waiting_.empty()) return;
        connection_.write(std::exchange(waiting_, {}));
        written();
    }
    void on_bytes(std::string_view bytes) override {
        if (over) return;
        any_byte_ = true;
        for (;;) {
            switch (reader_.read(bytes)) {
                case http::ReadResult::nothing:
                    // An answer that nobody waits for.
                    return;
                case http::ReadResult::error:
                    close();
                    return callers_.ended(*this, net::CloseReason::malformed, true);
                case http::ReadResult::head:
                    break;
                case http::ReadResult::body:
                    body_ += reader_.body_piece();
                    break;
                case http::ReadResult::end: {
                    const int status = reader_.head().status;
                    const bool keeps = reader_.head().is_keep_alive;
                    std::optional<double> retry;
                    if (const auto field = reader_.head().field("Retry-After"); !field.empty()) {
                        double value = 0;
                        const auto [end, wrong] =
                            std::from_chars(field.data(), field.data() + field.size(), value);
                        if (wrong == std::errc()) retry = value;
                    }
                    reader_.restart();
                    used = true;
                    if (!keeps) close();
                    callers_.answered(*this, status, std::exchange(body_, {}), retry);
                    if (over) return;
                    break;
                }
            }
        }
    }
    void on_closed(net::CloseReason ending) override {
        if (std::exchange(over, true)) return;
        callers_.ended(*this, ending, any_byte_);
    }

    CallersStandIn& callers_;
    http::Reader reader_;
    net::Connection connection_;
    std::string waiting_, body_;
    bool up_ = false, any_byte_ = false;
};

CallersStandIn::CallersStandIn(Backstage& backstage, Tally& tally, std::uint64_t seed,
                               std::vector<net::Address> dispatchers)
    : backstage_(backstage),
      tally_(tally),
      callers_(backstage.day, seed),
      chance_(seed, 31),
      health_(backstage.loop, [this] { check_health(); }) {
    for (net::Address& address : dispatchers)
        places_.push_back({std::move(address), false, false, 0, {}, {}});
    check_health();
}

CallersStandIn::~CallersStandIn() {
    for (auto& line : lines_) line->close();
}

void CallersStandIn::check_health() {
    for (std::size_t d = 0; d < places_.size(); ++d) {
        lines_.push_back(std::make_unique<Line>(*this, d));
        lines_.back()->looks = true;
        lines_.back()->ask("GET /healthz HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n");
    }
    health_.set(net::Loop::now() + kLookEvery);
}

void CallersStandIn::begin() {
    if (backstage_.day.clients.arrivals != Arrivals::closed) return next_call();
    for (std::size_t i = 0; i < backstage_.day.clients.connections; ++i) next_call();
}

void CallersStandIn::next_call() {
    std::optional<Call> wanted;
    const bool closed = backstage_.day.clients.arrivals == Arrivals::closed;
    if (closed) {
        if (backstage_.now() < backstage_.day.length) wanted = callers_.draw(backstage_.now());
    } else {
        wanted = callers_.next();
    }
    if (!wanted || ending_) return void(more_ = false);
    backstage_.agenda.at(wanted->at, [this, call_now = *wanted, closed] {
        if (ending_) return;
        lateness.add(std::max<Micros>(0, backstage_.now() - call_now.at));
        const std::size_t o = origins_.size();
        Origin& origin = origins_.emplace_back();
        origin.call = call_now;
        origin.deadline = call_now.at + backstage_.day.workloads[call_now.workload].expiry;
        ++open_;
        call(o);
        backstage_.agenda.at(origin.deadline + backstage_.day.rules.slack + 5'000, [this, o] {
            if (!origins_[o].over) done_with(o, Fate::lost);
        });
        if (!closed) next_call();
    });
}

std::size_t CallersStandIn::pick() {
    std::size_t d = turn_++ % places_.size();
    for (std::size_t n = 0; n < places_.size() && !places_[d].healthy; ++n) d = (d + 1) % places_.size();
    return d;
}

void CallersStandIn::call(std::size_t o) {
    Origin& origin = origins_[o];
    if (origin.over || ending_) return;
    const Micros now = backstage_.now();
    if (now >= origin.deadline - 10'000) return done_with(o, origin.tries > 0 ? Fate::bounced : Fate::lost);
    const std::size_t d = pick();
    if (!places_[d].healthy) return backstage_.agenda.at(now + kNobodyThere, [this, o] { call(o); });
    ++origin.tries;
    origin.sent_again = false;
    tally_.tried();
    origin.request = ++requests_;
    Job job;
    const WorkloadPlan& w = backstage_.day.workloads[origin.call.workload];
    job.request = origin.request, job.work = origin.call.work, job.slots = w.slots, job.memory = w.memory;
    job.fingerprint = w.effect == Effects::fingerprinted ? origin.call.key : 0;
    job.repeats_within = w.window;
    backstage_.jobs.emplace(origin.request, job);
    send(o, d, origin.request);
    if (origin.call.leaves_after > 0 && origin.tries == 1)
        backstage_.agenda.at(now + origin.call.leaves_after, [this, o, request = origin.request] {
            if (origins_[o].over || origins_[o].request != request) return;
            for (auto& line : lines_) {
                if (line->over || line->origin != o) continue;
                if (line->sent) backstage_.judge.left(backstage_.now(), request);
                --places_[line->dispatcher].lines;
                line->close();
            }
            done_with(o, Fate::left);
        });
}

void CallersStandIn::send(std::size_t o, std::size_t d, std::uint64_t request) {
    Place& place = places_[d];
    origins_[o].dispatcher = d;
    Line* line = nullptr;
    if (!place.idle.empty()) {
        line = place.idle.back();
        place.idle.pop_back();
    } else if (place.lines < backstage_.day.clients.connections) {
        ++place.lines, ++connections_;
        lines_.push_back(std::make_unique<Line>(*this, d));
        line = lines_.back().get();
    } else {
        return place.waiting.push_back(o);
    }
    line->origin = o;
    line->request = request;
    line->sent = false;
    line->ask(text_of(o, request));
}

std::string CallersStandIn::text_of(std::size_t o, std::uint64_t request) const {
    const Origin& origin = origins_[o];
    const Day& day = backstage_.day;
    const WorkloadPlan& w = day.workloads[origin.call.workload];
    std::ostringstream out;
    const std::string body = "a scene to be drawn";
    out << "POST /" << w.name << '/' << std::hex << origin.call.key << std::dec
        << " HTTP/1.1\r\nHost: front\r\nX-Request-ID: " << request_text(request)
        << "\r\nX-Timeout: " << std::max<Micros>(1, origin.deadline - backstage_.now()) << "u\r\n";
    if (!day.customers.empty()) out << "X-Tenant-Id: " << day.customers[origin.call.customer].name << "\r\n";
    if (w.effect == Effects::fingerprinted)
        out << "Idempotency-Key: k" << std::hex << origin.call.key << std::dec << "\r\n";
    if (day.clients.marks && origin.tries > 1) out << "X-Retried: 1\r\n";
    out << "X-Attrs: slots=" << w.slots << ",memory=" << w.memory;
    if (w.hinted) out << ",hint_us=" << origin.call.work;
    out << "\r\nContent-Length: " << body.size() << "\r\n\r\n" << body;
    return out.str();
}

void CallersStandIn::answered(Line& line, int status, const std::string& body,
                              std::optional<double> retry_after) {
    Place& place = places_[line.dispatcher];
    if (line.looks) {
        place.healthy = status == 200 && !place.dead;
        return line.close();
    }
    const Micros now = backstage_.now();
    const std::uint64_t request = line.request;
    if (!line.origin) {
        // A second answer to the same request.
        backstage_.judge.answered(now, request, Final::abandoned);
        line.close();
        --place.lines;
        return;
    }
    const std::size_t o = *std::exchange(line.origin, std::nullopt);
    const bool refused = status == 503 || status == 429;
    const Final how = status == 200 ? Final::finished : refused ? Final::bounced : Final::abandoned;
    const std::string begins = "picture of ";
    const auto result_for = body.starts_with(begins)
                                ? request_number(std::string_view(body).substr(begins.size()))
                                : std::nullopt;
    backstage_.judge.answered(now, request, how, result_for.value_or(0));
    if (line.over)
        --place.lines;
    else
        free_line(line);
    Origin& origin = origins_[o];
    if (origin.over || origin.request != request) return;
    if (how == Final::finished) {
        const Micros took = now - origin.call.at;
        return done_with(
            o, took <= backstage_.day.workloads[origin.call.workload].due ? Fate::in_time : Fate::late);
    }
    const auto stay = retry_after ? static_cast<Micros>(*retry_after * 1e6) : 0;
    const Micros wait = std::max(stay, backstage_.day.clients.retry_after);
    if ((refused || harmless(origin)) && origin.tries < backstage_.day.clients.tries &&
        now + wait < origin.deadline - 20'000) {
        origin.request = 0;
        const auto spread = static_cast<Micros>(chance_.uniform() * static_cast<double>(wait) / 10);
        return backstage_.agenda.at(now + wait + spread, [this, o] { call(o); });
    }
    done_with(o, refused ? Fate::bounced : Fate::abandoned);
}

void CallersStandIn::free_line(Line& line) {
    Place& place = places_[line.dispatcher];
    while (!place.waiting.empty()) {
        const std::size_t o = place.waiting.front();
        place.waiting.pop_front();
        if (origins_[o].over || origins_[o].request == 0) continue;
        // No client hands in what it no longer waits for.
        if (backstage_.now() >= origins_[o].deadline - 10'000) {
            origins_[o].request = 0;
            done_with(o, Fate::lost);
            continue;
        }
        line.origin = o;
        line.request = origins_[o].request;
        line.sent = false;
        return line.ask(text_of(o, line.request));
    }
    place.idle.push_back(&line);
}

bool CallersStandIn::harmless(const Origin& o) const {
    const WorkloadPlan& w = backstage_.day.workloads[o.call.workload];
    return w.effect == Effects::idempotent || (w.effect == Effects::fingerprinted && w.group == Group::all);
}

void CallersStandIn::ended(Line& line, net::CloseReason ending, bool any_byte) {
    Place& place = places_[line.dispatcher];
    if (line.looks) return void(place.healthy = false);
    std::erase(place.idle, &line);
    --place.lines;
    if (!line.origin) return;
    const std::size_t o = *std::exchange(line.origin, std::nullopt);
    Origin& origin = origins_[o];
    const std::uint64_t request = line.request;
    if (origin.over || origin.request != request || ending_) return;
    const Micros now = backstage_.now();
    const bool never_there = !line.sent || ending == net::CloseReason::refused ||
                             ending == net::CloseReason::unreachable ||
                             ending == net::CloseReason::connect_timed_out;
    if (never_there) {
        // Nobody took it: the front sees that this one is gone, and the call goes to another.
        place.healthy = false;
        --origin.tries;
        origin.request = 0;
        return backstage_.agenda.at(now + 5'000, [this, o] { call(o); });
    }
    if (line.used && !any_byte && !origin.sent_again && !place.dead) {
        // The dispatcher closed between two requests, and this one crossed it: once more on a new connection.
        origin.sent_again = true;
        for (Line* idle : std::exchange(place.idle, {})) --place.lines, idle->close();
        return send(o, line.dispatcher, request);
    }
    if (!place.dead) backstage_.judge.cut_off(now, request);
    origin.request = 0;
    if (harmless(origin) && origin.tries < backstage_.day.clients.tries)
        return backstage_.agenda.at(now + backstage_.day.clients.retry_after, [this, o] { call(o); });
    done_with(o, Fate::lost);
}

void CallersStandIn::died(std::size_t d) {
    places_[d].dead = true;
    places_[d].healthy = false;
    for (const std::size_t o : std::exchange(places_[d].waiting, {})) {
        if (origins_[o].over) continue;
        --origins_[o].tries;
        backstage_.agenda.at(backstage_.now() + kNobodyThere, [this, o] { call(o); });
    }
}

std::size_t CallersStandIn::open_at(std::size_t d) const {
    return static_cast<std::size_t>(std::count_if(lines_.begin(), lines_.end(), [d](const auto& line) {
        return !line->over && line->dispatcher == d && line->origin && line->sent;
    }));
}

void CallersStandIn::back(std::size_t d) { places_[d].dead = false; }

void CallersStandIn::done_with(std::size_t o, Fate fate) {
    Origin& origin = origins_[o];
    if (std::exchange(origin.over, true)) return;
    --open_;
    tally_.ended(origin.call.at, origin.call.workload, fate, backstage_.now() - origin.call.at);
    if (origin.request != 0) {
        // What comes after it is still the judge's to see, so its job is kept a while.
        backstage_.agenda.at(backstage_.now() + 6'000'000,
                             [this, request = origin.request] { backstage_.jobs.erase(request); });
    }
    if (fate == Fate::lost)
        for (auto& line : lines_)
            if (!line->over && line->origin == o) --places_[line->dispatcher].lines, line->close();
    if (backstage_.day.clients.arrivals == Arrivals::closed && backstage_.now() < backstage_.day.length)
        next_call();
}

bool CallersStandIn::done() const { return open_ == 0 && backstage_.now() >= backstage_.day.length; }

void CallersStandIn::give_up_all() {
    ending_ = true;
    for (std::size_t o = 0; o < origins_.size(); ++o)
        if (!origins_[o].over) done_with(o, Fate::lost);
    health_.cancel();
}

void CallersStandIn::sweep() {
    std::erase_if(lines_, [](const auto& line) { return line->over; });
}

}  // namespace gannethold::rehearsal
