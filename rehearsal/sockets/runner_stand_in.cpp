#include "sockets/runner_stand_in.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "http/writer.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr Micros kSlice = 20'000;

std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

constexpr const char* kTaken =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

std::string request_text(std::uint64_t request) {
    char text[17];
    const auto [end, wrong] = std::to_chars(text, text + 16, request, 16);
    return wrong == std::errc() ? "r" + std::string(text, end) : "";
}

std::optional<std::uint64_t> request_number(std::string_view text) {
    std::uint64_t number = 0;
    if (text.size() < 2 || text.front() != 'r') return std::nullopt;
    const auto [end, wrong] = std::from_chars(text.data() + 1, text.data() + text.size(), number, 16);
    if (wrong != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return number;
}

// One connection of one dispatcher. It carries one request at a time.
class RunnerStandIn::Session final : public net::Connection::Owner {
  public:
    Session(RunnerStandIn& runner, std::size_t dispatcher, std::uint64_t id, evutil_socket_t socket)
        : id(id),
          dispatcher(dispatcher),
          runner_(runner),
          reader_(http::MessageKind::request, runner.backstage_.loop.block_pool()),
          connection_(runner.backstage_.loop, *this, socket),
          idle_(runner.backstage_.loop, [this] {
              if (!busy()) close(false);
          }) {
        rest();
    }

    void say(const Word& word) {
        if (over || word.token != token_) return;
        const std::string& request = id_text_;
        const auto line = [&](const std::string& rest) {
            return chunk("{\"id\":\"" + request + "\",\"from\":\"" + runner_.model().name() + "\"," + rest +
                         "}\n");
        };
        const std::string load = ",\"load\":{" + report(true) + "}";
        switch (word.said) {
            case Said::started:
                if (runner_.model().build().tells_start) begin(), write(line("\"state\":\"started\""));
                return;
            case Said::running: {
                std::ostringstream share;
                share << word.share;
                begin();
                return write(line("\"state\":\"running\",\"share\":" + share.str()));
            }
            case Said::done:
            case Said::dropped:
                begin();
                write(line("\"state\":\"done\",\"result\":\"picture of " + request + "\"" + load) +
                      "0\r\n\r\n");
                return over_with();
            case Said::failed:
                if (std::exchange(begun_, true))
                    write(line("\"state\":\"failed\"" + load) + "0\r\n\r\n");
                else
                    write("HTTP/1.1 500 Internal Server Error\r\nX-Server-Load: " + report(false) +
                          "\r\nContent-Length: 0\r\n\r\n");
                return over_with();
            case Said::returned:
                write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nX-Server-Load: " +
                      report(false) + "\r\nContent-Length: 0\r\n\r\n");
                return over_with();
            case Said::lost:
                begin();
                write(line("\"state\":\"lost\"") + "0\r\n\r\n");
                return over_with();
            case Said::garbled:
                begin();
                write(chunk("{\"id\":\"" + request + "\",,state:;\n") + "0\r\n\r\n");
                return over_with();
            case Said::cut:
                begin();
                write("40\r\n{\"id\":\"" + request);
                connection_.finish();
                return over_with();
            case Said::broken:
                return close(true);
        }
    }

    void close(bool reset) {
        if (std::exchange(over, true)) return;
        forget_token(false);
        reset ? connection_.abort() : connection_.close();
    }

    // Nothing passes: what comes is lost, and what was to be said is not.
    bool deaf = false;
    bool over = false;
    const std::uint64_t id;
    const std::size_t dispatcher;

  private:
    bool busy() const { return token_ != 0; }
    void begin() {
        if (!std::exchange(begun_, true)) write(kTaken);
    }
    void write(const std::string& text) {
        const Micros wait = runner_.backstage_.delay(dispatcher, runner_.runner_, text.size());
        if (deaf) return;
        if (wait <= 0) return void(connection_.write(text));
        RunnerStandIn& runner = runner_;
        runner_.backstage_.agenda.at(runner_.backstage_.now() + wait, [&runner, id = id, text] {
            const auto found = runner.by_id_.find(id);
            if (found != runner.by_id_.end() && !found->second->over && !found->second->deaf)
                found->second->connection_.write(text);
        });
    }
    void over_with() {
        runner_.by_token_.erase(token_);
        token_ = 0;
        rest();
    }
    void rest() { idle_.set(net::Loop::now() + runner_.model().build().keeps_idle); }
    void forget_token(bool tell) {
        if (token_ == 0) return;
        Backstage& b = runner_.backstage_;
        const std::uint64_t token = std::exchange(token_, 0);
        runner_.by_token_.erase(token);
        if (!tell) return;
        b.judge.connection_gone(b.now(), request_, token);
        std::vector<Word> words;
        runner_.model().drop(b.now(), token, words);
        runner_.said(words);
        runner_.wake();
    }
    std::string report(bool as_object) const {
        const Load load = runner_.model().load(runner_.backstage_.now());
        std::ostringstream out;
        const auto one = [&](const char* name, double value) {
            out << (out.tellp() > 0 ? "," : "") << (as_object ? "\"" : "") << name
                << (as_object ? "\":" : "=") << value;
        };
        one("x0", load.free);
        one("q", load.waiting);
        one("rif", load.held);
        one("busy", load.busy);
        return out.str();
    }

    void on_bytes(std::string_view bytes) override {
        if (deaf || over) return;
        if (!reader_.has_started()) first_byte_ = runner_.backstage_.now();
        for (;;) {
            switch (reader_.read(bytes)) {
                case http::ReadResult::nothing:
                    return;
                case http::ReadResult::error:
                    return close(true);
                case http::ReadResult::head:
                case http::ReadResult::body:
                    break;
                case http::ReadResult::end:
                    if (!whole()) return;
                    reader_.restart();
                    first_byte_ = runner_.backstage_.now();
                    break;
            }
        }
    }
    bool whole() {
        Backstage& b = runner_.backstage_;
        const http::Head& head = reader_.head();
        if (head.method == "GET") {
            const bool known = head.path() == "/load" || head.path() == "/healthz";
            if (!known) return write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), true;
            if (!runner_.model().answers_probes()) return true;
            const std::string text = report(false);
            write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
            rest();
            return true;
        }
        id_text_ = head.field("X-Request-ID");
        const auto request = request_number(id_text_);
        const auto job = request ? b.jobs.find(*request) : b.jobs.end();
        std::optional<Job> known = b.for_anyone;
        if (job != b.jobs.end())
            known = job->second;
        else if (known)
            known->request = ~++b.strangers;
        if (busy() || !known || id_text_.empty()) {
            write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (used_ && runner_.chance_.happens(runner_.model().trouble.resets)) return close(true), false;
        used_ = true;
        const Micros wait = b.delay(dispatcher, runner_.runner_, 600), first = first_byte_;
        token_ = ++b.tokens;
        request_ = known->request;
        begun_ = false;
        runner_.by_token_[token_] = this;
        Job wanted = *known;
        wanted.token = token_;
        RunnerStandIn& runner = runner_;
        const auto take = [&runner, wanted, d = dispatcher, first, wait] {
            Backstage& back = runner.backstage_;
            if (!runner.by_token_.contains(wanted.token)) return;
            back.judge.reached(back.now(), wanted.request, wanted.token, runner.runner_, d, first + wait,
                               wait);
            Runner& model = runner.model();
            const bool was_up = model.up();
            std::vector<Word> words;
            model.take(back.now(), wanted, words);
            runner.said(words);
            if (was_up && !model.up()) {
                back.judge.toppled(back.now(), runner.runner_, model.take_window_tokens());
                back.toppled(runner.runner_);
            }
            runner.wake();
        };
        if (wait <= 0)
            take();
        else
            b.agenda.at(b.now() + wait, take);
        return !over;
    }
    void on_closed(net::CloseReason) override {
        if (std::exchange(over, true)) return;
        forget_token(true);
    }

    RunnerStandIn& runner_;
    http::Reader reader_;
    net::Connection connection_;
    net::Timer idle_;
    std::uint64_t token_ = 0, request_ = 0;
    std::string id_text_;
    Micros first_byte_ = 0;
    bool begun_ = false, used_ = false;
};

