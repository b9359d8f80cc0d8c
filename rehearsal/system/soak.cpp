// gannethold-soak: a whole system of real processes on loopback, under load on kept connections, while
// signals, kills, restarts and changes of the configuration come in series that overlap. At the end
// everything is killed once; then the system has to serve again, by the newest configuration that was
// acknowledged.
//
// Exits with 0 if nothing was seen that the system's rules forbid, else with 1 and a line for each finding.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "load_generator.hpp"
#include "operator_changes.hpp"
#include "platform_stand_in.hpp"
#include "system_processes.hpp"
#include "trial_site.hpp"

ABSL_FLAG(int, seconds, 30, "seconds of faults");
ABSL_FLAG(unsigned, seed, 1, "of the faults and changes");
ABSL_FLAG(int, proxies, 6, "proxy processes");
ABSL_FLAG(double, rate, 40, "requests a second");
ABSL_FLAG(int, network, 0, "addresses are in 127.<network>.0.0, so that several soaks may run at once");
ABSL_FLAG(std::string, programs, "",
          "folder of gannethold-proxy and gannethold-controller; empty: where this program stands");

namespace gannethold::trial {
namespace {

constexpr std::size_t kBlocks = 8192;
constexpr Micros kTurn = 5'000;
constexpr Micros kWarmUp = 6'000'000;
constexpr Micros kGracePeriod = 6'000'000;  // the default of bounds.grace_period_s
constexpr Micros kRecoveryTime = 12'000'000;
constexpr Micros kCatchUpTime = 4'000'000;
constexpr Micros kMeasuredTime = 4'000'000;  // after the recovery
constexpr Micros kMinFaultInterval = 150'000;
constexpr Micros kMaxFaultInterval = 1'200'000;
constexpr Micros kMinDownTime = 100'000;
constexpr Micros kMaxDownTime = 1'500'000;
// In which a process may not have begun yet: until its first instruction a signal ends it, whatever it does.
constexpr Micros kStartTime = 1'000'000;
constexpr int kLeastServed = 4;  // one in so many, after the recovery

struct Process {
    std::string name;
    int index = 0;
    bool is_controller = false;
    bool runs = false;
    Micros terminated_at = 0;  // when it got SIGTERM; 0: it did not
    Micros restart_at = 0;     // 0: it runs
    Micros restarted_at = 0;
};

class Soak {
  public:
    explicit Soak(net::Loop& loop);

    // Returns the program's exit status.
    int report() const;

  private:
    enum class Phase { warm_up, faults, recovery, measured };

    void on_timer();
    void advance(Micros now);
    void inject_fault(Micros now);
    void disturb(Micros now, Process& process);
    void kill(Micros now, Process& process);
    void watch(Micros now, Process& process);
    void on_ended(Micros now, Process& process, int status);
    void start(Micros now, Process& process);
    bool may_lose_controller(Micros now) const;
    Micros draw(Micros low, Micros high) { return std::uniform_int_distribution(low, high)(random_); }
    void find(std::string finding) { findings_.push_back(std::move(finding)); }

