#include "tubes/mixed.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

#include "control/control_client.hpp"
#include "json/json.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"
#include "sockets/child.hpp"
#include "sockets/claim.hpp"
#include "tubes/client.hpp"
#include "uniform_draw.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr Micros kTick = 2'000;
constexpr Micros kRun = 1'000'000;           // a job's time to run, the shortest there is
constexpr Micros kWorkedOffIn = 12'000'000;  // after the load
constexpr const char* kTubes[] = {"view", "proof", "render", "push"};
constexpr bool kHarmless[] = {false, true, true, true};

net::Address address(const std::string& text) {
    const auto read = net::Address::parse(text);
    if (!read) throw std::runtime_error("no address: " + text);
    return *read;
}

class Mixed {
  public:
    Mixed(const MixedPlan& plan, const std::string& program, const std::string& folder,
          std::function<bool()> stop)
        : plan_(plan),
          folder_(folder),
          stop_(std::move(stop)),
          chance_(static_cast<std::uint32_t>(plan.seed * 7919)),
          loop_(4096),
          tick_(loop_, [this] { tick(); }) {
        http_ = claim_.address(1, 1, 20'000), tubes_ = claim_.address(1, 1, 11'300);
        write_files();
        child_ = std::make_unique<Child>(
            std::vector<std::string>{program, "serve", "--configuration", folder + "/d.json", "--operator",
                                     folder + "/d.toml", "--log-level", "warning"},
            folder + "/d.log");
    }

    MixedResult play() {
        if (!come_up()) {
            result_.trouble = "the dispatcher did not come up\n" + last_lines(folder_ + "/d.log", 5);
            return result_;
        }
        begun_ = net::Loop::now();
        for (std::size_t i = 0; i < plan_.producers; ++i) join_producer();
        for (std::size_t i = 0; i < plan_.workers; ++i) workers_.push_back(std::make_unique<Worker>());
        for (std::size_t i = 0; i < plan_.clients; ++i)
            clients_.push_back(std::make_unique<Client>(*this, i));
        tick_.set(net::Loop::now());
        while (!over_ && !stop_()) turn();
        ask_what_is_left();
        child_->signal(SIGTERM);
        child_->wait(6'000'000);
        judge();
        return result_;
    }

  private:
    struct Job {
        std::string body;
        std::size_t tube = 0;
        int handed = 0, released = 0, deleted = 0, by_runner = 0, buried = 0;
        std::string state = {};  // at the end; empty: not there any more
    };
    struct Task {
        int answers = 0, handed = 0;
        int status = 0;
    };
    struct Worker {
        std::unique_ptr<TubeClient> wire;
        std::string job, body;  // in its hands
        Micros until = 0, back_at = 0;
        bool waits = false, hangs = false, from_http = false;
    };

    double uniform() { return draw_uniform(chance_); }
    void wrong(const std::string& what) {
        if (result_.broken.size() < 20) result_.broken.push_back(what);
    }

