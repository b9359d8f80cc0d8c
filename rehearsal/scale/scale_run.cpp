// gannethold-scale-run: real controllers and some real proxies as processes on loopback, beside many hollow
// proxies that speak the real protocol and a stand-in of the platform with hollow instances. Measures what
// each part costs at a size, and how long service takes to come back after faults.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "scale/options.hpp"
#include "scale/report.hpp"
#include "scale/run.hpp"

ABSL_FLAG(int, controllers, 3, "processes of gannethold-controller (1 to 7)");
ABSL_FLAG(int, proxies, 30, "hollow proxies, each with a session of its own (1 to 4000)");
ABSL_FLAG(int, real_proxies, 1, "processes of gannethold-proxy (0 to 20)");
ABSL_FLAG(int, threads, 2, "threads of this program that the hollow proxies are spread over (1 to 6)");
ABSL_FLAG(int, functions, 1000, "functions, each with one route (1 to 100000)");
ABSL_FLAG(int, instances, 7000, "hollow instances on the platform's list as the run begins");
ABSL_FLAG(int, workers, 64, "machines that the platform has for instances");
ABSL_FLAG(int, zones, 8, "zones that controllers, proxies and workers are spread over");
ABSL_FLAG(double, calls, 100, "calls a second, of all hollow proxies together");
ABSL_FLAG(double, real_calls, 5, "requests a second over HTTP, to all real proxies together");
ABSL_FLAG(double, changes, 12, "changes of the configuration a minute; 0: none");
ABSL_FLAG(double, skew, 1.0, "exponent of Zipf's law for calls over functions; 0: all alike");
ABSL_FLAG(int, seconds, 20, "length of the steady part, before the faults (1 to 600)");
ABSL_FLAG(std::string, faults, "", "faults after it, in their order: leader, all, reconnect, zone");
ABSL_FLAG(int, list_page, 1000, "instances on a page of the platform's list");
ABSL_FLAG(double, list_rate, 25, "pages of the list a second that the platform allows");
ABSL_FLAG(double, duty_rate, 100, "starts and stops a second that the platform allows");
ABSL_FLAG(int, start_ms, 1100, "how long an instance takes to start");
ABSL_FLAG(int, work_ms, 80, "how long a call is at work");
ABSL_FLAG(int, target_ms, 1500, "target latency of each route; under 1.3 starts a function is kept warm");
ABSL_FLAG(int, redial_ms, 60, "a hollow proxy's pause between two tries to reach a controller");
ABSL_FLAG(int, redial_most_ms, 60, "the pause doubles up to so much, with jitter; as --redial_ms: never");
ABSL_FLAG(int, register_recent_s, 0,
          "a hollow proxy registers with instances of functions that it called in so many seconds; 0: with "
          "all that it knows, as the real one does");
ABSL_FLAG(int, memory_mb, 256, "memory limit that controllers and proxies are told in their settings");
ABSL_FLAG(int, subnet, 9, "addresses are 127.SUBNET.x.y: two runs at once need two");
ABSL_FLAG(std::string, programs, "", "folder of the system's programs; empty: where this one stands");
ABSL_FLAG(bool, check, false, "end with 1 unless all proxies are registered again after each fault");
ABSL_FLAG(std::string, json, "", "file for the measurements; empty: none");
ABSL_FLAG(std::string, svg, "", "file for the plot; empty: none");

