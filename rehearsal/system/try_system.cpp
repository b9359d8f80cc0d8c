// gannethold-try-system: three controllers, three proxies and this project's own stand-in of a platform on
// loopback; a minute of load with a burst and a killed controller. Prints what was answered once, late,
// refused and failed, and runners against load over time (text, and SVG to a file).
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "json/json.hpp"
#include "net/loop.hpp"
#include "cluster/transport/http_client.hpp"
#include "cluster/transport/http_server.hpp"

ABSL_FLAG(int, seconds, 60, "seconds of load");
ABSL_FLAG(double, rate, 60,
          "requests a second outside the burst; the burst is three times that, for a sixth of the time");
ABSL_FLAG(std::string, programs, "",
          "folder of gannethold-proxy and gannethold-controller; empty: where this program stands");
ABSL_FLAG(std::string, svg, "system.svg", "file for the plot; empty: none");
ABSL_FLAG(std::string, folder, "", "folder for settings and disks; empty: a new one, removed at the end");

extern char** environ;

namespace {

using namespace gannethold;
using cluster::HttpMessage;

constexpr int kCores = 3, kFronts = 3, kWorkers = 6;

struct FunctionMade {
    std::string name;
    int slots, boot_ms, memory_mb, latency_target_ms, work_ms;
    double share;
};
const std::vector<FunctionMade> kFunctions = {{"preview", 8, 1200, 512, 300, 60, 0.7},
                                              {"frame", 1, 800, 128, 1500, 80, 0.25},
                                              {"rare", 1, 800, 128, 1500, 80, 0.05}};

class Trial {
  public:
    explicit Trial(net::Loop& loop)
        : loop_(loop),
          folder_(absl::GetFlag(FLAGS_folder)),
          platform_(loop, *net::Address::read("127.0.3.1:18300"),
                    {[this](auto e, HttpMessage&& m) { platform(e, m); }, [](auto) {}}, 256),
          caller_(loop,
                  {.connect_timeout = 1'000'000,
                   .idle_timeout = 4'000'000,
                   .max_idle_connections = 8,
                   .max_response_bytes = 1 << 20,
                   .id_field = "X-Attempt-Id"},
                  {.on_call_completed = [this](cluster::CompletedCall&& call) { on_call_completed(call); }}),
          timer_(loop, [this] { due(); }) {
        if (folder_.empty()) {
            char name[] = "/tmp/gannethold-try-XXXXXX";
            folder_ = mkdtemp(name);
            remove_ = true;
        }
        start_ = net::Loop::now() + 6'000'000;
        for (int i = 0; i < kCores; ++i) start(core(i));
        for (int i = 0; i < kFronts; ++i) start("front-" + std::to_string(i));
        next_put_ = net::Loop::now() + 800'000;
        timer_.set(net::Loop::now() + 20'000);
        std::printf("three controllers and three proxies on loopback; load begins in 6 s, for %d s\n",
                    absl::GetFlag(FLAGS_seconds));
        std::fflush(stdout);
    }
    ~Trial() {
        for (const auto& [name, pid] : processes_) {
            ::kill(pid, SIGTERM);
            int status = 0;
            for (int n = 0; n < 100 && waitpid(pid, &status, WNOHANG) == 0; ++n) usleep(50'000);
        }
        if (remove_) std::filesystem::remove_all(folder_);
    }

    int report() const {
        std::printf("\n%zu requests: %d in aim, %d late, %d refused (503), %d failed; %d answered twice\n",
                    asked_, in_aim_, late_, refused_, failed_, twice_);
        std::printf("%d runners started, %d stopped, %d requests turned away by runners that were full\n",
                    starts_, stops_, turned_away_);
        std::printf("\nsecond  requests/s                      runners\n");
        for (std::size_t s = 0; s < seconds_.size(); s += 2)
            std::printf(
                "%6zu  %4d %-24s  %3d %s\n", s, seconds_[s].first,
                std::string(static_cast<std::size_t>(std::min(24, seconds_[s].first / 8)), '#').c_str(),
                seconds_[s].second, std::string(static_cast<std::size_t>(seconds_[s].second), '=').c_str());
        if (!absl::GetFlag(FLAGS_svg).empty()) svg();
        return asked_ > 0 && twice_ == 0 && in_aim_ + late_ > static_cast<int>(asked_ * 9 / 10) ? 0 : 1;
    }

  private:
    struct Runner {
        std::string id, service, address, worker, zone;
        const FunctionMade* made = nullptr;
        Micros ready_at = 0, listed_at = 0;
        int busy = 0;
        std::unique_ptr<cluster::HttpServer> service_at;
        std::map<cluster::ExchangeId, std::unique_ptr<net::Timer>> work;
    };
    struct Try {
        Micros sent = 0;
        const FunctionMade* made = nullptr;
    };

    static std::string core(int i) { return "core-" + std::to_string(i); }

    void start(const std::string& name) {
        const bool is_core = name.starts_with("core");
        const std::string ip = (is_core ? "127.0.1.1" : "127.0.2.1") + name.substr(name.size() - 1);
        const std::string place = folder_ + "/" + name;
        const bool first = !std::filesystem::exists(place);
        std::filesystem::create_directories(place);
        std::ofstream s(place + "/settings.conf");
        s << "node_name=" << name << "\nip_address=" << ip << "\nzone=z" << name.back()
          << "\nzones.z0=r\nzones.z1=r\nzones.z2=r\ninternal_port_range=17680,17695\n"
          << "seed_addresses=127.0.1.10:18263,127.0.1.11:18263,127.0.1.12:18263\ninitial_start="
          << (first ? "true" : "false")
          << "\nlimits.memory_mb=128\nlimits.file_descriptors=1024\nplatform_api.address=127.0.3.1:"
             "18300\nplatform_api.rate_per_s=25\nplatform_api.duty_per_s=100\nplatform_api.max_lag_ms=800\n"
          << "bounds.retry_budget_slack=50\nbounds.rejection_slack=10\n";
        if (is_core)
            s << "listen_addresses.control_plane=" << ip << ":18263\ndata_directory=" << place << "/disk\n";
        else
            s << "listen_addresses.frontend=" << ip << ":18269\nlisten_addresses.readiness=" << ip
              << ":18266\n";
        s.close();
        std::string programs = absl::GetFlag(FLAGS_programs);
        if (programs.empty())
            programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
        const std::string program = programs + (is_core ? "/gannethold-controller" : "/gannethold-proxy");
        const std::string settings = "--settings=" + place + "/settings.conf",
                          admin = "--admin=" + ip + ":18900";
        std::vector<char*> words = {const_cast<char*>(program.c_str()), const_cast<char*>(settings.c_str()),
                                    const_cast<char*>(admin.c_str()), nullptr};
        pid_t pid = 0;
        if (posix_spawn(&pid, program.c_str(), nullptr, nullptr, words.data(), environ) != 0) {
            std::fprintf(stderr, "%s can not be started\n", program.c_str());
            std::exit(2);
        }
        processes_[name] = pid;
    }

    // ---- the platform ----

    void answer(cluster::HttpServer& at, cluster::ExchangeId e, int status, std::string body) {
        HttpMessage m;
        m.status = status;
        m.fields.emplace_back("Content-Type", "application/json");
        m.body = std::move(body);
        at.answer(e, m);
    }

    void platform(cluster::ExchangeId e, const HttpMessage& m) {
        const Micros now = net::Loop::now();
        if (m.target.starts_with("/runners")) {
            std::string body = "{\"instances\":[";
            bool any = false;
            for (const auto& [id, r] : runners_) {
                if (now < r->listed_at) continue;
                body += (any ? ",{" : "{") + std::string("\"runner_id\":\"") + id + "\",\"service\":\"" +
                        r->service + "\",\"address\":\"" + r->address + "\",\"zone\":\"" + r->zone +
                        "\",\"worker_id\":\"" + r->worker +
                        "\",\"concurrency_slots\":" + std::to_string(r->made->slots) +
                        ",\"state\":\"ready\"}";
                any = true;
            }
            return answer(platform_, e, 200, body + "],\"next_page_token\":null}");
        }
        if (m.target == "/v1/workers") {
            std::string body = "{\"workers\":[";
            for (int w = 0; w < kWorkers; ++w)
                body += (w ? ",{" : "{") + std::string("\"name\":\"w-") + std::to_string(w) +
                        "\",\"zone\":\"z" + std::to_string(w % 3) +
                        "\",\"memory_mb\":4096,\"free_memory_mb\":4096,\"state\":\"ready\"}";
            return answer(platform_, e, 200, body + "]}");
        }
        const std::uint64_t fence =
            std::strtoull(std::string(m.field("X-Fence-Number")).c_str(), nullptr, 10);
        if (fence < fence_) return answer(platform_, e, 403, "{}");
        fence_ = fence;
        const json::Value asked = json::read(m.body);
        if (m.target == "/v1/stop") {
            const auto at = runners_.find(*asked.text("runner_id"));
            if (at == runners_.end()) return answer(platform_, e, 404, "{}");
            ++stops_;
            at->second->service_at.reset();
            ended_.push_back(std::move(at->second));
            runners_.erase(at);
            return answer(platform_, e, 200, "{}");
        }
        const std::string service = *asked.text("service"),
                          key = service + "/" + *asked.text("request_nonce");
        if (const auto known = nonces_.find(key); known != nonces_.end() && runners_.count(known->second))
            return answer_begun(e, *runners_[known->second]);
        auto r = std::make_unique<Runner>();
        r->id = "i-" + std::to_string(++made_);
        r->service = service, r->worker = *asked.text("worker_id");
        r->zone = "z" + std::to_string(std::stoi(r->worker.substr(2)) % 3);
        r->address = "127.0.4.1:" + std::to_string(20'000 + made_);
        for (const FunctionMade& f : kFunctions)
            if (f.name == service) r->made = &f;
        if (!r->made) return answer(platform_, e, 400, "{}");
        r->ready_at = now + r->made->boot_ms * 1000LL;
        r->listed_at = r->ready_at + 800'000;
        nonces_[key] = r->id;
        ++starts_;
        Runner& made = *r;
        runners_[r->id] = std::move(r);
        answer_begun(e, made);
    }

    void answer_begun(cluster::ExchangeId e, const Runner& r) {
        answer(platform_, e, 200, "{\"runner_id\":\"" + r.id + "\",\"address\":\"" + r.address + "\"}");
    }

    void work(Runner& r, cluster::ExchangeId e, const HttpMessage& m) {
        HttpMessage a;
        a.fields.emplace_back("X-Attempt-Id", std::string(m.field("X-Attempt-Id")));
        if (m.field("X-Expected-Runner") != r.id || r.busy >= r.made->slots) {
            a.status = r.busy >= r.made->slots ? 503 : 421;
            turned_away_ += a.status == 503;
            a.fields.emplace_back("X-Request-Not-Run", "1");
            return r.service_at->respond(e, a);
        }
        ++r.busy;
        ++runs_[std::string(m.field("X-Attempt-Id"))];
        a.status = 200;
        a.fields.emplace_back("X-Runner-Seal", "seal." + r.id);
        a.body = "picture";
        auto timer = std::make_unique<net::Timer>(loop_, [this, &r, e, a] {
            --r.busy;
            if (r.service_at) r.service_at->respond(e, a);
            (void)this;
        });
        timer->set(net::Loop::now() +
                   static_cast<Micros>(r.made->work_ms * 1000 *
                                       std::uniform_real_distribution<>(0.5, 1.5)(random_)));
        r.work[e] = std::move(timer);
    }

    // ---- clients and the operator ----

    void put() {
        std::string body = "{\"version\":1,\"routes\":[", services = "],\"services\":[";
        for (std::size_t i = 0; i < kFunctions.size(); ++i) {
            const FunctionMade& f = kFunctions[i];
            body += (i ? ",{" : "{") + std::string("\"name\":\"r-") + f.name +
                    "\",\"host\":\"try.example\",\"path_prefix\":\"/" + f.name +
                    "/\",\"route_kind\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":" +
                    std::to_string(f.latency_target_ms) + ",\"priority\":1,\"service\":\"" + f.name +
                    "\",\"max_attempts\":2}";
            services += (i ? ",{" : "{") + std::string("\"name\":\"") + f.name +
                        "\",\"connection_limit\":64,\"memory_mb\":" + std::to_string(f.memory_mb) +
                        ",\"boot_duration_ms\":" + std::to_string(f.boot_ms) +
                        ",\"max_concurrency\":" + std::to_string(f.slots) + "}";
        }
        HttpMessage m;
        m.method = "PUT", m.target = "/v1/configuration";
        m.fields.emplace_back("Host", "core");
        m.body = body + services + "]}";
        caller_.call(cluster::CallId{++call_}, "127.0.1.1" + std::to_string(put_at_++ % kCores) + ":18263",
                     m);
        put_call_ = call_;
    }

    void request() {
        double at = std::uniform_real_distribution<>(0, 1)(random_);
        const FunctionMade* f = &kFunctions.back();
        for (const FunctionMade& one : kFunctions)
            if ((at -= one.share) < 0) {
                f = &one;
                break;
            }
        HttpMessage m;
        m.method = "GET", m.target = "/" + f->name + "/x";
        m.fields = {{"Host", "try.example"},
                    {"X-Attempt-Id", "try-" + std::to_string(++call_)},
                    {"X-Deadline-Remaining", "4000"}};
        tries_[call_] = {net::Loop::now(), f};
        ++asked_;
        caller_.call(cluster::CallId{call_}, "127.0.2.1" + std::to_string(call_ % kFronts) + ":18269", m);
    }

    void on_call_completed(const cluster::CompletedCall& call) {
        const auto id = static_cast<std::uint64_t>(call.id);
        const HttpMessage& m = call.response;
        if (id == put_call_) {
            if (call.result == cluster::CallResult::completed && m.status == 200) put_done_ = true;
            next_put_ = net::Loop::now() + 200'000;
            return;
        }
        const auto at = tries_.find(id);
        if (at == tries_.end()) return;
        const Micros took = net::Loop::now() - at->second.sent;
        if (call.result != cluster::CallResult::completed || (m.status != 200 && m.status != 503))
            ++failed_;
        else if (m.status == 503)
            ++refused_;
        else if (took <= at->second.made->latency_target_ms * 1000LL)
            ++in_aim_;
        else
            ++late_;
        tries_.erase(at);
    }

    void due() {
        const Micros now = net::Loop::now();
        if (!put_done_ && now >= next_put_ && next_put_ > 0) next_put_ = 0, put();
        for (auto& [id, r] : runners_)
            if (!r->service_at && now >= r->ready_at) {
                Runner* const runner = r.get();
                r->service_at = std::make_unique<cluster::HttpServer>(
                    loop_, *net::Address::read(r->address),
                    cluster::HttpServer::Events{
                        [this, runner](auto e, HttpMessage&& m) { work(*runner, e, m); }, [](auto) {}},
                    256);
            }
        const double seconds = static_cast<double>(now - start_) / 1e6, all = absl::GetFlag(FLAGS_seconds);
        if (seconds >= 0 && seconds < all) {
            const bool burst = seconds > all / 3 && seconds < all / 2;
            owed_ += absl::GetFlag(FLAGS_rate) * (burst ? 3 : 1) * static_cast<double>(now - last_) / 1e6;
            for (; owed_ >= 1; owed_ -= 1) request();
            const auto second = static_cast<std::size_t>(seconds);
            if (seconds_.size() <= second)
                seconds_.resize(second + 1),
                    seconds_[second] = {static_cast<int>(asked_ - asked_before_),
                                        static_cast<int>(runners_.size())},
                    asked_before_ = asked_;
            if (seconds > all * 2 / 3 && !killed_) {
                killed_ = true;
                std::printf("second %.0f: controller core-0 is killed\n", seconds);
                ::kill(processes_["core-0"], SIGKILL);
                waitpid(processes_["core-0"], nullptr, 0);
                processes_.erase("core-0");
                back_at_ = now + 3'000'000;
            }
        }
        if (back_at_ > 0 && now >= back_at_) back_at_ = 0, start("core-0");
        last_ = now;
        if (seconds > all + 5) {
            for (const auto& [id, runs] : runs_) twice_ += runs > 2;
            return loop_.stop();
        }
        if (now >= next_sweep_) {
            next_sweep_ = now + 500'000;
            platform_.close_expired(now), caller_.close_expired(now);
            for (auto& [id, r] : runners_)
                if (r->service_at) r->service_at->close_expired(now);
        }
        timer_.set(now + 5'000);
    }

    void svg() const {
        std::ofstream out(absl::GetFlag(FLAGS_svg));
        int most = 1, runners = 1;
        for (const auto& [a, b] : seconds_) most = std::max(most, a), runners = std::max(runners, b);
        const auto line = [&](const char* color, auto value, int top) {
            out << "<polyline fill='none' stroke='" << color << "' stroke-width='2' points='";
            for (std::size_t s = 0; s < seconds_.size(); ++s)
                out << 40 + s * 640.0 / static_cast<double>(std::max<std::size_t>(1, seconds_.size() - 1))
                    << "," << 210 - 180.0 * value(seconds_[s]) / top << " ";
            out << "'/>\n";
        };
        out << "<svg xmlns='http://www.w3.org/2000/svg' width='720' height='250' font-family='sans-serif' "
               "font-size='12'>\n<rect width='720' height='250' fill='white'/>\n";
        line(
            "#2266bb", [](const auto& s) { return s.first; }, most);
        line(
            "#cc5522", [](const auto& s) { return s.second; }, runners);
        out << "<text x='40' y='20' fill='#2266bb'>requests a second, at most " << most
            << "</text><text x='300' y='20' fill='#cc5522'>runners, at most " << runners
            << "</text><text x='40' y='235'>0 s</text><text x='650' y='235'>" << seconds_.size()
            << " s</text>\n</svg>\n";
        std::printf("\nplot: %s\n", absl::GetFlag(FLAGS_svg).c_str());
    }

    net::Loop& loop_;
    std::string folder_;
    bool remove_ = false;
    cluster::HttpServer platform_;
    cluster::HttpClient caller_;
    net::Timer timer_;
    std::map<std::string, pid_t> processes_;
    std::map<std::string, std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<Runner>> ended_;
    std::map<std::string, std::string> nonces_;
    std::map<std::string, int> runs_;
    std::map<std::uint64_t, Try> tries_;
    std::vector<std::pair<int, int>> seconds_;
    std::mt19937 random_{7};
    std::uint64_t call_ = 0, put_call_ = 0;
    std::uint64_t fence_ = 0;
    std::size_t asked_ = 0, asked_before_ = 0;
    int made_ = 0, starts_ = 0, stops_ = 0, turned_away_ = 0, in_aim_ = 0, late_ = 0, refused_ = 0,
        failed_ = 0, twice_ = 0, put_at_ = 0;
    Micros start_ = 0, last_ = net::Loop::now(), next_put_ = 0, next_sweep_ = 0, back_at_ = 0;
    double owed_ = 0;
    bool put_done_ = false, killed_ = false;
};

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "gannethold-try-system plays a minute of load on a whole system on loopback.");
    absl::ParseCommandLine(argc, argv);
    ::signal(SIGPIPE, SIG_IGN);
    net::Loop loop(4096);
    int code = 1;
    {
        Trial pre_vote(loop);
        loop.run([] {});
        code = pre_vote.report();
    }
    return code;
}
