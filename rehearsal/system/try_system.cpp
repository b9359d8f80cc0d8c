// gannethold-try-system: three controllers, three proxies and this project's own stand-in of a platform on
// loopback; a minute of load with a burst and a killed controller. Prints what was answered in time, late,
// rejected and failed, and runners against load over time (text, and SVG to a file).
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <vector>

#include "net/loop.hpp"
#include "load_generator.hpp"
#include "platform_stand_in.hpp"
#include "system_processes.hpp"
#include "trial_report.hpp"
#include "trial_site.hpp"

ABSL_FLAG(int, seconds, 60, "seconds of load");
ABSL_FLAG(double, rate, 60,
          "requests a second outside the burst; the burst is three times that, for a sixth of the time");
ABSL_FLAG(std::string, programs, "",
          "folder of gannethold-proxy and gannethold-controller; empty: where this program stands");
ABSL_FLAG(std::string, svg, "system.svg", "file for the plot; empty: none");
ABSL_FLAG(std::string, folder, "", "folder for settings and disks; empty: a new one, removed at the end");

namespace gannethold::trial {
namespace {

constexpr std::size_t kBlocks = 4096;
constexpr Micros kWarmUp = 6'000'000;
constexpr Micros kFirstTurn = 20'000;
constexpr Micros kTurn = 5'000;
constexpr Micros kControllerDownTime = 3'000'000;
constexpr double kSecondsAfterLoad = 5;
constexpr double kBurstFactor = 3;
constexpr int kKilledController = 0;

// The course of a trial: when there is how much load, and when a controller is killed and started again.
class Trial {
  public:
    explicit Trial(net::Loop& loop);

    TrialResult result() const;

  private:
    void on_timer();
    void apply_load(Micros now, double second);
    void kill_controller(Micros now, double second);

    net::Loop& loop_;
    PlatformStandIn platform_;
    LoadGenerator load_;
    SystemProcesses processes_;
    net::Timer timer_;
    const double seconds_of_load_ = absl::GetFlag(FLAGS_seconds);
    std::vector<Sample> samples_;
    std::size_t sent_before_sample_ = 0;
    Micros load_begins_at_ = 0;
    Micros restart_controller_at_ = 0;  // 0: it runs
    bool controller_was_killed_ = false;
};

Trial::Trial(net::Loop& loop)
    : loop_(loop),
      platform_(loop),
      load_(loop),
      processes_(absl::GetFlag(FLAGS_programs), absl::GetFlag(FLAGS_folder)),
      timer_(loop, [this] { on_timer(); }) {
    load_begins_at_ = net::Loop::now() + kWarmUp;
    for (int index = 0; index < kControllers; ++index) processes_.start_controller(index);
    for (int index = 0; index < kProxies; ++index) processes_.start_proxy(index);
    timer_.set(net::Loop::now() + kFirstTurn);
    std::printf("three controllers and three proxies on loopback; load begins in 6 s, for %d s\n",
                absl::GetFlag(FLAGS_seconds));
    std::fflush(stdout);
}

void Trial::on_timer() {
    const Micros now = net::Loop::now();
    platform_.tick(now);
    const double second = static_cast<double>(now - load_begins_at_) / 1e6;
    if (second >= 0 && second < seconds_of_load_) apply_load(now, second);
    if (restart_controller_at_ > 0 && now >= restart_controller_at_) {
        restart_controller_at_ = 0;
        processes_.start_controller(kKilledController);
    }
    load_.tick(now);
    if (second > seconds_of_load_ + kSecondsAfterLoad) return loop_.stop();
    timer_.set(now + kTurn);
}

void Trial::apply_load(Micros now, double second) {
    const bool is_burst = second > seconds_of_load_ / 3 && second < seconds_of_load_ / 2;
    load_.send_at_rate(now, absl::GetFlag(FLAGS_rate) * (is_burst ? kBurstFactor : 1));
    if (samples_.size() <= static_cast<std::size_t>(second)) {
        samples_.resize(static_cast<std::size_t>(second) + 1);
        const std::size_t sent = load_.outcomes().sent;
        samples_.back() = {static_cast<int>(sent - sent_before_sample_), platform_.running()};
        sent_before_sample_ = sent;
    }
    if (second > seconds_of_load_ * 2 / 3 && !controller_was_killed_) kill_controller(now, second);
}

void Trial::kill_controller(Micros now, double second) {
    controller_was_killed_ = true;
    std::printf("second %.0f: controller core-%d is killed\n", second, kKilledController);
    processes_.kill_controller(kKilledController);
    restart_controller_at_ = now + kControllerDownTime;
}

TrialResult Trial::result() const {
    TrialResult result;
    result.outcomes = load_.outcomes();
    result.starts = platform_.starts();
    result.stops = platform_.stops();
    result.rejected_by_runners = platform_.rejected();
    result.excess_runs = platform_.excess_runs();
    result.samples = samples_;
    return result;
}

// Returns the program's exit status.
int run_trial() {
    net::Loop loop(kBlocks);
    Trial trial(loop);
    loop.run([] {});
    const TrialResult result = trial.result();
    print_report(result);
    if (const std::string file = absl::GetFlag(FLAGS_svg); !file.empty()) write_plot(result, file);
    return result.is_success() ? 0 : 1;
}

}  // namespace
}  // namespace gannethold::trial

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "gannethold-try-system plays a minute of load on a whole system on loopback.");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    return gannethold::trial::run_trial();
}
