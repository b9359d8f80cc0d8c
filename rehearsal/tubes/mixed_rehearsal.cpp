#include "tubes/mixed_rehearsal.hpp"

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
#include "tubes/tube_client.hpp"
#include "uniform_draw.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr Micros kTick = 2'000;
constexpr Micros kMinTimeToRun = 1'000'000;        // the shortest time to run that a job can have
constexpr Micros kMaxCompletionTime = 12'000'000;  // after the end of the load
constexpr const char* kTubes[] = {"view", "proof", "render", "push"};
constexpr bool kIsIdempotent[] = {false, true, true, true};

net::Address address(const std::string& text) {
    const auto read = net::Address::parse(text);
    if (!read) throw std::runtime_error("invalid address: " + text);
    return *read;
}

// One run: the dispatcher's process, and the producers, workers, runners and clients.
class MixedRehearsal {
  public:
    MixedRehearsal(const MixedPlan& plan, const std::string& program, const std::string& folder,
                   std::function<bool()> stop)
        : plan_(plan),
          folder_(folder),
          stop_(std::move(stop)),
          random_(static_cast<std::uint32_t>(plan.seed * 7919)),
          loop_(4096),
          tick_(loop_, [this] { tick(); }) {
        http_ = claim_.address(1, 1, 20'000), tubes_ = claim_.address(1, 1, 11'300);
        write_files();
        child_ = std::make_unique<Child>(
            std::vector<std::string>{program, "serve", "--configuration", folder + "/d.json", "--operator",
                                     folder + "/d.toml", "--log-level", "warning"},
            folder + "/d.log");
    }

    MixedResult run() {
        if (!wait_until_up()) {
            result_.error = "the dispatcher did not start\n" + last_lines(folder_ + "/d.log", 5);
            return result_;
        }
        started_at_ = net::Loop::now();
        for (std::size_t i = 0; i < plan_.producers; ++i) add_producer();
        for (std::size_t i = 0; i < plan_.workers; ++i) workers_.push_back(std::make_unique<Worker>());
        for (std::size_t i = 0; i < plan_.clients; ++i)
            clients_.push_back(std::make_unique<Client>(*this, i));
        tick_.set(net::Loop::now());
        while (!is_over_ && !stop_()) turn();
        query_remaining_jobs();
        child_->signal(SIGTERM);
        child_->wait(6'000'000);
        check_outcomes();
        return result_;
    }

  private:
    struct Job {
        std::string body;
        std::size_t tube = 0;
        int assigned = 0, released = 0, deleted = 0, finished_by_runner = 0, buried = 0;
        std::string state = {};  // at the end; empty: the job no longer exists
    };
    struct Task {
        int answers = 0, assigned = 0;
        int status = 0;
    };
    struct Worker {
        std::unique_ptr<TubeClient> client;
        std::string job, body;  // the job that it holds
        Micros finish_at = 0, reconnect_at = 0;
        bool is_reserving = false, is_hanging = false, is_from_http = false;
    };

    double uniform() { return draw_uniform(random_); }
    void add_violation(const std::string& description) {
        if (result_.violations.size() < 20) result_.violations.push_back(description);
    }

