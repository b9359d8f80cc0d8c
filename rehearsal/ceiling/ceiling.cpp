#include "ceiling/ceiling.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <charconv>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "day/day.hpp"
#include "net/address.hpp"
#include "net/loop.hpp"
#include "sockets/child.hpp"
#include "sockets/claim.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr unsigned kEchoPort = 21'000, kDispatcherPort = 20'000;
constexpr Micros kComesUpIn = 5'000'000;

net::Address address(const std::string& text) {
    const auto read = net::Address::parse(text);
    if (!read) throw std::runtime_error("no address: " + text);
    return *read;
}

// A socket with its bytes, as little as it takes.
class Wire {
  public:
    Wire(net::Loop& loop, int socket, std::function<void(Wire&)> heard)
        : socket_(socket),
          heard_(std::move(heard)),
          event_(event_new(
                     loop.base(), socket, EV_READ | EV_PERSIST,
                     [](evutil_socket_t, short, void* self) { static_cast<Wire*>(self)->read(); }, this),
                 &event_free) {
        const int yes = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        event_add(event_.get(), nullptr);
    }
    ~Wire() {
        event_.reset();
        close(socket_);
    }
    void write(std::string_view text) const {
        // Heads and bodies are small and one is out at a time, so the system takes them whole.
        (void)!send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    std::string got;
    bool closed = false;
    std::size_t owner = 0;
    Micros since = 0;

  private:
    void read() {
        char space[16384];
        const ssize_t n = recv(socket_, space, sizeof space, MSG_DONTWAIT);
        if (n > 0) got.append(space, static_cast<std::size_t>(n));
        if (n == 0 || (n < 0 && errno != EAGAIN)) closed = true, event_del(event_.get());
        heard_(*this);
    }
    int socket_;
    std::function<void(Wire&)> heard_;
    net::EventHandle event_;
};

std::string_view field(std::string_view head, std::string_view name) {
    const auto at = head.find(name);
    if (at == std::string_view::npos) return {};
    const auto from = at + name.size();
    return head.substr(from, head.find("\r\n", from) - from);
}

// How long the first message is, once all of it has come; 0 before. Counted bodies only.
std::size_t whole(std::string_view got, std::string_view& head) {
    const auto end = got.find("\r\n\r\n");
    if (end == std::string_view::npos) return 0;
    head = got.substr(0, end + 2);
    std::size_t length = 0;
    const auto text = field(head, "Content-Length: ");
    std::from_chars(text.data(), text.data() + text.size(), length);
    return got.size() >= end + 4 + length ? end + 4 + length : 0;
}

// ---- the runners
// -------------------------------------------------------------------------------------------

class Echoes {
  public:
    Echoes(const CeilingPlan& plan, const std::vector<std::pair<std::size_t, net::Address>>& places)
        : plan_(plan), loop_(64) {
        for (const auto& [number, at] : places) {
            const int door = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const int yes = 1;
            setsockopt(door, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
            if (bind(door, at.get(), at.length) != 0 || listen(door, 1024) != 0) _exit(3);
            doors_.push_back(std::make_unique<Door>(
                Door{this, in_use_.size(), door, net::EventHandle(nullptr, &event_free)}));
            in_use_.push_back(0);
            Door* const d = doors_.back().get();
            d->event.reset(event_new(
                loop_.base(), door, EV_READ | EV_PERSIST,
                [](evutil_socket_t, short, void* self) {
                    static_cast<Door*>(self)->echoes->accept(*static_cast<Door*>(self));
                },
                d));
            event_add(d->event.get(), nullptr);
        }
    }
    void run() {
        loop_.run([this] { std::erase_if(wires_, [](const auto& w) { return w->closed; }); });
    }

  private:
    struct Door {
        Echoes* echoes;
        std::size_t runner;
        int socket;
        net::EventHandle event;
    };
    void accept(const Door& door) {
        for (int one; (one = accept4(door.socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
            wires_.push_back(std::make_unique<Wire>(loop_, one, [this](Wire& w) { heard(w); }));
            wires_.back()->owner = door.runner;
        }
    }
    std::string load(std::size_t runner, bool object) const {
        const auto used = in_use_[runner];
        const auto free = plan_.slots > used ? plan_.slots - used : 0;
        const char* const q = object ? "\"" : "";
        const char* const is = object ? "\":" : "=";
        std::ostringstream out;
        out << q << "x0" << is << free << ',' << q << "q" << is << 0 << ',' << q << "rif" << is << used;
        return out.str();
    }
    void heard(Wire& w) {
        std::string_view head;
        while (!w.closed) {
            const std::size_t n = whole(w.got, head);
            if (n == 0) return;
            if (head.starts_with("GET")) {
                const std::string text = load(w.owner, false);
                w.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
                        text);
            } else {
                ++in_use_[w.owner];
                std::string id(field(head, "X-Request-ID: "));
                if (plan_.work <= 0)
                    answer(w, id);
                else
                    later(w, std::move(id));
            }
            w.got.erase(0, n);
        }
    }
    void answer(Wire& w, const std::string& id) {
        --in_use_[w.owner];
        const std::string body = "{\"id\":\"" + id +
                                 "\",\"from\":\"echo\",\"state\":\"done\",\"result\":\"ok\"" +
                                 (plan_.reports ? ",\"load\":{" + load(w.owner, true) + "}" : "") + "}\n";
        w.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void later(Wire& w, std::string id) {
        // A wire lives until this process is killed or its peer closes, and peers do not close while they
        // wait.
        struct Due {
            Echoes* echoes;
            Wire* wire;
            std::string id;
        };
        const timeval wait{static_cast<time_t>(plan_.work / 1'000'000),
                           static_cast<suseconds_t>(plan_.work % 1'000'000)};
        event_base_once(
            loop_.base(), -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* what) {
                const std::unique_ptr<Due> due(static_cast<Due*>(what));
                if (!due->wire->closed) due->echoes->answer(*due->wire, due->id);
            },
            new Due{this, &w, std::move(id)}, &wait);
    }

    const CeilingPlan& plan_;
    net::Loop loop_;
    std::vector<std::unique_ptr<Door>> doors_;
    std::vector<std::size_t> in_use_;
    std::vector<std::unique_ptr<Wire>> wires_;
};

// ---- the clients
// -------------------------------------------------------------------------------------------

struct Counted {
    std::uint64_t finished = 0, bounced = 0, failed = 0;
    double seconds = 0;
    Latencies latencies;
};

class Generator {
  public:
    Generator(const CeilingPlan& plan, std::vector<net::Address> targets, std::size_t connections,
              std::uint64_t first)
        : plan_(plan), targets_(std::move(targets)), loop_(64), next_(first) {
        for (std::size_t i = 0; i < connections; ++i) connect_one(i);
    }
    Counted run() {
        const Micros began = net::Loop::now();
        measured_from_ = began + static_cast<Micros>(plan_.warm * 1e6);
        const Micros end = measured_from_ + static_cast<Micros>(plan_.seconds * 1e6);
        for (auto& w : wires_) ask(*w);
        while (net::Loop::now() < end) {
            net::Timer wake(loop_, [] {});
            wake.set(std::min(end, net::Loop::now() + 50'000));
            loop_.run_once(true);
            for (std::size_t i = 0; i < wires_.size(); ++i)
                if (wires_[i]->closed) ++counted_.failed, connect_one(i), ask(*wires_[i]);
        }
        counted_.seconds = plan_.seconds;
        return std::move(counted_);
    }

  private:
    void connect_one(std::size_t i) {
        const int one = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const net::Address& to = targets_[i % targets_.size()];
        if (connect(one, to.get(), to.length) != 0) _exit(4);
        fcntl(one, F_SETFL, O_NONBLOCK);
        auto wire = std::make_unique<Wire>(loop_, one, [this](Wire& w) { heard(w); });
        if (i < wires_.size())
            wires_[i] = std::move(wire);
        else
            wires_.push_back(std::move(wire));
    }
    void ask(Wire& w) {
        char text[256];
        const int n = std::snprintf(text, sizeof text,
                                    "POST /render/7 HTTP/1.1\r\nHost: front\r\nX-Request-ID: "
                                    "c%llx\r\nX-Timeout: 5000m\r\nContent-Length: 5\r\n\r\nscene",
                                    static_cast<unsigned long long>(++next_));
        w.since = net::Loop::now();
        w.write({text, static_cast<std::size_t>(n)});
    }
    void heard(Wire& w) {
        std::string_view head;
        const std::size_t n = whole(w.got, head);
        if (n == 0 || w.closed) return;
        const Micros now = net::Loop::now();
        const std::string_view status = head.substr(9, 3);
        if (now >= measured_from_) {
            if (status == "200")
                ++counted_.finished, counted_.latencies.add(now - w.since);
            else
                ++(status == "503" ? counted_.bounced : counted_.failed);
        }
        w.got.erase(0, n);
        ask(w);
    }

    const CeilingPlan& plan_;
    const std::vector<net::Address> targets_;
    net::Loop loop_;
    std::vector<std::unique_ptr<Wire>> wires_;
    std::uint64_t next_;
    Micros measured_from_ = 0;
    Counted counted_;
};

// ---- processes
// ---------------------------------------------------------------------------------------------

class Helpers {
  public:
    ~Helpers() {
        for (const pid_t p : all_) kill(p, SIGKILL);
        for (const pid_t p : all_) waitpid(p, nullptr, 0);
    }
    void add(const std::function<void()>& work) {
        const pid_t parent = getpid();
        const pid_t p = fork();
        if (p < 0) throw std::runtime_error("no process can be started");
        if (p == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) _exit(127);
            std::signal(SIGPIPE, SIG_IGN);
            work();
            _exit(0);
        }
        all_.push_back(p);
    }

  private:
    std::vector<pid_t> all_;
};

void write_all(int to, const std::string& text) {
    for (std::size_t done = 0; done < text.size();) {
        const ssize_t n = ::write(to, text.data() + done, text.size() - done);
        if (n <= 0) return;
        done += static_cast<std::size_t>(n);
    }
}

// Clients against those places, and what they counted, all together.
Counted drive(const CeilingPlan& plan, const std::vector<net::Address>& targets) {
    Helpers generators;
    std::vector<int> hears;
    const std::size_t many = std::min(plan.generators, plan.connections);
    for (std::size_t g = 0; g < many; ++g) {
        int ends[2];
        if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
        const std::size_t part = plan.connections / many + (g < plan.connections % many);
        generators.add([&] {
            const Counted c = Generator(plan, targets, part, (g + 1) << 40).run();
            std::ostringstream out;
            out << c.finished << ' ' << c.bounced << ' ' << c.failed;
            c.latencies.each([&](Micros value, std::uint64_t times) { out << ' ' << value << ' ' << times; });
            write_all(ends[1], out.str());
        });
        close(ends[1]);
        hears.push_back(ends[0]);
    }
    Counted all;
    for (const int from : hears) {
        std::string text;
        char space[65536];
        for (ssize_t n; (n = read(from, space, sizeof space)) > 0;)
            text.append(space, static_cast<std::size_t>(n));
        close(from);
        std::istringstream in(text);
        std::uint64_t finished = 0, bounced = 0, failed = 0, times = 0;
        if (!(in >> finished >> bounced >> failed))
            throw std::runtime_error("a generator of load ended before its time");
        all.finished += finished, all.bounced += bounced, all.failed += failed;
        for (Micros value = 0; in >> value >> times;) all.latencies.add(value, times);
    }
    return all;
}

// A fleet of one kind, told as a day, so that the configuration is the one that days have.
Day day_of(const CeilingPlan& plan) {
    std::ostringstream text;
    text << "length_s = 10\n[[runners]]\nname = \"echo\"\ncount = " << plan.runners
         << "\ncores = 64\nslots = " << plan.slots
         << "\ntells_start = false\n[[workloads]]\nname = \"render\"\ndue_ms = 400\nexpiry_ms = "
            "5000\n[clients]\nrate = 1\n"
         << "[dispatchers]\nprobes = false\nsockets = " << 64 + 4 * (plan.connections + plan.runners)
         << (plan.reports ? "\n" : "\nreports = []\n");
    return read_day(text.str(), "ceiling");
}

void await(const std::string& where, Child& child, const std::string& log) {
    const net::Address at = address(where);
    for (const Micros until = net::Loop::now() + kComesUpIn; net::Loop::now() < until; usleep(10'000)) {
        if (const auto how = child.ended())
            throw std::runtime_error("the dispatcher did not come up: it " + *how + "\n" +
                                     last_lines(log, 5));
        const int one = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool there = connect(one, at.get(), at.length) == 0;
        close(one);
        if (there) return;
    }
    throw std::runtime_error("the dispatcher did not come up\n" + last_lines(log, 5));
}

}  // namespace

CeilingFigures measure_ceiling(const CeilingPlan& plan, const std::string& program,
                               const std::string& folder) {
    std::signal(SIGPIPE, SIG_IGN);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    std::filesystem::create_directories(folder);
    const Claim claim;
    const Day day = day_of(plan);
    std::vector<net::Address> runners;
    std::ostringstream known;
    known << "{\"version\":1,\"full\":true,\"servers\":[";
    for (std::size_t r = 0; r < plan.runners; ++r) {
        const std::string at =
            claim.address(static_cast<unsigned>(r / 250), static_cast<unsigned>(1 + r % 250), kEchoPort);
        runners.push_back(address(at));
        known << (r > 0 ? "," : "") << "{\"id\":\"e-" << r << "\",\"addr\":\"" << at
              << "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
              << "\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}";
    }
    known << "]}";
    Helpers echoes;
    const std::size_t many = std::min(plan.echoes, plan.runners);
    for (std::size_t e = 0; e < many; ++e)
        echoes.add([&] {
            std::vector<std::pair<std::size_t, net::Address>> mine;
            for (std::size_t r = e; r < runners.size(); r += many) mine.emplace_back(r, runners[r]);
            Echoes(plan, mine).run();
        });
    usleep(100'000);
    CeilingFigures figures;
    const Counted direct = drive(plan, runners);
    figures.direct_a_second = static_cast<double>(direct.finished) / plan.seconds;
    figures.direct_p50 = direct.latencies.at(0.5), figures.direct_p99 = direct.latencies.at(0.99);
    figures.direct_p999 = direct.latencies.at(0.999);

    const std::string listen = claim.address(253, 1, kDispatcherPort), log = folder + "/ceiling.log";
    std::ofstream(folder + "/ceiling.json")
        << day.posting(0, listen, claim.address(254, 1, 8'500), 1, known.str());
    Child child({program, "serve", "--configuration", folder + "/ceiling.json", "--log-level", "warning"},
                log);
    await(listen, child, log);
    const Child::Cost before = child.cost();
    const Counted through = drive(plan, {address(listen)});
    const Child::Cost after = child.cost();
    if (const auto how = child.ended())
        throw std::runtime_error("the dispatcher " + *how + "\n" + last_lines(log, 5));
    figures.finished = through.finished, figures.bounced = through.bounced, figures.failed = through.failed;
    figures.tasks_a_second = static_cast<double>(through.finished) / plan.seconds;
    // The warm-up's tasks cost too, and are taken to be as many a second.
    const double tasks = figures.tasks_a_second * (plan.seconds + plan.warm);
    figures.cpu_us_a_task = tasks > 0 ? (after.cpu_s - before.cpu_s) * 1e6 / tasks : 0;
    figures.memory_mb = after.memory_mb;
    figures.p50 = through.latencies.at(0.5), figures.p99 = through.latencies.at(0.99),
    figures.p999 = through.latencies.at(0.999);
    return figures;
}

}  // namespace gannethold::rehearsal