    net::Loop& loop_;
    std::mt19937 random_;
    PlatformStandIn platform_;
    LoadGenerator load_;
    OperatorChanges operator_;
    SystemProcesses processes_;
    std::vector<Process> all_;
    net::Timer timer_;
    Phase phase_ = Phase::warm_up;
    Micros phase_ends_at_;
    Micros next_fault_at_ = 0;
    int faults_ = 0;
    Outcomes before_measured_;
    std::vector<std::string> findings_;
};

Soak::Soak(net::Loop& loop)
    : loop_(loop),
      random_(absl::GetFlag(FLAGS_seed)),
      platform_(loop),
      load_(loop, absl::GetFlag(FLAGS_proxies)),
      operator_(loop, absl::GetFlag(FLAGS_seed)),
      processes_(absl::GetFlag(FLAGS_programs), {}),
      timer_(loop, [this] { on_timer(); }),
      phase_ends_at_(net::Loop::now() + kWarmUp) {
    for (int index = 0; index < kControllers; ++index)
        all_.push_back({SystemProcesses::controller_name(index), index, true});
    for (int index = 0; index < absl::GetFlag(FLAGS_proxies); ++index)
        all_.push_back({SystemProcesses::proxy_name(index), index, false});
    for (Process& process : all_) start(0, process);
    timer_.set(net::Loop::now() + kTurn);
}

void Soak::on_timer() {
    const Micros now = net::Loop::now();
    platform_.tick(now);
    for (Process& process : all_) watch(now, process);
    if (phase_ != Phase::warm_up) {
        load_.send_at_rate(now, absl::GetFlag(FLAGS_rate));
        operator_.tick(now);
    }
    load_.tick(now);
    if (phase_ == Phase::faults && now >= next_fault_at_) inject_fault(now);
    if (now >= phase_ends_at_) advance(now);
    timer_.set(now + kTurn);
}

void Soak::advance(Micros now) {
    switch (phase_) {
        case Phase::warm_up:
            phase_ = Phase::faults;
            phase_ends_at_ = now + absl::GetFlag(FLAGS_seconds) * Micros{1'000'000};
            return;
        case Phase::faults:
            phase_ = Phase::recovery;
            for (Process& process : all_) kill(now, process);
            operator_.stop_changing();
            phase_ends_at_ = now + kMaxDownTime + kRecoveryTime;
            return;
        case Phase::recovery:
            phase_ = Phase::measured;
            before_measured_ = load_.outcomes();
            phase_ends_at_ = now + kMeasuredTime;
            return;
        case Phase::measured:
            loop_.stop();
            return;
    }
}

// ---- faults

void Soak::inject_fault(Micros now) {
    next_fault_at_ = now + draw(kMinFaultInterval, kMaxFaultInterval);
    ++faults_;
    const std::size_t series = random_() % 3 == 0 ? 1 + random_() % all_.size() : 1;
    const std::size_t first = random_() % all_.size();
    for (std::size_t n = 0; n < series; ++n) disturb(now, all_[(first + n) % all_.size()]);
}

void Soak::disturb(Micros now, Process& process) {
    if (!process.runs) return;
    if (random_() % 3 == 0) return processes_.send_signal(process.name, SIGHUP);
    if (process.is_controller && !may_lose_controller(now)) return;
    if (random_() % 2 == 0) return kill(now, process);
    processes_.send_signal(process.name, SIGTERM);
    if (process.terminated_at == 0) process.terminated_at = now;
}

// Of three controllers one may be lost at once, until it has caught up.
bool Soak::may_lose_controller(Micros now) const {
    for (const Process& process : all_) {
        const bool is_lost = !process.runs || process.terminated_at > 0 ||
                             (process.restarted_at > 0 && now < process.restarted_at + kCatchUpTime);
        if (process.is_controller && is_lost) return false;
    }
    return true;
}

void Soak::kill(Micros now, Process& process) {
    if (!process.runs) return;
    process.terminated_at = 0;
    processes_.send_signal(process.name, SIGKILL);
    process.restart_at = now + draw(kMinDownTime, kMaxDownTime);
}

void Soak::watch(Micros now, Process& process) {
    if (process.runs)
        if (const std::optional<int> status = processes_.take_exit_status(process.name))
            on_ended(now, process, *status);
    if (process.terminated_at > 0 && now > process.terminated_at + kGracePeriod) {
        find(process.name + " was still there at the end of its grace period");
        kill(now, process);
    }
    if (!process.runs && now >= process.restart_at) start(now, process);
}

void Soak::on_ended(Micros now, Process& process, int status) {
    process.runs = false;
    const int signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    const bool may_not_have_begun = now < process.restarted_at + kStartTime;
    const bool was_ended_at_start = may_not_have_begun && (signal == SIGTERM || signal == SIGHUP);
    const bool was_killed = signal == SIGKILL || was_ended_at_start;
    if (!was_killed && process.terminated_at == 0) find(process.name + " ended by itself");
    if (!was_killed && status != 0) find(process.name + " ended with wait status " + std::to_string(status));
    process.terminated_at = 0;
    process.restart_at = std::max(process.restart_at, now + kMinDownTime);
}

void Soak::start(Micros now, Process& process) {
    process.runs = true;
    process.restart_at = 0;
    process.restarted_at = now;
    if (process.is_controller)
        processes_.start_controller(process.index);
    else
        processes_.start_proxy(process.index);
}

// ---- findings

int Soak::report() const {
    std::vector<std::string> findings = findings_;
    const std::vector<std::string>& violations = operator_.violations();
    findings.insert(findings.end(), violations.begin(), violations.end());
    const Outcomes& end = load_.outcomes();
    const int served = end.on_time + end.late - before_measured_.on_time - before_measured_.late;
    const auto sent = static_cast<int>(end.sent - before_measured_.sent);
    if (served * kLeastServed < sent)
        findings.push_back("after the recovery " + std::to_string(served) + " of " + std::to_string(sent) +
                           " requests were served");
    if (operator_.has_pending()) findings.emplace_back("the last change has no acknowledgement");
    if (platform_.excess_runs() > 0) findings.emplace_back("requests ran more often than allowed");
    std::printf(
        "seed %u: %d faults, version %d acknowledged with %d added routes; of %zu requests %d in time, %d "
        "late, "
        "%d rejected, %d failed; after the recovery %d of %d served; %zu findings\n",
        absl::GetFlag(FLAGS_seed), faults_, operator_.acknowledged_version(), operator_.added_routes(),
        end.sent, end.on_time, end.late, end.rejected, end.failed, served, sent, findings.size());
    for (const std::string& finding : findings)
        std::printf("seed %u: %s\n", absl::GetFlag(FLAGS_seed), finding.c_str());
    return findings.empty() ? 0 : 1;
}

int run_soak() {
    set_network(absl::GetFlag(FLAGS_network));
    net::Loop loop(kBlocks);
    Soak soak(loop);
    loop.run([] {});
    return soak.report();
}

}  // namespace
}  // namespace gannethold::trial

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "gannethold-soak plays seeded faults on a whole system of real processes on loopback.");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    return gannethold::trial::run_soak();
}