    // ---- the place ----
    void write_files() {
        std::ostringstream known;
        for (std::size_t r = 0; r < plan_.runners; ++r) {
            runners_.push_back(std::make_unique<Runner>(
                *this, r, address(claim_.address(2, static_cast<unsigned>(r + 1), 21'000))));
            known << (r ? "," : "") << R"({"id":"r-)" << r + 1 << R"(","addr":")"
                  << claim_.address(2, static_cast<unsigned>(r + 1), 21'000)
                  << R"(","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1.0,"started_ms":0})";
        }
        std::ofstream(folder_ + "/d.json")
            << R"({"name":"d-1","listen":")" << http_ << R"(","discovery":")" << claim_.address(3, 1, 8'500)
            << R"(","seed":")" << std::hex << plan_.seed << std::dec
            << R"(","limits":{"memory_mb":64,"sockets":512},"known":{"version":1,"full":true,"servers":[)"
            << known.str()
            << R"(]},"settings":{"balancers":1,"registry_mode":"on_request","resolution_us":1000,"zones":["a"],"kinds":["m"],)"
            << R"("caps":{"cancelling":true,"connect_timeout_us":250000,"keepalive_us":5000000,"max_assignments":3,"retry_after":true,"max_retry_after_us":500000},)"
            << R"("workloads":[{"name":"render","effect":"pure","due_time_us":600000,"expiry_us":3000000,"importance":1}]}})";
        std::ofstream(folder_ + "/d.toml")
            << "[control]\nsocket = \"" << folder_
            << "/d.sock\"\n[drain]\nfront_notices_s = 0.2\nclosing_takes_s = 0.2\n"
            << "[beanstalk]\nlisten = [\"" << tubes_ << "\"]\nconnections = 200\ncold = false\n"
            << "[[beanstalk.tube]]\nname = \"view\"\neffect = \"side-effecting\"\ndue_s = 2\nexpiry_s = 20\n"
            << "[[beanstalk.tube]]\nname = \"proof\"\neffect = \"idempotent\"\ndue_s = 2\nexpiry_s = 20\n"
            << "[[beanstalk.tube]]\nname = \"render\"\nworkload = \"render\"\n"
            << "[[beanstalk.tube]]\nname = \"push\"\neffect = \"idempotent\"\ndue_s = 2\nexpiry_s = "
               "20\npushed = 6\n";
    }
    bool come_up() {
        for (const Micros end = net::Loop::now() + 8'000'000; net::Loop::now() < end; usleep(20'000)) {
            if (child_->ended()) return false;
            const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const net::Address at = address(tubes_);
            const bool up = ::connect(one, at.get(), at.length) == 0;
            ::close(one);
            if (up) return true;
        }
        return false;
    }
    void turn() {
        loop_.run_once(true);
        for (auto& r : runners_) r->sweep();
        for (auto& c : clients_) c->sweep();
    }

    // ---- producers ----
    struct Producer {
        std::unique_ptr<TubeClient> wire;
        std::deque<std::pair<std::string, std::size_t>> said;  // puts that are not answered yet
        std::size_t used = 0;
    };
    void join_producer() {
        producers_.push_back(std::make_unique<Producer>());
        Producer* const p = producers_.back().get();
        p->wire = std::make_unique<TubeClient>(
            loop_, address(tubes_), [this, p](TubeClient&, std::string_view line, std::string_view) {
                if (line.starts_with("USING")) return;
                if (p->said.empty()) return wrong("an answer to nothing: " + std::string(line));
                const auto [body, tube] = p->said.front();
                p->said.pop_front();
                if (line.starts_with("INSERTED ")) {
                    Job& job = jobs_[body];
                    job.body = body, job.tube = tube;
                    numbers_[body] = line.substr(9);
                    ++result_.put;
                } else {
                    ++result_.put_refused;
                }
            });
    }
    void put_one() {
        Producer& p =
            *producers_[static_cast<std::size_t>(uniform() * static_cast<double>(producers_.size()))];
        const auto tube = static_cast<std::size_t>(uniform() * 4);
        if (p.wire->closed()) return;
        p.wire->say(std::string("use ") + kTubes[tube] + "\r\n");
        const std::string body = std::string(kTubes[tube]) + "-" + std::to_string(++asked_);
        p.said.emplace_back(body, tube);
        // Drawn one after the other: the order in which arguments are evaluated is the compiler's choice.
        const unsigned delay = uniform() < 0.1 ? 1 : 0;
        const auto priority = static_cast<unsigned>(uniform() * 2'000);
        p.wire->put(body, priority, delay, 1);
    }

    // ---- workers ----
    void heard(Worker& w, std::string_view line, std::string_view body) {
        if (line.starts_with("WATCHING")) return;
        if (line.starts_with("RESERVED ")) {
            w.waits = false;
            w.job = line.substr(9, line.rfind(' ') - 9);
            w.body = body;
            w.from_http = body.starts_with("http-");
            ++result_.handed_out;
            if (w.from_http) {
                ++tasks_[w.body].handed, ++result_.tasks_by_workers;
            } else {
                auto job = jobs_.find(w.body);
                // The word that it is inserted may come to the producer after the job has come here.
                if (job == jobs_.end()) job = jobs_.emplace(w.body, Job{w.body, tube_of(w.body)}).first;
                ++job->second.handed;
            }
            const double luck = uniform();
            w.hangs = luck < 0.01;
            w.until = net::Loop::now() +
                      (w.hangs ? kRun + 500'000
                               : static_cast<Micros>(static_cast<double>(plan_.work) * (0.5 + uniform())));
            result_.worker_hangs += w.hangs;
            if (luck > 0.985) w.until = -w.until;  // it will crash with the job in its hands
            return;
        }
        if (line == "TIMED_OUT" || line == "DEADLINE_SOON") return void(w.waits = false);
        Job* const job = w.from_http || !jobs_.contains(w.body) ? nullptr : &jobs_[w.body];
        if (line == "DELETED" && job) ++job->deleted;
        if (line == "RELEASED" && job) ++job->released, ++result_.released;
        if (line == "BURIED" && job) ++job->buried;
        if (line == "NOT_FOUND") ++result_.late_words;
        w.job.clear();
    }
    std::size_t tube_of(const std::string& body) const {
        for (std::size_t t = 0; t < 4; ++t)
            if (body.starts_with(std::string(kTubes[t]) + "-")) return t;
        return 0;
    }
    void drive(Worker& w, Micros now) {
        if (w.wire && w.wire->closed())
            w.wire.reset(), w.job.clear(), w.waits = false, w.back_at = now + 100'000;
        if (!w.wire) {
            if (now < w.back_at) return;
            try {
                w.wire =
                    std::make_unique<TubeClient>(loop_, address(tubes_),
                                                 [this, &w](TubeClient&, std::string_view line,
                                                            std::string_view body) { heard(w, line, body); });
            } catch (const std::runtime_error&) {
                w.back_at = now + 100'000;
                return;
            }
            w.wire->say("watch view\r\nwatch proof\r\nwatch render\r\nwatch push\r\n");
        }
        if (w.job.empty()) {
            if (!w.waits) w.wire->say("reserve-with-timeout 2\r\n"), w.waits = true;
            return;
        }
        if (w.until == 0 || now < std::abs(w.until)) return;
        if (w.until < 0) {
            w.wire->reset();
            ++result_.worker_crashes;
            return;
        }
        w.until = 0;  // its word is out, and its answer clears the job
        const double luck = w.hangs ? 1 : uniform();
        if (luck < 0.03)
            w.wire->say("release " + w.job + " 5 0\r\n");
        else if (luck < 0.04)
            w.wire->say("bury " + w.job + " 5\r\n");
        else
            w.wire->say("delete " + w.job + "\r\n");
    }

    // ---- runners over HTTP ----
    class Runner {
      public:
        Runner(Mixed& day, std::size_t number, const net::Address& at)
            : day_(day),
              number_(number),
              door_(
                  day.loop_, at,
                  [this](evutil_socket_t s) { seats_.push_back(std::make_unique<Seat>(*this, s)); }, [] {}) {}
        void sweep() {
            seats_.remove_if([](const auto& s) { return s->over; });
        }
        void break_all() {
            for (auto& s : seats_) s->hang_up();
        }

      private:
        struct Seat final : net::Connection::Owner {
            Seat(Runner& r, evutil_socket_t socket)
                : runner(r),
                  connection(r.day_.loop_, *this, socket),
                  done(r.day_.loop_, [this] { finish(); }) {}
            void on_bytes(std::string_view more) override {
                got.append(more);
                const auto end = got.find("\r\n\r\n");
                if (end == std::string::npos || busy) return;
                const auto field = [&](const char* name) {
                    const auto at = got.find(name);
                    return at == std::string::npos || at > end
                               ? std::string()
                               : got.substr(at + std::string_view(name).size(),
                                            got.find("\r\n", at) - at - std::string_view(name).size());
                };
                if (got.starts_with("GET ")) {
                    got.erase(0, end + 4);
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                    return;
                }
                const auto length = static_cast<std::size_t>(std::atoi(field("Content-Length: ").c_str()));
                if (got.size() < end + 4 + length) return;
                id = field("X-Request-ID: ");
                body = got.substr(end + 4, length);
                got.erase(0, end + 4 + length);
                busy = true;
                runner.day_.at_runner(body);
                done.set(net::Loop::now() + static_cast<Micros>(static_cast<double>(runner.day_.plan_.work) *
                                                                (0.5 + runner.day_.uniform())));
            }
            void finish() {
                busy = false;
                const std::string line = "{\"id\":\"" + id + "\",\"from\":\"r-" +
                                         std::to_string(runner.number_ + 1) +
                                         "\",\"state\":\"done\",\"result\":\"ok\"}\n";
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) +
                                 "\r\n\r\n" + line);
                if (!body.starts_with("http-")) runner.day_.ended_at_runner(body);
            }
            void on_closed(net::CloseReason) override { over = true, done.cancel(); }
            void hang_up() {
                if (!busy || over) return;
                connection.abort();
                over = true, done.cancel();
                ++runner.day_.result_.runner_breaks;
            }
            Runner& runner;
            net::Connection connection;
            net::Timer done;
            std::string got, id, body;
            bool busy = false, over = false;
        };
        Mixed& day_;
        const std::size_t number_;
        net::Listener door_;
        std::list<std::unique_ptr<Seat>> seats_;
    };
    void at_runner(const std::string& body) {
        if (body.starts_with("http-")) {
            ++tasks_[body].handed;
            return;
        }
        const std::size_t tube = tube_of(body);
        if (tube < 2) wrong("a job of a tube that is not pushed came to a runner over HTTP: " + body);
        Job& job = jobs_.emplace(body, Job{body, tube}).first->second;
        ++job.handed, ++result_.jobs_by_runners;
    }
    void ended_at_runner(const std::string& body) { ++jobs_[body].by_runner; }

    // ---- clients over HTTP ----
    struct Client {
        struct Line final : net::Connection::Owner {
            Line(Client& c, const net::Address& to)
                : client(c), connection(c.day.loop_, *this, to, 1'000'000) {}
            void on_bytes(std::string_view more) override { client.heard(more); }
            void on_closed(net::CloseReason) override { over = true; }
            Client& client;
            net::Connection connection;
            bool over = false;
        };
        Client(Mixed& d, std::size_t n) : day(d), number(n) {}
        void ask() {
            if (!asked.empty()) return;
            if (!line || line->over) line = std::make_unique<Line>(*this, address(day.http_)), got.clear();
            asked = "http-" + std::to_string(number) + "-" + std::to_string(++calls);
            ++day.result_.tasks;
            day.tasks_[asked];
            since = net::Loop::now();
            line->connection.write("POST /render/" + std::to_string(calls) +
                                   " HTTP/1.1\r\nHost: d\r\nX-Request-ID: " + asked +
                                   "\r\nX-Timeout: 3000m\r\nContent-Length: " + std::to_string(asked.size()) +
                                   "\r\n\r\n" + asked);
        }
        void heard(std::string_view more) {
            got.append(more);
            for (;;) {
                const auto end = got.find("\r\n\r\n");
                if (end == std::string::npos) return;
                const auto at = got.find("Content-Length: ");
                const auto length = at < end ? static_cast<std::size_t>(std::atoi(got.c_str() + at + 16)) : 0;
                if (got.size() < end + 4 + length) return;
                const int status = std::atoi(got.c_str() + 9);
                const bool closes = got.find("Connection: close") < end;
                got.erase(0, end + 4 + length);
                if (asked.empty())
                    return day.wrong("a second answer, after the one to client " + std::to_string(number));
                Task& t = day.tasks_[asked];
                ++t.answers, t.status = status;
                if (net::Loop::now() - since > 3'200'000) day.wrong("an answer after the expiry: " + asked);
                asked.clear();
                if (closes && line) line->over = true;
            }
        }
        void sweep() {
            if (!line || !line->over) return;
            // No answer and no connection: that is lost, and the judge sees it.
            asked.clear();
            line.reset();
        }
        Mixed& day;
        const std::size_t number;
        std::unique_ptr<Line> line;
        std::string asked, got;
        std::uint64_t calls = 0;
        Micros since = 0;
    };

    // ---- the day ----
    void tick() {
        const Micros now = net::Loop::now() - begun_;
        if (const auto how = child_->ended()) {
            result_.trouble =
                "the dispatcher ended by itself: it " + *how + "\n" + last_lines(folder_ + "/d.log", 5);
            over_ = true;
            return;
        }
        if (now < plan_.length) {
            for (; jobs_due_ < plan_.jobs_a_second * static_cast<double>(now) / 1e6; ++jobs_due_) put_one();
            for (; tasks_due_ < plan_.tasks_a_second * static_cast<double>(now) / 1e6; ++tasks_due_)
                clients_[static_cast<std::size_t>(uniform() * static_cast<double>(clients_.size()))]->ask();
            if (now > breaks_at_) {
                breaks_at_ = now + plan_.length / 6;
                runners_[static_cast<std::size_t>(uniform() * static_cast<double>(runners_.size()))]
                    ->break_all();
            }
            if (plan_.drains && !drained_ && now > plan_.length / 2) drained_ = true, order("drain");
            if (drained_ && !undrained_ && now > plan_.length * 3 / 4) undrained_ = true, order("undrain");
        }
        for (auto& w : workers_) drive(*w, net::Loop::now());
        // Worked off: nobody has anything in hands, and the workers have stood idle for longer than one
        // reserve.
        const bool busy =
            std::any_of(workers_.begin(), workers_.end(), [](const auto& w) { return !w->job.empty(); });
        if (busy || now < plan_.length) idle_since_ = net::Loop::now();
        if (net::Loop::now() - idle_since_ > 3'000'000 || now > plan_.length + kWorkedOffIn) over_ = true;
        tick_.set(net::Loop::now() + kTick);
    }
    void order(const std::string& what) {
        control::ControlClient caller(folder_ + "/d.sock");
        json::Object o;
        o["do"] = json::Value(what);
        o["by"] = json::Value(std::string("the day"));
        if (what == "drain") o["deadline_s"] = json::Value(json::Number{"2.0"});
        caller.ask(o);
    }
    void ask_what_is_left() {
        if (!result_.trouble.empty()) return;
        std::vector<std::string> order;
        for (const auto& [body, number] : numbers_) order.push_back(body);
        std::size_t answered = 0;
        TubeClient asker(loop_, address(tubes_), [&](TubeClient&, std::string_view, std::string_view body) {
            const auto at = body.find("state: ");
            jobs_[order[answered++]].state =
                at == std::string_view::npos ? ""
                                             : std::string(body.substr(at + 7, body.find('\n', at) - at - 7));
        });
        for (std::size_t asked = 0; answered < order.size() && !asker.closed();) {
            for (; asked < order.size() && asked < answered + 50; ++asked)
                asker.say("stats-job " + numbers_[order[asked]] + "\r\n");
            turn();
        }
        if (answered < order.size()) result_.trouble = "the dispatcher does not say what is left";
    }

    // By what each saw: clients their answers, workers and runners what came to them and what they were told.
    void judge() {
        for (const auto& [body, number] : numbers_) {
            const Job& j = jobs_[body];
            const bool gone = j.state.empty();
            const int runs = j.handed - j.released;
            if (!kHarmless[j.tube] && runs > 1)
                wrong("rule 2: " + body + " (" + number + ") came into hands " + std::to_string(runs) +
                      " times");
            if (j.deleted > 1)
                wrong("rule 1: " + body + " was ended " + std::to_string(j.deleted) + " times");
            if (gone && j.deleted + j.by_runner == 0)
                wrong("rule 1: " + body + " is gone, and nobody ended it");
            if (!gone && j.deleted > 0) wrong("rule 1: " + body + " was ended, and is still " + j.state);
            if (!gone && j.state != "ready" && j.state != "delayed" && j.state != "buried")
                wrong("rule 1: " + body + " is still " + j.state);
            gone ? ++result_.jobs_done : j.state == "buried" ? ++result_.jobs_buried : ++result_.jobs_left;
        }
        for (const auto& [id, t] : tasks_) {
            if (t.answers != 1) wrong("rule 1: " + id + " had " + std::to_string(t.answers) + " answers");
            ++result_.answered[t.status == 200 ? 0 : t.status == 503 ? 1 : 2];
        }
    }

    const MixedPlan plan_;
    const std::string folder_;
    const std::function<bool()> stop_;
    std::ranlux24_base chance_;
    Claim claim_;
    net::Loop loop_;
    net::Timer tick_;
    std::string http_, tubes_;
    std::unique_ptr<Child> child_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<Producer>> producers_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, std::string> numbers_;
    std::map<std::string, Task> tasks_;
    MixedResult result_;
    Micros begun_ = 0, breaks_at_ = 1'000'000, idle_since_ = 0;
    double jobs_due_ = 0, tasks_due_ = 0;
    std::uint64_t asked_ = 0;
    bool over_ = false, drained_ = false, undrained_ = false;
};

}  // namespace

MixedResult play_mixed(const MixedPlan& plan, const std::string& program, const std::string& folder,
                       const std::function<bool()>& stop) {
    return Mixed(plan, program, folder, stop).play();
}

}  // namespace gannethold::rehearsal