    // ---- configuration and start ----
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
    bool wait_until_up() {
        for (const Micros end = net::Loop::now() + 8'000'000; net::Loop::now() < end; usleep(20'000)) {
            if (child_->ended()) return false;
            const int probe_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const net::Address at = address(tubes_);
            const bool up = ::connect(probe_socket, at.get(), at.length) == 0;
            ::close(probe_socket);
            if (up) return true;
        }
        return false;
    }
    void turn() {
        loop_.run_once(true);
        for (auto& r : runners_) r->remove_closed();
        for (auto& c : clients_) c->remove_closed();
    }

    // ---- producers ----
    struct Producer {
        std::unique_ptr<TubeClient> client;
        std::deque<std::pair<std::string, std::size_t>> pending_puts;  // puts without a reply yet
        std::size_t used = 0;
    };
    void add_producer() {
        producers_.push_back(std::make_unique<Producer>());
        Producer* const producer = producers_.back().get();
        producer->client = std::make_unique<TubeClient>(
            loop_, address(tubes_), [this, producer](TubeClient&, std::string_view line, std::string_view) {
                if (line.starts_with("USING")) return;
                if (producer->pending_puts.empty())
                    return add_violation("a reply without a command: " + std::string(line));
                const auto [body, tube] = producer->pending_puts.front();
                producer->pending_puts.pop_front();
                if (line.starts_with("INSERTED ")) {
                    Job& job = jobs_[body];
                    job.body = body, job.tube = tube;
                    job_ids_[body] = line.substr(9);
                    ++result_.put;
                } else {
                    ++result_.put_refused;
                }
            });
    }
    void put_job() {
        Producer& producer =
            *producers_[static_cast<std::size_t>(uniform() * static_cast<double>(producers_.size()))];
        const auto tube = static_cast<std::size_t>(uniform() * 4);
        if (producer.client->is_closed()) return;
        producer.client->send(std::string("use ") + kTubes[tube] + "\r\n");
        const std::string body = std::string(kTubes[tube]) + "-" + std::to_string(++bodies_created_);
        producer.pending_puts.emplace_back(body, tube);
        // Drawn in separate statements, since the evaluation order of arguments is unspecified.
        const unsigned delay = uniform() < 0.1 ? 1 : 0;
        const auto priority = static_cast<unsigned>(uniform() * 2'000);
        producer.client->put(body, priority, delay, 1);
    }

    // ---- workers ----
    void on_reply(Worker& worker, std::string_view line, std::string_view body) {
        if (line.starts_with("WATCHING")) return;
        if (line.starts_with("RESERVED ")) {
            worker.is_reserving = false;
            worker.job = line.substr(9, line.rfind(' ') - 9);
            worker.body = body;
            worker.is_from_http = body.starts_with("http-");
            ++result_.jobs_reserved;
            if (worker.is_from_http) {
                ++tasks_[worker.body].assigned, ++result_.tasks_by_workers;
            } else {
                auto job = jobs_.find(worker.body);
                // The worker may get the job before the producer gets the INSERTED reply.
                if (job == jobs_.end())
                    job = jobs_.emplace(worker.body, Job{worker.body, tube_of(worker.body)}).first;
                ++job->second.assigned;
            }
            const double chance = uniform();
            worker.is_hanging = chance < 0.01;
            worker.finish_at =
                net::Loop::now() +
                (worker.is_hanging
                     ? kMinTimeToRun + 500'000
                     : static_cast<Micros>(static_cast<double>(plan_.work_time) * (0.5 + uniform())));
            result_.worker_hangs += worker.is_hanging;
            if (chance > 0.985)
                worker.finish_at = -worker.finish_at;  // negative: the worker will crash with the job
            return;
        }
        if (line == "TIMED_OUT" || line == "DEADLINE_SOON") return void(worker.is_reserving = false);
        Job* const job = worker.is_from_http || !jobs_.contains(worker.body) ? nullptr : &jobs_[worker.body];
        if (line == "DELETED" && job) ++job->deleted;
        if (line == "RELEASED" && job) ++job->released, ++result_.jobs_released;
        if (line == "BURIED" && job) ++job->buried;
        if (line == "NOT_FOUND") ++result_.late_commands;
        worker.job.clear();
    }
    std::size_t tube_of(const std::string& body) const {
        for (std::size_t t = 0; t < 4; ++t)
            if (body.starts_with(std::string(kTubes[t]) + "-")) return t;
        return 0;
    }
    void update_worker(Worker& worker, Micros now) {
        if (worker.client && worker.client->is_closed())
            worker.client.reset(), worker.job.clear(), worker.is_reserving = false,
                                                       worker.reconnect_at = now + 100'000;
        if (!worker.client) {
            if (now < worker.reconnect_at) return;
            try {
                worker.client = std::make_unique<TubeClient>(
                    loop_, address(tubes_),
                    [this, &worker](TubeClient&, std::string_view line, std::string_view body) {
                        on_reply(worker, line, body);
                    });
            } catch (const std::runtime_error&) {
                worker.reconnect_at = now + 100'000;
                return;
            }
            worker.client->send("watch view\r\nwatch proof\r\nwatch render\r\nwatch push\r\n");
        }
        if (worker.job.empty()) {
            if (!worker.is_reserving)
                worker.client->send("reserve-with-timeout 2\r\n"), worker.is_reserving = true;
            return;
        }
        if (worker.finish_at == 0 || now < std::abs(worker.finish_at)) return;
        if (worker.finish_at < 0) {
            worker.client->reset();
            ++result_.worker_crashes;
            return;
        }
        worker.finish_at = 0;  // the command is sent, and its reply clears the job
        const double chance = worker.is_hanging ? 1 : uniform();
        if (chance < 0.03)
            worker.client->send("release " + worker.job + " 5 0\r\n");
        else if (chance < 0.04)
            worker.client->send("bury " + worker.job + " 5\r\n");
        else
            worker.client->send("delete " + worker.job + "\r\n");
    }

    // ---- runners over HTTP ----
    class Runner {
      public:
        Runner(MixedRehearsal& rehearsal, std::size_t number, const net::Address& at)
            : rehearsal_(rehearsal),
              number_(number),
              listener_(
                  rehearsal.loop_, at,
                  [this](evutil_socket_t s) {
                      connections_.push_back(std::make_unique<RunnerConnection>(*this, s));
                  },
                  [] {}) {}
        void remove_closed() {
            connections_.remove_if([](const auto& s) { return s->is_closed; });
        }
        void abort_all() {
            for (auto& s : connections_) s->abort();
        }

      private:
        struct RunnerConnection final : net::Connection::Owner {
            RunnerConnection(Runner& r, evutil_socket_t socket)
                : runner(r),
                  connection(r.rehearsal_.loop_, *this, socket),
                  done(r.rehearsal_.loop_, [this] { finish(); }) {}
            void on_bytes(std::string_view more) override {
                input.append(more);
                const auto end = input.find("\r\n\r\n");
                if (end == std::string::npos || is_busy) return;
                const auto field = [&](const char* name) {
                    const auto at = input.find(name);
                    return at == std::string::npos || at > end
                               ? std::string()
                               : input.substr(at + std::string_view(name).size(),
                                              input.find("\r\n", at) - at - std::string_view(name).size());
                };
                if (input.starts_with("GET ")) {
                    input.erase(0, end + 4);
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                    return;
                }
                const auto length = static_cast<std::size_t>(std::atoi(field("Content-Length: ").c_str()));
                if (input.size() < end + 4 + length) return;
                id = field("X-Request-ID: ");
                body = input.substr(end + 4, length);
                input.erase(0, end + 4 + length);
                is_busy = true;
                runner.rehearsal_.on_runner_request(body);
                done.set(net::Loop::now() +
                         static_cast<Micros>(static_cast<double>(runner.rehearsal_.plan_.work_time) *
                                             (0.5 + runner.rehearsal_.uniform())));
            }
            void finish() {
                is_busy = false;
                const std::string line = "{\"id\":\"" + id + "\",\"from\":\"r-" +
                                         std::to_string(runner.number_ + 1) +
                                         "\",\"state\":\"done\",\"result\":\"ok\"}\n";
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size()) +
                                 "\r\n\r\n" + line);
                if (!body.starts_with("http-")) runner.rehearsal_.on_runner_finished(body);
            }
            void on_closed(net::CloseReason) override { is_closed = true, done.cancel(); }
            void abort() {
                if (!is_busy || is_closed) return;
                connection.abort();
                is_closed = true, done.cancel();
                ++runner.rehearsal_.result_.runner_breaks;
            }
            Runner& runner;
            net::Connection connection;
            net::Timer done;
            std::string input, id, body;
            bool is_busy = false, is_closed = false;
        };
        MixedRehearsal& rehearsal_;
        const std::size_t number_;
        net::Listener listener_;
        std::list<std::unique_ptr<RunnerConnection>> connections_;
    };
    void on_runner_request(const std::string& body) {
        if (body.starts_with("http-")) {
            ++tasks_[body].assigned;
            return;
        }
        const std::size_t tube = tube_of(body);
        if (tube < 2) add_violation("a runner over HTTP got a job of a tube without pushing: " + body);
        Job& job = jobs_.emplace(body, Job{body, tube}).first->second;
        ++job.assigned, ++result_.jobs_by_runners;
    }
    void on_runner_finished(const std::string& body) { ++jobs_[body].finished_by_runner; }

