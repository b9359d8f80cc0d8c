// The command line: the sub-commands serve, check, version and snapshot, and those for a running dispatcher.
#include <boost/program_options.hpp>

#include <unistd.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string>
#include <vector>

#include "control/commands.hpp"
#include "dispatcher/dispatcher.hpp"
#include "operator_settings/operator_settings.hpp"
#include "snapshot/print_snapshot.hpp"
#include "balancer_settings.hpp"

namespace options = boost::program_options;
using namespace gannethold;
using operator_settings::OperatorSettings;

namespace {

constexpr const char* kVersion = "gannethold 0.5.0";
constexpr int kUsageError = 2;

// Half of the memory limit is for the buffer pool: the rest is for libevent, the Balancer and the process.
std::size_t max_blocks(const dispatcher::DispatcherConfig& config) {
    return config.memory_mb * 1024 * 1024 / 2 / net::BlockPool::kBlockBytes;
}

// Applies the environment variables that the platform sets in addition to the configuration. Throws
// std::runtime_error with one line.
void apply_environment(dispatcher::DispatcherConfig& config) {
    if (const char* const at = std::getenv("RELAY_ADMIN"); at && *at && !config.admin_address) {
        config.admin_address = net::Address::parse(at);
        if (!config.admin_address) throw std::runtime_error(std::string("RELAY_ADMIN is no address: ") + at);
    }
    if (const char* const descriptor_text = std::getenv("RELAY_ACCEPT_FD");
        descriptor_text && *descriptor_text) {
        int descriptor = -1;
        const char* const end = descriptor_text + std::strlen(descriptor_text);
        if (const auto [read, wrong] = std::from_chars(descriptor_text, end, descriptor);
            wrong != std::errc() || read != end || descriptor < 0)
            throw std::runtime_error(std::string("RELAY_ACCEPT_FD is no descriptor: ") + descriptor_text);
        config.inherited_listener = descriptor;
        if (const char* const folder = std::getenv("TMPDIR"); folder && *folder)
            config.handover_folder = folder;
    }
}

void log_warnings(const OperatorSettings& settings, log::Log& log) {
    for (const std::string& warning : settings.warnings) log.warning(net::Loop::now(), warning);
}

// As with the platform's configuration, a file that cannot be read changes nothing.
void reload_operator_settings(const std::string& path, log::Log& log) {
    try {
        const OperatorSettings settings = OperatorSettings::read_file(path);
        log.set_format(settings.log_form);
        log_warnings(settings, log);
    } catch (const std::exception& e) {
        log.warning(net::Loop::now(), "reload: ", e.what(), "; the old operators' file stays");
    }
}

int serve(const std::string& path, const std::string& operators_path, log::Level level) {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);  // until the handler below is set, and after it is removed
    const OperatorSettings settings = OperatorSettings::read_file(operators_path);
    log::Log log(std::cerr, level, settings.log_form);
    log_warnings(settings, log);
    dispatcher::DispatcherConfig config = dispatcher::DispatcherConfig::read_file(path);
    apply_environment(config);
    dispatcher::check_descriptor_limit(config, settings.tubes);
    net::Loop loop(max_blocks(config));
    dispatcher::DispatcherOptions dispatcher_options;
    if (!settings.control.path.empty()) dispatcher_options.control_socket = settings.control;
    dispatcher_options.drain = settings.drain;
    dispatcher_options.snapshot = settings.snapshot;
    dispatcher_options.deduplication = settings.deduplication;
    dispatcher_options.tubes = settings.tubes;
    dispatcher_options.shadow_configuration = settings.shadow.configuration;
    dispatcher_options.shadow_sample_interval = settings.shadow.sample_interval;
    dispatcher_options.max_shadow_cpu_per_second = settings.shadow.max_cpu_per_second;
    dispatcher::Dispatcher dispatcher(loop, config, log, dispatcher_options);
    const net::Signal end(loop, SIGTERM, [&] { dispatcher.shut_down(); });
    const net::Signal interrupt(loop, SIGINT, [&] { dispatcher.shut_down(); });
    const net::Signal reload(loop, SIGHUP, [&] {
        dispatcher.reload(path);
        reload_operator_settings(operators_path, log);
    });
    dispatcher.run();
    return 0;
}