RunnerStandIn::RunnerStandIn(Backstage& backstage, std::size_t runner,
                             const std::vector<net::Address>& places)
    : backstage_(backstage), runner_(runner), chance_(runner, 91), wake_(backstage.loop, [this] { pass(); }) {
    for (std::size_t d = 0; d < places.size(); ++d) {
        places_.push_back({std::make_unique<Gate>(backstage.loop, places[d],
                                                  [this, d](evutil_socket_t s) { accept(d, s); }),
                           false});
        places_.back().gate->set(Gate::State::open);
    }
}

RunnerStandIn::~RunnerStandIn() {
    for (auto& s : sessions_) s->close(false);
}

void RunnerStandIn::accept(std::size_t dispatcher, evutil_socket_t socket) {
    ++connections_;
    sessions_.push_back(std::make_unique<Session>(*this, dispatcher, ++ids_, socket));
    by_id_[ids_] = sessions_.back().get();
    model().connection_made(backstage_.now());
    wake();
}

void RunnerStandIn::said(const std::vector<Word>& words) {
    for (const Word& word : words) {
        backstage_.judge.said(backstage_.now(), word);
        const auto found = by_token_.find(word.token);
        if (found != by_token_.end()) found->second->say(word);
    }
}

void RunnerStandIn::wake() {
    const Micros next = model().next();
    if (next == kNever) return wake_.cancel();
    wake_.set(net::Loop::now() + std::max<Micros>(0, next - backstage_.now()));
}