    // ---- clients over HTTP ----
    struct Client {
        struct ClientConnection final : net::Connection::Owner {
            ClientConnection(Client& c, const net::Address& to)
                : client(c), connection(c.rehearsal.loop_, *this, to, 1'000'000) {}
            void on_bytes(std::string_view more) override { client.on_bytes(more); }
            void on_closed(net::CloseReason) override { is_closed = true; }
            Client& client;
            net::Connection connection;
            bool is_closed = false;
        };
        Client(MixedRehearsal& owner, std::size_t client_number) : rehearsal(owner), number(client_number) {}
        void send_request() {
            if (!request_id.empty()) return;
            if (!connection || connection->is_closed)
                connection = std::make_unique<ClientConnection>(*this, address(rehearsal.http_)),
                input.clear();
            request_id = "http-" + std::to_string(number) + "-" + std::to_string(++requests_sent);
            ++rehearsal.result_.tasks;
            rehearsal.tasks_[request_id];
            sent_at = net::Loop::now();
            connection->connection.write("POST /render/" + std::to_string(requests_sent) +
                                         " HTTP/1.1\r\nHost: d\r\nX-Request-ID: " + request_id +
                                         "\r\nX-Timeout: 3000m\r\nContent-Length: " +
                                         std::to_string(request_id.size()) + "\r\n\r\n" + request_id);
        }
        void on_bytes(std::string_view more) {
            input.append(more);
            for (;;) {
                const auto end = input.find("\r\n\r\n");
                if (end == std::string::npos) return;
                const auto at = input.find("Content-Length: ");
                const auto length =
                    at < end ? static_cast<std::size_t>(std::atoi(input.c_str() + at + 16)) : 0;
                if (input.size() < end + 4 + length) return;
                const int status = std::atoi(input.c_str() + 9);
                const bool closes_connection = input.find("Connection: close") < end;
                input.erase(0, end + 4 + length);
                if (request_id.empty())
                    return rehearsal.add_violation("a second response to client " + std::to_string(number));
                Task& t = rehearsal.tasks_[request_id];
                ++t.answers, t.status = status;
                if (net::Loop::now() - sent_at > 3'200'000)
                    rehearsal.add_violation("a response after the expiry: " + request_id);
                request_id.clear();
                if (closes_connection && connection) connection->is_closed = true;
            }
        }
        void remove_closed() {
            if (!connection || !connection->is_closed) return;
            // The connection was closed without a response: check_outcomes() reports the lost task.
            request_id.clear();
            connection.reset();
        }
        MixedRehearsal& rehearsal;
        const std::size_t number;
        std::unique_ptr<ClientConnection> connection;
        std::string request_id, input;
        std::uint64_t requests_sent = 0;
        Micros sent_at = 0;
    };