int check(const std::string& path, const std::string& operators_path, const std::string& in_force) {
    OperatorSettings settings = OperatorSettings::read_file(operators_path);
    for (const std::string& warning : settings.warnings)
        std::cerr << "gannethold: warning: " << warning << '\n';
    const dispatcher::DispatcherConfig config = dispatcher::DispatcherConfig::read_file(path);
    if (!settings.shadow.configuration.empty())
        dispatcher::DispatcherConfig::read_file(settings.shadow.configuration);
    if (!in_force.empty()) config.check_states_all_of(dispatcher::DispatcherConfig::read_file(in_force));
    if (!settings.tubes.listeners.empty()) {
        dispatcher::check_descriptor_limit(config, settings.tubes);
        SettingsMap all = config.settings;
        beanstalk::add_workloads(all, settings.tubes.broker);
    }
    const BalancerSettings balancer_settings(config.settings);
    std::cout << path << " can be served: " << config.name << " on " << config.listen.text
              << ", discovery at " << config.discovery.text << ", " << config.known_runners.entries.size()
              << " runners known, " << balancer_settings.workloads << " workloads, "
              << balancer_settings.customers << " customers, " << config.sockets << " sockets, "
              << config.memory_mb << " MB\n";
    return 0;
}

}  // namespace

int main(int argument_count, char** arguments) {
    // The system's programs are installed in the same folder: the sub-commands counter, sorter, explain and
    // waiting execute them.
    if (argument_count > 1)
        for (const char* const name : {"counter", "sorter", "explain", "waiting"})
            if (std::strcmp(arguments[1], name) == 0) {
                const std::string own_path(arguments[0]);
                const auto last_slash = own_path.rfind('/');
                const std::string other =
                    (last_slash == std::string::npos ? "" : own_path.substr(0, last_slash + 1)) +
                    "gannethold-" + (std::strcmp(name, "waiting") == 0 ? "explain" : name);
                std::vector<char*> program_arguments(arguments + 1, arguments + argument_count);
                std::string what_option = "--what=waiting";
                if (std::strcmp(name, "waiting") == 0) program_arguments.push_back(what_option.data());
                program_arguments.push_back(nullptr);
                ::execvp(other.c_str(), program_arguments.data());
                std::cerr << other << " is not there: build with -DGANNETHOLD_SYSTEM=ON\n";
                return kUsageError;
            }

    std::string command, operators_path, in_force,
        path = std::getenv("RELAY_CONFIG") ? std::getenv("RELAY_CONFIG") : "", level = "info";
    control::Command request;
    options::options_description general_options("Options");
    general_options.add_options()("help,h", "print this text")(
        "configuration,c", options::value(&path), "the configuration, as JSON (default: $RELAY_CONFIG)")(
        "operator,o", options::value(&operators_path), "the operators' own file, as TOML (default: none)")(
        "in-force", options::value(&in_force),
        "check: also refuse what a reload refuses if this file is in force")(
        "log-level,l", options::value(&level), "lowest level that is logged: debug, info, warning or error");
    options::options_description control_options("To a running dispatcher");
    control_options.add_options()("socket,s", options::value(&request.socket),
                                  "its control socket (default: control.socket of --operator)")(
        "json", options::bool_switch(&request.json), "print its answers as JSON, one object per line")(
        "deadline", options::value<double>(), "drain: the time until all tasks must be answered, in seconds")(
        "wait", options::bool_switch(&request.wait), "drain: wait until it has drained")(
        "ticket", options::value<std::uint64_t>(), "drain, undrain: the ticket of the request to change")(
        "after", options::value<std::uint64_t>(), "follow: the number of the last change seen")(
        "why", options::value(&request.why), "hold: the reason, shown to other operators")(
        "by", options::value(&request.by), "the operator's name, shown to other operators");
    options::options_description all;
    all.add(general_options)
        .add(control_options)
        .add_options()("command", options::value(&command))("argument", options::value(&request.argument));
    options::positional_options_description positional;
    std::string file;
    all.add_options()("file", options::value(&file));
    positional.add("command", 1).add("argument", 1).add("file", 1);
    const auto print_usage = [&](std::ostream& out) -> std::ostream& {
        return out
               << "Usage: gannethold COMMAND [options]\n\n"
                  "  serve    take tasks and push them to runners, until SIGTERM; SIGHUP reloads\n"
                  "  check    read the configuration and print whether it can be served\n"
                  "  version  print the version\n\n"
                  "  status, runners, tasks, failures   the state of a running dispatcher\n"
                  "  drain    answer all tasks by a deadline, and accept no new ones\n"
                  "  undrain  cancel the drain\n"
                  "  hold RUNNER, release RUNNER        send no new tasks there; send them again\n"
                  "  kick JOB  allow a job that may have run to run again (gannethold status shows how many "
                  "there are)\n"
                  "  follow   print changes as they happen\n"
                  "  snapshot show|verify FILE          the state saved for the next start, and the weight "
                  "that it has now\n\n"
               << general_options << '\n'
               << control_options
               << "\nExit status of requests to a running dispatcher: 0 done, 2 wrong use, 3 refused, "
                  "4 not reachable,\n5 (drain --wait) the drain was cancelled, 130 interrupted.\n";
    };
    try {
        options::variables_map variables;
        options::store(
            options::command_line_parser(argument_count, arguments).options(all).positional(positional).run(),
            variables);
        options::notify(variables);
        if (variables.contains("help")) return print_usage(std::cout), 0;
        const std::string level_names[] = {"debug", "info", "warning", "error"};
        const auto level_name = std::find(std::begin(level_names), std::end(level_names), level);
        if (level_name == std::end(level_names)) throw options::error("no such log level: " + level);
        if (command == "version") return std::cout << kVersion << '\n', 0;
        if (control::is_command(command)) {
            request.name = command;
            if (variables.contains("deadline")) request.deadline_s = variables["deadline"].as<double>();
            if (variables.contains("ticket")) request.ticket = variables["ticket"].as<std::uint64_t>();
            if (variables.contains("after")) request.after = variables["after"].as<std::uint64_t>();
            if (request.socket.empty())
                request.socket = OperatorSettings::read_file(operators_path).control.path;
            return control::run(request);
        }
        if (command == "keepsake") {
            std::cerr << "gannethold: warning: keepsake is the old name of snapshot, and still works\n";
            command = "snapshot";
        }
        if (command == "snapshot") {
            if ((request.argument != "show" && request.argument != "verify") || file.empty())
                throw options::error("snapshot needs show or verify, and a file");
            return snapshot::print_snapshot(
                file,
                request.argument == "verify" ? snapshot::PrintDetail::summary : snapshot::PrintDetail::full,
                OperatorSettings::read_file(operators_path).snapshot.decay, std::cout, std::cerr);
        }
        if (command != "serve" && command != "check")
            throw options::error(command.empty() ? "no command given" : "no such command: " + command);
        // The configuration may also be given as a positional argument after the command.
        if (!request.argument.empty()) path = request.argument;
        if (path.empty()) throw options::error("no configuration given, and RELAY_CONFIG is not set");
        if (command == "check") return check(path, operators_path, in_force);
        return serve(path, operators_path, static_cast<log::Level>(level_name - std::begin(level_names)));
    } catch (const options::error& e) {
        std::cerr << "gannethold: " << e.what() << "\n\n";
        print_usage(std::cerr);
        return kUsageError;
    } catch (const std::exception& e) {
        std::cerr << "gannethold: " << e.what() << '\n';
        return 1;
    }
}