void RunnerStandIn::pass() {
    std::vector<Word> words;
    const Micros wanted = model().next(), now = backstage_.now();
    if (wanted != kNever) backstage_.agenda.lateness.add(std::max<Micros>(0, now - wanted));
    model().pass(now, words);
    said(words);
    wake();
}

void RunnerStandIn::down() {
    for (auto& s : sessions_) s->close(true);
    for (std::size_t d = 0; d < places_.size(); ++d) set_gate(d);
    wake_.cancel();
}

void RunnerStandIn::up() {
    for (std::size_t d = 0; d < places_.size(); ++d) set_gate(d);
    wake();
}

void RunnerStandIn::look_at_paths() {
    for (std::size_t d = 0; d < places_.size(); ++d) set_gate(d);
}

void RunnerStandIn::set_gate(std::size_t d) {
    Place& place = places_[d];
    const Theatre& theatre = *backstage_.theatre;
    const Passage way =
        theatre.paths.between(theatre.place_of_dispatcher(d), theatre.place_of_runner(runner_), 0);
    const bool silent = theatre.silent[runner_] || (way.cut && !way.resets);
    for (auto& s : sessions_) {
        if (s->dispatcher != d || s->over) continue;
        if (way.cut && way.resets) s->close(true);
        // Back again: what stood open meanwhile is reset.
        else if (s->deaf && !silent)
            s->close(true);
        else
            s->deaf = silent;
    }
    const bool refused = !model().up() || (way.cut && way.resets);
    place.gate->set(silent ? Gate::State::silent : refused ? Gate::State::shut : Gate::State::open);
    if (way.loses_connects > 0 && !std::exchange(place.loses, true)) lose_now_and_then(d);
}

// The system makes connections up before we see them, so that a lost one can only be played by not listening:
// in short slices of time, as many of them as connects are to be lost.
void RunnerStandIn::lose_now_and_then(std::size_t d) {
    const Theatre& theatre = *backstage_.theatre;
    const double share =
        theatre.paths.between(theatre.place_of_dispatcher(d), theatre.place_of_runner(runner_), 0)
            .loses_connects;
    if (share <= 0) {
        places_[d].loses = false;
        return set_gate(d);
    }
    if (model().up() && !theatre.silent[runner_])
        places_[d].gate->set(chance_.happens(share) ? Gate::State::silent : Gate::State::open);
    backstage_.agenda.at(backstage_.now() + kSlice, [this, d] { lose_now_and_then(d); });
}

void RunnerStandIn::sweep() {
    for (auto s = sessions_.begin(); s != sessions_.end();) {
        if (!(*s)->over) {
            ++s;
            continue;
        }
        by_id_.erase((*s)->id);
        s = sessions_.erase(s);
    }
}

}  // namespace gannethold::rehearsal