    // ---- the run ----
    void tick() {
        const Micros now = net::Loop::now() - started_at_;
        if (const auto reason = child_->ended()) {
            result_.error =
                "the dispatcher ended unexpectedly: it " + *reason + "\n" + last_lines(folder_ + "/d.log", 5);
            is_over_ = true;
            return;
        }
        if (now < plan_.duration) {
            for (; jobs_due_ < plan_.jobs_per_second * static_cast<double>(now) / 1e6; ++jobs_due_) put_job();
            for (; tasks_due_ < plan_.tasks_per_second * static_cast<double>(now) / 1e6; ++tasks_due_)
                clients_[static_cast<std::size_t>(uniform() * static_cast<double>(clients_.size()))]
                    ->send_request();
            if (now > next_break_at_) {
                next_break_at_ = now + plan_.duration / 6;
                runners_[static_cast<std::size_t>(uniform() * static_cast<double>(runners_.size()))]
                    ->abort_all();
            }
            if (plan_.has_drain && !has_drained_ && now > plan_.duration / 2)
                has_drained_ = true, send_control_command("drain");
            if (has_drained_ && !has_undrained_ && now > plan_.duration * 3 / 4)
                has_undrained_ = true, send_control_command("undrain");
        }
        for (auto& w : workers_) update_worker(*w, net::Loop::now());
        // The run is over when no worker holds a job and the workers have been idle for longer than one
        // reserve.
        const bool is_busy =
            std::any_of(workers_.begin(), workers_.end(), [](const auto& w) { return !w->job.empty(); });
        if (is_busy || now < plan_.duration) idle_since_ = net::Loop::now();
        if (net::Loop::now() - idle_since_ > 3'000'000 || now > plan_.duration + kMaxCompletionTime)
            is_over_ = true;
        tick_.set(net::Loop::now() + kTick);
    }
    void send_control_command(const std::string& command) {
        control::ControlClient caller(folder_ + "/d.sock");
        json::Object request;
        request["do"] = json::Value(command);
        request["by"] = json::Value(std::string("the day"));
        if (command == "drain") request["deadline_s"] = json::Value(json::Number{"2.0"});
        caller.call(request);
    }
    void query_remaining_jobs() {
        if (!result_.error.empty()) return;
        std::vector<std::string> order;
        for (const auto& [body, number] : job_ids_) order.push_back(body);
        std::size_t answered = 0;
        TubeClient query_client(loop_, address(tubes_),
                                [&](TubeClient&, std::string_view, std::string_view body) {
                                    const auto at = body.find("state: ");
                                    jobs_[order[answered++]].state =
                                        at == std::string_view::npos
                                            ? ""
                                            : std::string(body.substr(at + 7, body.find('\n', at) - at - 7));
                                });
        for (std::size_t requested = 0; answered < order.size() && !query_client.is_closed();) {
            for (; requested < order.size() && requested < answered + 50; ++requested)
                query_client.send("stats-job " + job_ids_[order[requested]] + "\r\n");
            turn();
        }
        if (answered < order.size()) result_.error = "the dispatcher did not report the remaining jobs";
    }

