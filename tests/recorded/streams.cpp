// Plays seeded streams of events against gannethold_simhost over its binary protocol and digests every action
// that it returns. This program uses no source of the project, only the bytes of the protocol and the
// operators' names of settings, so that a rename cannot change it along with what it checks. A small emulated
// fleet closes the loop: assignments finish, fail, time out or hang.
//
//   recorded_streams HOST DIGESTS|--print
#include <sys/wait.h>
#include <unistd.h>

#include <functional>
#include <queue>
#include <stdexcept>
#include <utility>

#include "recording.hpp"

namespace {

using recorded::Digest;
using recorded::Random;
using Time = std::int64_t;  // microseconds
constexpr Time kMillisecond = 1'000, kSecond = 1'000'000;

// The codes of the protocol.
enum Event {
    create = 10,
    membership = 20,
    arrival = 30,
    begun = 40,
    ended = 50,
    disconnected = 60,
    timer = 70
};
enum FurtherEvent {
    probe_ended = 80,
    peer_message = 90,
    kill_instance = 100,
    progress = 110,
    instance = 120
};
enum Action { assign = 10, bounce = 20, abandon = 30, withdraw = 40, wake = 50, probe = 60, close_idle = 70 };
enum FurtherAction {
    send_to_peer = 80,
    log_line = 90,
    failure = 100,
    watch_membership = 110,
    fetch_membership = 120,
    reply_of = 130
};
enum Ending {
    finished = 0,
    error = 5,
    full = 11,
    reset = 104,
    timed_out = 110,
    refused = 111,
    not_started = 114
};
constexpr int kWithdrawn = 125;
enum ListKind { list_failed = 0, list_complete = 1, list_cached = 3, list_delta = 4 };
enum RunnerState { gone = 0, draining = 1, ready = 2 };

class Bytes {
  public:
    Bytes& integer(std::int64_t value, int width) {
        while (width--) made_.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * width)));
        return *this;
    }
    Bytes& real(float value) { return integer(std::bit_cast<std::uint32_t>(value), 4); }
    Bytes& text(const std::string& value, int width) {
        integer(static_cast<std::int64_t>(value.size()), width);
        made_ += value;
        return *this;
    }
    const std::string& made() const { return made_; }

  private:
    std::string made_;
};

class Reader {
  public:
    explicit Reader(std::string bytes) : bytes_(std::move(bytes)) {}
    bool done() const { return at_ == bytes_.size(); }
    std::size_t at() const { return at_; }
    std::int64_t integer(int width) {
        std::uint64_t value = 0;
        for (const char c : take(static_cast<std::size_t>(width)))
            value = value << 8 | static_cast<unsigned char>(c);
        return static_cast<std::int64_t>(value);
    }
    std::string take(std::size_t n) {
        if (n > bytes_.size() - at_) throw std::runtime_error("the host's reply is truncated");
        at_ += n;
        return bytes_.substr(at_ - n, n);
    }

  private:
    std::string bytes_;
    std::size_t at_ = 0;
};

