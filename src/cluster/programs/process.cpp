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

ABSL_FLAG(std::string, settings, "",
          "path of the settings file (lines a.b=value); empty: what GANNETHOLD_CONFIG names");
ABSL_FLAG(std::string, log_level, "warning",
          "least level of the events that are logged: debug, info, warning or error");

namespace gannethold::cluster {
namespace {

std::string path() {
    if (std::string given = absl::GetFlag(FLAGS_settings); !given.empty()) return given;
    const char* const named = std::getenv("GANNETHOLD_CONFIG");
    return named ? named : "/etc/gannethold/settings.conf";
}

std::string text_of(const std::string& file) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

[[noreturn]] void end(const std::string& why) {
    std::fprintf(stderr, "%s\n", why.c_str());
    std::exit(2);
}

}  // namespace

Settings begin_process(int argc, char** argv, const char* usage) {
    absl::SetProgramUsageMessage(usage);
    const auto rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1) end(std::string("not understood: ") + rest[1]);
    if (!open_log(absl::GetFlag(FLAGS_log_level))) end("--log_level is none of debug, info, warning, error");
    std::signal(SIGPIPE, SIG_IGN);
    return leaf::try_handle_all([] { return Settings::read(path()); },
                                [](ErrorCode code, const ErrorDetail& detail) -> Settings {
                                    end(std::string(error_response(code).name) + ": " + detail.text);
                                },
                                []() -> Settings { end("settings can not be read"); });
}

SettingsWatch::SettingsWatch(net::Loop& loop, std::function<void(const Settings&)> changed)
    : changed_(std::move(changed)), text_(text_of(path())), hup_(loop, SIGHUP, [this] { look(true); }) {}

void SettingsWatch::look(bool told) {
    std::string text = text_of(path());
    if (text == text_) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, Settings::parse(text));
            text_ = std::move(text);
            Event("settings_read").with("told", told);
            changed_(settings);
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            if (told)
                Event("settings_kept", Level::warning)
                    .with("error", error_response(code).name)
                    .with("detail", detail.text);
        },
        [] {});
}

void end_process() {
    std::fflush(nullptr);
    std::_Exit(0);
}

net::Address address_or_end(const std::string& text, const char* key) {
    auto address = net::Address::read(text);
    if (!address) end(std::string("settings_invalid: ") + key + " is no ip:port: " + text);
    return *address;
}

std::size_t blocks_for(const Settings& settings) {
    return static_cast<std::size_t>(settings.memory_limit_mb) * 1024 / 8 /
           4;  // a quarter of the memory, in blocks of 8 KB
}

}  // namespace gannethold::cluster
