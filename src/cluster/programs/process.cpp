#include "cluster/programs/process.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "cluster/base/events.hpp"
#include "cluster/base/mechanisms.hpp"

ABSL_FLAG(std::string, settings, "",
          "path of the settings file (lines a.b=value); empty: the value of GANNETHOLD_CONFIG");
ABSL_FLAG(std::string, log_level, "warning", "minimum level of logged events: debug, info, warning or error");

#ifdef GANNETHOLD_MEASURING
ABSL_FLAG(std::string, without, "", "comma-separated mechanisms to switch off (base/mechanisms.hpp)");
#endif

namespace gannethold::cluster {
namespace {

std::string settings_path() {
    if (std::string from_flag = absl::GetFlag(FLAGS_settings); !from_flag.empty()) return from_flag;
    const char* const from_environment = std::getenv("GANNETHOLD_CONFIG");
    return from_environment ? from_environment : "/etc/gannethold/settings.conf";
}

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

[[noreturn]] void exit_with_error(const std::string& message) {
    std::fprintf(stderr, "%s\n", message.c_str());
    std::exit(2);
}

}  // namespace

Settings initialize_process(int argc, char** argv, const char* usage) {
    absl::SetProgramUsageMessage(usage);
    const auto positional = absl::ParseCommandLine(argc, argv);
    if (positional.size() > 1) exit_with_error(std::string("unexpected argument: ") + positional[1]);
    if (!open_log(absl::GetFlag(FLAGS_log_level)))
        exit_with_error("--log_level is not one of debug, info, warning, error");
#ifdef GANNETHOLD_MEASURING
    if (!switch_off(absl::GetFlag(FLAGS_without))) exit_with_error("--without names an unknown mechanism");
#endif
    std::signal(SIGPIPE, SIG_IGN);
    return leaf::try_handle_all(
        [] { return Settings::read(settings_path()); },
        [](ErrorCode code, const ErrorDetail& detail) -> Settings {
            exit_with_error(std::string(error_response(code).name) + ": " + detail.text);
        },
        []() -> Settings { exit_with_error("the settings cannot be read"); });
}

SettingsWatcher::SettingsWatcher(net::Loop& loop, std::function<void(const Settings&)> on_changed)
    : on_changed_(std::move(on_changed)),
      text_(read_file(settings_path())),
      hangup_(loop, SIGHUP, [this] { reload(Trigger::signal); }) {}

void SettingsWatcher::reload(Trigger trigger) {
    std::string text = read_file(settings_path());
    if (text == text_) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, Settings::parse(text));
            text_ = std::move(text);
            Event("settings_reloaded").with("by_signal", trigger == Trigger::signal);
            on_changed_(settings);
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            // No warning for a poll: the file may be in the middle of a write, and the next poll reads it
            // again.
            if (trigger == Trigger::signal)
                Event("settings_rejected", Level::warning)
                    .with("error", error_response(code).name)
                    .with("detail", detail.text);
        },
        [] {});
}

ShutdownSignals::ShutdownSignals(net::Loop& loop, std::function<void()> on_shutdown)
    : on_shutdown_(std::move(on_shutdown)),
      terminate_(loop, SIGTERM, [this] { on_signal(); }),
      interrupt_(loop, SIGINT, [this] { on_signal(); }) {}

void ShutdownSignals::on_signal() {
    if (received_) return;
    received_ = true;
    on_shutdown_();
}

StartupSignalGuard::StartupSignalGuard() {
    sigemptyset(&blocked_signals_);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&blocked_signals_, number);
    sigprocmask(SIG_BLOCK, &blocked_signals_, nullptr);
}

void StartupSignalGuard::unblock() const { sigprocmask(SIG_UNBLOCK, &blocked_signals_, nullptr); }

net::Address address_or_exit(const std::string& text, const char* key) {
    auto address = net::Address::parse(text);
    if (!address)
        exit_with_error(std::string("settings_invalid: ") + key + " is not an ip:port address: " + text);
    return *address;
}

std::size_t blocks_for(const Settings& settings) {
    constexpr std::size_t kBlockKb = 8;
    constexpr std::size_t kMemoryDivisor = 4;
    return static_cast<std::size_t>(settings.memory_limit_mb) * 1024 / kBlockKb / kMemoryDivisor;
}

}  // namespace gannethold::cluster