// The host as a child process, connected by a pair of pipes.
class Host {
  public:
    explicit Host(const char* program) {
        int to_child[2], from_child[2];
        if (pipe(to_child) || pipe(from_child)) throw std::runtime_error("no pipes");
        child_ = fork();
        if (child_ == 0) {
            dup2(to_child[0], STDIN_FILENO), dup2(from_child[1], STDOUT_FILENO);
            for (const int file : {to_child[0], to_child[1], from_child[0], from_child[1]}) close(file);
            execl(program, program, static_cast<char*>(nullptr));
            _exit(127);
        }
        close(to_child[0]), close(from_child[1]);
        out_ = to_child[1], in_ = from_child[0];
    }
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;
    ~Host() {
        if (child_ > 0) finish();
    }
    int finish() {
        close(out_), close(in_);
        int status = 0;
        waitpid(std::exchange(child_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string answer(Time now, const std::string& records, int count) {
        Bytes head;
        head.integer(now, 8).integer(static_cast<std::int64_t>(records.size()), 4).integer(count, 4);
        write_all(head.made() + records);
        return read_exactly(static_cast<std::size_t>(Reader(read_exactly(4)).integer(4)));
    }

  private:
    void write_all(const std::string& bytes) {
        for (std::size_t done = 0; done < bytes.size();) {
            const ssize_t n = write(out_, bytes.data() + done, bytes.size() - done);
            if (n <= 0) throw std::runtime_error("the host does not read");
            done += static_cast<std::size_t>(n);
        }
    }
    std::string read_exactly(std::size_t length) {
        std::string bytes(length, '\0');
        for (std::size_t done = 0; done < length;) {
            const ssize_t n = read(in_, bytes.data() + done, length - done);
            if (n <= 0) throw std::runtime_error("the host has exited");
            done += static_cast<std::size_t>(n);
        }
        return bytes;
    }

    pid_t child_ = -1;
    int in_ = -1, out_ = -1;
};

// The parameters of a stream. Rates apply to the whole stream, times are in microseconds.
struct Plan {
    std::string name;
    std::uint64_t seed;
    std::string settings;  // in addition to kCommonSettings
    int instances = 2, runners = 6, slots = 4;
    int dispatchers = 0;  // the number in the settings; 0: the number of instances
    Time length = 20 * kSecond, between_arrivals = 5 * kMillisecond, work = 40 * kMillisecond;
    int errors_one_in = 0, resets_one_in = 0, clients_leave_one_in = 0, repeats_one_in = 0;
    bool reports = true, crash = false, hang = false, slow_start = false, membership_changes = false;
    bool discovery_fails = false, restart = false, surge = false, peer_messages = false;
};

struct Runner {
    int id, zone, kind, group, state = ready, out = 0;
    Time started_at = 0, slowness = 100;  // percent
    bool crashed = false, hung = false;
};

struct Task {
    int instance, workload;
    int assignments = 0;
    bool answered = false;
    std::map<int, int> runner_of;  // by assignment, while it is in flight
};

class Stream {
  public:
    Stream(const Plan& plan, const char* host) : plan_(plan), random_(plan.seed), host_(host) {}
    std::string play();

  private:
    using Callback = std::function<void()>;
    struct Due {
        Time at;
        std::uint64_t order;
        Callback callback;
        bool operator<(const Due& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void after(Time span, Callback callback) { due_.push({now_ + span, order_++, std::move(callback)}); }
    Bytes& send_event(int to, int code) {
        records_.integer(instance, 1).integer(to, 2).integer(code, 1);
        count_ += 2;
        return records_;
    }
    void prepare();
    void schedule_faults();
    void create_instance(int which);
    void send_list(int to, int kind, const std::vector<Runner>& entries);
    void arrive();
    void send_frame();
    void on_reply(Reader& reply);
    void on_action(int from, int code, Reader& reply);
    void take_assignment(std::int64_t task, int runner);
    void begin_work(std::int64_t task, int number, Runner& runner);
    void end(std::int64_t task, int number, int how, Time elapsed);
    void withdraw_assignment(std::int64_t task, int number);
    void answer_probe(int from, int runner);
    void answer_list(int from);
    void put_report(const Runner& runner);
    Runner& runner_at(int id) { return runners_.at(static_cast<std::size_t>(id - 1)); }

    const Plan& plan_;
    Random random_;
    Host host_;
    Digest digest_;
    std::map<int, std::uint64_t> actions_;
    std::priority_queue<Due> due_;
    std::uint64_t order_ = 0;
    Time now_ = 100 * kSecond;
    const Time begins_ = now_;
    std::vector<Runner> runners_;
    std::map<std::int64_t, Task> tasks_;
    std::int64_t next_task_ = 1;
    Bytes records_;
    int count_ = 0, list_version_ = 1;
    bool discovery_up_ = true;
};

const std::string kCommonSettings =
    "workloads.count=3\n"
    "workloads.0.name=a\nworkloads.0.effect=pure\nworkloads.0.due_time_us=300000\nworkloads.0.expiry_us="
    "2000000\n"
    "workloads.0.importance=1\n"
    "workloads.1.name=b\nworkloads.1.effect=token\nworkloads.1.due_time_us=500000\nworkloads.1.expiry_us="
    "3000000\n"
    "workloads.1.importance=9\nworkloads.1.group=cell\nworkloads.1.window_us=1500000\n"
    "workloads.2.name=c\nworkloads.2.effect=side_effect\nworkloads.2.due_time_us=800000\n"
    "workloads.2.expiry_us=4000000\nworkloads.2.importance=4\nworkloads.2.tardy_importance=0.5\n"
    "caps.max_assignments=4\ncaps.cancelling=true\ncaps.retry_after=true\ncaps.max_retry_after_us=400000\n"
    "rules.cold_from=0.1\nrules.warm_after_us=5000000\nrules.fall_multiple=4\nrules.tip_after_us=1000000\n"
    "tenants.count=2\ntenants.0.allowance_per_s=40\ntenants.1.allowance_per_s=4000\nsurplus_importance=0.2\n";

void Stream::create_instance(int which) {
    std::string settings = kCommonSettings + plan_.settings +
                           "balancers=" + std::to_string(std::max(plan_.dispatchers, plan_.instances)) +
                           "\nme=" + std::to_string(which) + "\n";
    if (plan_.reports) settings += "reporting.names=x0,q,rif\nspecifics.report_x0=free_slots\n";
    send_event(which, create)
        .integer(static_cast<std::int64_t>(plan_.seed) * 100 + which, 8)
        .text(settings, 4);
    send_list(which, list_cached, runners_);
    after(2 * kMillisecond, [this, which] { send_list(which, list_complete, runners_); });
}

void Stream::send_list(int to, int kind, const std::vector<Runner>& entries) {
    Bytes& out = send_event(to, membership);
    out.integer(kind, 1).integer(list_version_++, 4).integer(static_cast<std::int64_t>(entries.size()), 4);
    for (const Runner& r : entries) {
        out.integer(r.id, 4).integer(r.zone, 1).integer(r.kind, 1).integer(r.group, 2).integer(r.state, 1);
        out.real(r.kind == 1 ? 0.5F : 1.0F).integer(r.started_at, 8);
    }
}

void Stream::arrive() {
    const Time usual = plan_.between_arrivals;
    const Time passed = now_ - begins_;
    const bool surge = plan_.surge && passed > plan_.length / 3 && passed < plan_.length * 2 / 3;
    if (passed < plan_.length) after(1 + random_.below(surge ? usual / 3 : 2 * usual), [this] { arrive(); });
    const std::int64_t id = next_task_++;
    Task& task = tasks_[id];
    task.instance = static_cast<int>(random_.below(plan_.instances));
    task.workload = static_cast<int>(random_.below(3));
    constexpr Time kExpiry[] = {2 * kSecond, 3 * kSecond, 4 * kSecond};
    const bool repeat = plan_.repeats_one_in && random_.one_in(plan_.repeats_one_in);
    const Time expiry = now_ + kExpiry[task.workload] - (repeat ? 500 * kMillisecond : 0);
    const bool hinted = random_.one_in(3);
    // Drawn in separate statements, since the order in which operands are evaluated is unspecified.
    const int write_flag = random_.one_in(7) ? 4 : 0;
    const int after_break_flag = random_.one_in(11) ? 16 : 0;
    const int flags = (hinted ? 1 : 0) | (repeat ? 2 : 0) | write_flag | after_break_flag;
    send_event(task.instance, arrival).integer(id, 8).integer(task.workload, 1).integer(random_.below(2), 4);
    records_.integer(random_.below(1'000), 8).integer(expiry, 8).integer(hinted ? plan_.work : 0, 4);
    records_.real(1).real(0.25F).integer(flags, 1);
    if (plan_.clients_leave_one_in && random_.one_in(plan_.clients_leave_one_in))
        after(random_.below(200 * kMillisecond), [this, id] {
            Task& one = tasks_[id];
            if (!std::exchange(one.answered, true)) send_event(one.instance, disconnected).integer(id, 8);
        });
}

void Stream::put_report(const Runner& runner) {
    if (!plan_.reports) {
        records_.integer(0, 1);
        return;
    }
    const int free = std::max(0, plan_.slots - runner.out), waiting = std::max(0, runner.out - plan_.slots);
    records_.integer(3, 1).real(static_cast<float>(free)).real(static_cast<float>(waiting));
    records_.real(static_cast<float>(runner.out));
}

void Stream::end(std::int64_t id, int number, int how, Time elapsed) {
    Task& task = tasks_[id];
    const auto out = task.runner_of.find(number);
    if (out == task.runner_of.end()) return;
    Runner& runner = runner_at(out->second);
    task.runner_of.erase(out);
    --runner.out;
    if (how == finished) task.answered = true;
    send_event(task.instance, ended)
        .integer(id, 8)
        .integer(task.answered, 1)
        .integer(0, 4)
        .integer(elapsed, 4);
    records_.integer(runner.id, 4).integer(number, 1).integer(how, 2);
    put_report(runner);
}

void Stream::begin_work(std::int64_t id, int number, Runner& runner) {
    const Time base = plan_.work / 2 + random_.below(plan_.work);
    const Time crowded = std::max(plan_.slots, runner.out);
    const Time span = base * runner.slowness / 100 * crowded / plan_.slots * (runner.kind == 1 ? 2 : 1);
    int how = finished;
    if (plan_.errors_one_in && random_.one_in(plan_.errors_one_in)) how = error;
    if (plan_.resets_one_in && random_.one_in(plan_.resets_one_in)) how = reset;
    const int where = runner.id;
    after(kMillisecond, [this, id, number, where] {
        Task& task = tasks_[id];
        if (!task.runner_of.contains(number)) return;
        send_event(task.instance, progress)
            .integer(id, 8)
            .real(0)
            .integer(where, 4)
            .integer(number, 1)
            .integer(1, 1);
    });
    if (how == finished && random_.one_in(4))
        after(span * 3 / 4 + 1, [this, id, number, where, span] {
            Task& task = tasks_[id];
            if (!task.runner_of.contains(number)) return;
            send_event(task.instance, progress)
                .integer(id, 8)
                .real(0.5F)
                .integer(where, 4)
                .integer(number, 1)
                .integer(2, 1);
            send_event(task.instance, begun)
                .integer(id, 8)
                .integer(number, 1)
                .integer(where, 4)
                .integer(span, 4);
        });
    after(span + 2 * kMillisecond, [this, id, number, where, how, span] {
        if (!runner_at(where).hung) end(id, number, runner_at(where).crashed ? int{reset} : how, span);
    });
}

void Stream::take_assignment(std::int64_t id, int where) {
    Task& task = tasks_[id];
    const int number = task.assignments++;
    Runner& runner = runner_at(where);
    task.runner_of[number] = where;
    ++runner.out;
    constexpr Time kTimeout = 700 * kMillisecond;
    if (runner.crashed) {
        after(kMillisecond, [this, id, number] { end(id, number, refused, kMillisecond); });
    } else if (runner.out > 3 * plan_.slots) {
        after(kMillisecond, [this, id, number] { end(id, number, full, kMillisecond); });
    } else {
        if (!runner.hung) begin_work(id, number, runner);
        after(kTimeout, [this, id, number] { end(id, number, timed_out, kTimeout); });
    }
}

void Stream::withdraw_assignment(std::int64_t id, int number) {
    const bool never_ran = random_.one_in(2);
    after(kMillisecond, [this, id, number, never_ran] {
        end(id, number, never_ran ? int{not_started} : kWithdrawn, kMillisecond);
    });
}

void Stream::answer_probe(int from, int where) {
    const Runner& probed = runner_at(where);
    after(probed.hung ? 300 * kMillisecond : 2 * kMillisecond, [this, from, where] {
        const Runner& runner = runner_at(where);
        const int how = runner.crashed ? refused : runner.hung ? timed_out : finished;
        send_event(from, probe_ended).integer(where, 4).integer(how, 2).integer(2 * kMillisecond, 4);
        put_report(runner);
    });
}

void Stream::answer_list(int from) {
    after(5 * kMillisecond, [this, from] {
        send_list(from, discovery_up_ ? list_complete : list_failed,
                  discovery_up_ ? runners_ : std::vector<Runner>{});
    });
}

void Stream::on_action(int from, int code, Reader& reply) {
    switch (code) {
        case assign: {
            const std::int64_t task = reply.integer(8);
            const int runner = static_cast<int>(reply.integer(4));
            reply.integer(8);
            return take_assignment(task, runner);
        }
        case bounce:
            tasks_[reply.integer(8)].answered = true;
            return static_cast<void>(reply.integer(4));
        case abandon:
            tasks_[reply.integer(8)].answered = true;
            return;
        case withdraw: {
            const std::int64_t task = reply.integer(8);
            return withdraw_assignment(task, static_cast<int>(reply.integer(1)));
        }
        case wake: {
            const Time at = reply.integer(8);
            const std::int64_t mark = reply.integer(8);
            return after(std::max<Time>(1, at - now_),
                         [this, from, mark] { send_event(from, timer).integer(mark, 8); });
        }
        case probe:
            return answer_probe(from, static_cast<int>(reply.integer(4)));
        case close_idle:
            return static_cast<void>(reply.integer(4));
        case watch_membership:
            reply.integer(1);
            return answer_list(from);
        case fetch_membership:
            return answer_list(from);
        default:
            throw std::runtime_error("unknown action code: " + std::to_string(code));
    }
}

// The texts of log lines and failures are not digested: their presence is behaviour, their wording is not.
void Stream::on_reply(Reader& reply) {
    int from = -1;
    while (!reply.done()) {
        Reader before = reply;
        const int code = static_cast<int>(reply.integer(1));
        if (code == reply_of) {
            from = static_cast<int>(reply.integer(2));
            digest_.integer(static_cast<std::uint64_t>(from));
            continue;
        }
        ++actions_[code];
        if (code == log_line || code == failure || code == send_to_peer) {
            if (code == send_to_peer) reply.integer(2);
            reply.take(static_cast<std::size_t>(reply.integer(2)));
            digest_.byte(static_cast<unsigned char>(code));
            continue;
        }
        on_action(from, code, reply);
        digest_.bytes(before.take(reply.at() - before.at()));
    }
}

void Stream::send_frame() {
    if (count_ == 0) return;
    const std::string records = records_.made();
    records_ = Bytes();
    const int count = std::exchange(count_, 0);
    Reader reply(host_.answer(now_, records, count));
    digest_.integer(static_cast<std::uint64_t>(now_));
    on_reply(reply);
}

void Stream::prepare() {
    for (int i = 0; i < plan_.runners; ++i) {
        Runner r{};
        r.id = i + 1, r.zone = i % 2, r.kind = i % 3 == 2, r.group = i % 2;
        r.state = ready, r.slowness = 100 + 15 * (i % 4);
        runners_.push_back(r);
    }
    for (int which = 0; which < plan_.instances; ++which) create_instance(which);
    after(10 * kMillisecond, [this] { arrive(); });
    schedule_faults();
}

void Stream::schedule_faults() {
    const Time third = plan_.length / 3;
    const auto change = [this](int id, int state) {
        Runner& r = runner_at(id);
        r.state = state;
        for (int to = 0; to < plan_.instances; ++to) send_list(to, list_delta, {r});
    };
    if (plan_.crash) after(third, [this] { runner_at(2).crashed = true; });
    if (plan_.crash) after(2 * third, [this] { runner_at(2).crashed = false; });
    if (plan_.hang) after(third, [this] { runner_at(3).hung = true; });
    if (plan_.hang) after(2 * third, [this] { runner_at(3).hung = false; });
    if (plan_.slow_start)
        after(third, [this, change] {
            runner_at(1).started_at = now_, change(1, ready);
            runner_at(4).started_at = now_, change(4, ready);
        });
    if (plan_.membership_changes) {
        after(third / 2, [change] { change(1, draining), change(5, gone); });
        after(third, [change] { change(1, gone); });
        after(2 * third,
              [this, change] { runner_at(1).started_at = now_, change(1, ready), change(5, ready); });
    }
    if (plan_.discovery_fails) {
        after(third, [this] {
            discovery_up_ = false;
            for (int to = 0; to < plan_.instances; ++to) send_list(to, list_failed, {});
        });
        after(2 * third, [this] { discovery_up_ = true; });
    }
    if (plan_.restart)
        after(third, [this] {
            send_event(0, kill_instance);
            for (auto& [id, task] : tasks_)
                if (task.instance == 0) {
                    for (const auto& [number, where] : task.runner_of) --runner_at(where).out;
                    task.runner_of.clear(), task.answered = true;
                }
            create_instance(0);
        });
    if (plan_.peer_messages)
        for (int i = 0; i < 5; ++i)
            after(i * third / 2, [this] { send_event(0, peer_message).integer(1, 4).text("a word", 2); });
}

std::string Stream::play() {
    prepare();
    send_frame();
    const Time until = begins_ + plan_.length + 6 * kSecond;
    while (!due_.empty() && due_.top().at <= until) {
        now_ = due_.top().at;
        while (!due_.empty() && due_.top().at == now_) {
            const Callback callback = due_.top().callback;
            due_.pop();
            callback();
        }
        send_frame();
    }
    if (host_.finish() != 0) throw std::runtime_error(plan_.name + ": the host failed");
    return plan_.name + " " + digest_.text() + " tasks:" + std::to_string(next_task_ - 1) +
           recorded::counts_text(actions_);
}

std::vector<Plan> plans() {
    std::vector<Plan> all(12);
    auto plan = [&, next = std::size_t{0}](const char* name, const char* settings) mutable -> Plan& {
        all[next].name = name, all[next].seed = 17 + next, all[next].settings = settings;
        return all[next++];
    };
    plan("calm", "");
    plan("silent", "caps.probes=true\n").reports = false;
    Plan& crash = plan("crash", "caps.probes=true\ncaps.keepalive_us=2000000\n");
    crash.crash = true, crash.errors_one_in = 40;
    Plan& hang = plan("hang", "caps.probes=true\ncaps.parallel_tries=true\n");
    hang.hang = true, hang.clients_leave_one_in = 20;
    Plan& slow_start = plan("cold", "rules.cold_from=0.3\nrules.warm_after_us=8000000\n");
    slow_start.slow_start = true, slow_start.runners = 4;
    Plan& moves = plan("roster-moves", "rules.only_draining_binds=true\n");
    moves.membership_changes = true;
    Plan& on_request = plan("on-request", "registry_mode=on_request\nrules.must_ask_in_us=4000000\n");
    on_request.discovery_fails = on_request.membership_changes = true;
    Plan& overload = plan("overload", "importance_by=work\nspecifics.class_stretch=2,3,4\n");
    overload.surge = true, overload.between_arrivals = 3 * kMillisecond, overload.repeats_one_in = 9;
    Plan& silent_overload = plan("silent-overload", "caps.cancelling=false\nclients.marks_retry=true\n");
    silent_overload.reports = false, silent_overload.surge = true, silent_overload.repeats_one_in = 5;
    silent_overload.runners = 5;
    Plan& restart = plan("restart", "specifics.tells_start=true\n");
    restart.restart = restart.crash = true, restart.resets_one_in = 30;
    Plan& wide = plan("wide", "caps.parallel_tries=true\ncaps.keepalive_us=500000\nzone=1\ndcs=x,y\n");
    wide.runners = 60, wide.instances = 4, wide.dispatchers = 40, wide.slots = 2,
    wide.peer_messages = wide.crash = true;
    wide.between_arrivals = 2 * kMillisecond, wide.length = 10 * kSecond;
    Plan& medley = plan("medley", "caps.probes=true\ncaps.parallel_tries=true\nspecifics.tells_start=true\n");
    medley.crash = medley.hang = medley.slow_start = medley.membership_changes = medley.surge =
        medley.restart = true;
    medley.errors_one_in = 30, medley.resets_one_in = 50, medley.clients_leave_one_in = 30;
    medley.runners = 8, medley.instances = 3;
    return all;
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::cerr << "usage: recorded_streams HOST DIGESTS|--print\n";
        return 2;
    }
    try {
        std::vector<std::string> lines;
        for (const Plan& plan : plans()) lines.push_back(Stream(plan, arguments[1]).play());
        return recorded::finish(lines, arguments[2]);
    } catch (const std::exception& e) {
        std::cerr << "recorded_streams: " << e.what() << '\n';
        return 1;
    }
}