namespace {

using namespace gannethold;

constexpr int kNotRecovered = 1, kBadArguments = 2, kStoppedEarly = 3;
constexpr std::size_t kBlocks = 65'536;  // of 8 KB, for what is not yet written
constexpr rlim_t kDescriptors = 8192;

int complain(const std::string& why) {
    std::fprintf(stderr, "gannethold-scale-run: %s\n", why.c_str());
    return kBadArguments;
}

scale::Options options_from_flags(std::string& wrong) {
    scale::Options options;
    options.controllers = absl::GetFlag(FLAGS_controllers);
    options.proxies = absl::GetFlag(FLAGS_proxies);
    options.real_proxies = absl::GetFlag(FLAGS_real_proxies);
    options.threads = absl::GetFlag(FLAGS_threads);
    options.functions = absl::GetFlag(FLAGS_functions);
    options.instances = absl::GetFlag(FLAGS_instances);
    options.workers = absl::GetFlag(FLAGS_workers);
    options.zones = absl::GetFlag(FLAGS_zones);
    options.calls = absl::GetFlag(FLAGS_calls);
    options.real_calls = absl::GetFlag(FLAGS_real_calls);
    options.changes = absl::GetFlag(FLAGS_changes);
    options.skew = absl::GetFlag(FLAGS_skew);
    options.seconds = absl::GetFlag(FLAGS_seconds);
    options.list_page = absl::GetFlag(FLAGS_list_page);
    options.list_rate = absl::GetFlag(FLAGS_list_rate);
    options.duty_rate = absl::GetFlag(FLAGS_duty_rate);
    options.start_ms = absl::GetFlag(FLAGS_start_ms);
    options.work_ms = absl::GetFlag(FLAGS_work_ms);
    options.target_ms = absl::GetFlag(FLAGS_target_ms);
    options.redial_ms = absl::GetFlag(FLAGS_redial_ms);
    options.redial_most_ms = absl::GetFlag(FLAGS_redial_most_ms);
    options.register_recent_s = absl::GetFlag(FLAGS_register_recent_s);
    options.memory_mb = absl::GetFlag(FLAGS_memory_mb);
    options.subnet = absl::GetFlag(FLAGS_subnet);
    std::string unknown;
    options.faults = scale::read_faults(absl::GetFlag(FLAGS_faults), unknown);
    if (!unknown.empty()) wrong = "--faults has a word that is not known: " + unknown;
    if (const auto fault = scale::wrong_with(options); fault && wrong.empty()) wrong = *fault;
    return options;
}

// Room for the sessions, here and in the children.
void raise_descriptors() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, kDescriptors));
    setrlimit(RLIMIT_NOFILE, &limit);
}

void write_file(const std::string& path, const std::string& text) {
    if (path.empty()) return;
    std::ofstream out(path);
    out << text;
    if (!out.flush()) throw std::runtime_error("cannot write " + path);
}

int play(const scale::Options& options, const std::string& programs) {
    net::Loop loop(kBlocks);
    scale::Measurements measured;
    {
        scale::Run run(loop, options, programs);
        measured = run.measure();
    }
    std::printf("%s", scale::text_report(measured).c_str());
    write_file(absl::GetFlag(FLAGS_json), scale::json_report(measured));
    write_file(absl::GetFlag(FLAGS_svg), scale::svg_report(measured));
    const auto fault = scale::not_recovered(measured);
    if (absl::GetFlag(FLAGS_check) && fault) {
        std::fprintf(stderr, "gannethold-scale-run: %s\n", fault->c_str());
        return kNotRecovered;
    }
    return measured.stopped_early.empty() && measured.ended_by_themselves.empty() ? 0 : kStoppedEarly;
}

}  // namespace

int main(int argc, char** argv) {
    absl::FlagsUsageConfig usage;
    usage.contains_help_flags = [](absl::string_view file) { return absl::EndsWith(file, "scale_run.cpp"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage(
        "gannethold-scale-run measures a system on loopback at a given size.\n"
        "Ends with 0; with 1 if --check is given and fails; with 2 if an argument is wrong; with 3 if the "
        "run could not be played to its end.");
    const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1) return complain(std::string("not understood: ") + rest[1]);
    std::string wrong;
    const scale::Options options = options_from_flags(wrong);
    if (!wrong.empty()) return complain(wrong);
    std::string programs = absl::GetFlag(FLAGS_programs);
    if (programs.empty()) programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    if (!std::filesystem::exists(programs + "/gannethold-controller"))
        return complain("--programs: no gannethold-controller in " + programs);
    ::signal(SIGPIPE, SIG_IGN);
    raise_descriptors();
    try {
        return play(options, programs);
    } catch (const std::runtime_error& fault) {
        std::fprintf(stderr, "gannethold-scale-run: %s\n", fault.what());
        return kStoppedEarly;
    }
}