    // Checks each job and task against what clients, workers and runners observed.
    void check_outcomes() {
        for (const auto& [body, number] : job_ids_) {
            const Job& job = jobs_[body];
            const bool is_gone = job.state.empty();
            const int runs = job.assigned - job.released;
            if (!kIsIdempotent[job.tube] && runs > 1)
                add_violation("rule 2: " + body + " (" + number + ") was assigned " + std::to_string(runs) +
                              " times");
            if (job.deleted > 1)
                add_violation("rule 1: " + body + " was finished " + std::to_string(job.deleted) + " times");
            if (is_gone && job.deleted + job.finished_by_runner == 0)
                add_violation("rule 1: " + body + " is gone, but was not finished");
            if (!is_gone && job.deleted > 0)
                add_violation("rule 1: " + body + " was finished, but is still " + job.state);
            if (!is_gone && job.state != "ready" && job.state != "delayed" && job.state != "buried")
                add_violation("rule 1: " + body + " is still " + job.state);
            is_gone                 ? ++result_.jobs_done
            : job.state == "buried" ? ++result_.jobs_buried
                                    : ++result_.jobs_left;
        }
        for (const auto& [id, t] : tasks_) {
            if (t.answers != 1)
                add_violation("rule 1: " + id + " had " + std::to_string(t.answers) + " responses");
            ++result_.answered[t.status == 200 ? 0 : t.status == 503 ? 1 : 2];
        }
    }

    const MixedPlan plan_;
    const std::string folder_;
    const std::function<bool()> stop_;
    std::ranlux24_base random_;
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
    std::map<std::string, std::string> job_ids_;
    std::map<std::string, Task> tasks_;
    MixedResult result_;
    Micros started_at_ = 0, next_break_at_ = 1'000'000, idle_since_ = 0;
    double jobs_due_ = 0, tasks_due_ = 0;
    std::uint64_t bodies_created_ = 0;
    bool is_over_ = false, has_drained_ = false, has_undrained_ = false;
};

}  // namespace

MixedResult run_mixed_rehearsal(const MixedPlan& plan, const std::string& program, const std::string& folder,
                                const std::function<bool()>& stop) {
    return MixedRehearsal(plan, program, folder, stop).run();
}

}  // namespace gannethold::rehearsal
