// The command line: serve, check, version.
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
constexpr int kUsage = 2;

// What the pool of buffers may take of the memory: the rest is for libevent, the module and the process.
std::size_t most_blocks(const dispatcher::Posting& posting) {
    return posting.memory_mb * 1024 * 1024 / 2 / net::BlockPool::kBlockBytes;
}

// What the platform says in the environment beside the configuration. Throws std::runtime_error with one
// line.
void apply_environment(dispatcher::Posting& posting) {
    if (const char* const at = std::getenv("RELAY_ADMIN"); at && *at && !posting.window) {
        posting.window = net::Address::parse(at);
        if (!posting.window) throw std::runtime_error(std::string("RELAY_ADMIN is no address: ") + at);
    }
    if (const char* const door = std::getenv("RELAY_ACCEPT_FD"); door && *door) {
        int descriptor = -1;
        const char* const end = door + std::strlen(door);
        if (const auto [read, wrong] = std::from_chars(door, end, descriptor);
            wrong != std::errc() || read != end || descriptor < 0)
            throw std::runtime_error(std::string("RELAY_ACCEPT_FD is no descriptor: ") + door);
        posting.inherited = descriptor;
        if (const char* const folder = std::getenv("TMPDIR"); folder && *folder) posting.heirloom = folder;
    }
}

void log_warnings(const OperatorSettings& settings, log::Log& log) {
    for (const std::string& warning : settings.warnings) log.warning(net::Loop::now(), warning);
}

// Like the platform's configuration: a file that cannot be read changes nothing.
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
    std::signal(SIGHUP, SIG_IGN);  // before it is ready and once it ends: a reload then has nothing to change
    const OperatorSettings settings = OperatorSettings::read_file(operators_path);
    log::Log log(std::cerr, level, settings.log_form);
    log_warnings(settings, log);
    dispatcher::Posting posting = dispatcher::Posting::read_file(path);
    apply_environment(posting);
    dispatcher::must_fit(posting, settings.tubes);
    net::Loop loop(most_blocks(posting));
    dispatcher::Extras extras;
    if (!settings.control.path.empty()) extras.desk = settings.control;
    extras.manners = settings.drain;
    extras.snapshot = settings.snapshot;
    extras.deduplication = settings.deduplication;
    extras.tubes = settings.tubes;
    extras.watched = settings.shadow.configuration;
    extras.watched_every = settings.shadow.sample_interval;
    extras.watched_most = settings.shadow.max_cpu_per_second;
    dispatcher::Dispatcher dispatcher(loop, posting, log, extras);
    const net::Signal end(loop, SIGTERM, [&] { dispatcher.leave(); });
    const net::Signal interrupt(loop, SIGINT, [&] { dispatcher.leave(); });
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
    const dispatcher::Posting posting = dispatcher::Posting::read_file(path);
    if (!settings.shadow.configuration.empty()) dispatcher::Posting::read_file(settings.shadow.configuration);
    if (!in_force.empty()) posting.must_state_all_of(dispatcher::Posting::read_file(in_force));
    if (!settings.tubes.listeners.empty()) {
        dispatcher::must_fit(posting, settings.tubes);
        SettingsMap all = posting.orders;
        beanstalk::add_workloads(all, settings.tubes.broker);
    }
    const BalancerSettings orders(posting.orders);
    std::cout << path << " can be served: " << posting.name << " on " << posting.listen.text
              << ", discovery at " << posting.discovery.text << ", " << posting.known.entries.size()
              << " runners known, " << orders.workloads << " workloads, " << orders.customers
              << " customers, " << posting.sockets << " sockets, " << posting.memory_mb << " MB\n";
    return 0;
}

}  // namespace

int main(int count, char** words) {
    // The system's programs stand beside this one: `gannethold counter`, `sorter`, `explain` and
    // `waiting` become them.
    if (count > 1)
        for (const char* const name : {"counter", "sorter", "explain", "waiting"})
            if (std::strcmp(words[1], name) == 0) {
                const std::string self(words[0]);
                const auto slash = self.rfind('/');
                const std::string other = (slash == std::string::npos ? "" : self.substr(0, slash + 1)) +
                                          "gannethold-" +
                                          (std::strcmp(name, "waiting") == 0 ? "explain" : name);
                std::vector<char*> with(words + 1, words + count);
                std::string only = "--what=waiting";
                if (std::strcmp(name, "waiting") == 0) with.push_back(only.data());
                with.push_back(nullptr);
                ::execvp(other.c_str(), with.data());
                std::cerr << other << " is not there: build with -DGANNETHOLD_SYSTEM=ON\n";
                return kUsage;
            }

    std::string command, operators_path, in_force,
        path = std::getenv("RELAY_CONFIG") ? std::getenv("RELAY_CONFIG") : "", level = "info";
    control::Command requested;
    options::options_description shown("Options");
    shown.add_options()("help,h", "say this")("configuration,c", options::value(&path),
                                              "the configuration, as JSON (default: $RELAY_CONFIG)")(
        "operator,o", options::value(&operators_path), "the operators' own file, as TOML (default: none)")(
        "in-force", options::value(&in_force),
        "check: refuse all that SIGHUP refuses where that file is in force")(
        "log-level,l", options::value(&level), "least level that is logged: debug, info, warning or error");
    options::options_description asked("To a running dispatcher");
    asked.add_options()("socket,s", options::value(&requested.socket),
                        "its control socket (default: control.socket of --operator)")(
        "json", options::bool_switch(&requested.json), "print what it said, one JSON object a line")(
        "deadline", options::value<double>(), "drain: by when all must be answered, in seconds from now")(
        "wait", options::bool_switch(&requested.wait), "drain: until it is drained")(
        "ticket", options::value<std::uint64_t>(), "drain, undrain: of the order that is to be changed")(
        "after", options::value<std::uint64_t>(), "follow: the last change that was seen")(
        "why", options::value(&requested.why), "hold: a word for whoever looks")(
        "by", options::value(&requested.by), "who asks, for whoever comes second");
    options::options_description all;
    all.add(shown).add(asked).add_options()("command", options::value(&command))(
        "argument", options::value(&requested.argument));
    options::positional_options_description places;
    std::string file;
    all.add_options()("file", options::value(&file));
    places.add("command", 1).add("argument", 1).add("file", 1);
    const auto explain = [&](std::ostream& out) -> std::ostream& {
        return out
               << "Usage: gannethold COMMAND [options]\n\n"
                  "  serve    take tasks and push them to runners, until SIGTERM; SIGHUP reloads\n"
                  "  check    read the configuration and say whether it can be served\n"
                  "  version  say the version\n\n"
                  "  status, runners, tasks, failures   what a running dispatcher holds\n"
                  "  drain    answer all that it has by a deadline, and take nothing after\n"
                  "  undrain  take that back\n"
                  "  hold RUNNER, release RUNNER        send nothing new there, and again\n"
                  "  kick JOB  let a job that may have run run again (gannethold status shows how many there "
                  "are)\n"
                  "  follow   what changes, as it changes\n"
                  "  snapshot show|verify FILE          what was saved for the next start, and how much of "
                  "it "
                  "counts now\n\n"
               << shown << '\n'
               << asked
               << "\nExit status of what is asked of a running dispatcher: 0 done, 2 wrong use, 3 refused, "
                  "4 nobody there,\n5 (drain --wait) the drain was undone, 130 interrupted.\n";
    };
    try {
        options::variables_map given;
        options::store(options::command_line_parser(count, words).options(all).positional(places).run(),
                       given);
        options::notify(given);
        if (given.contains("help")) return explain(std::cout), 0;
        const std::string levels[] = {"debug", "info", "warning", "error"};
        const auto found = std::find(std::begin(levels), std::end(levels), level);
        if (found == std::end(levels)) throw options::error("no such log level: " + level);
        if (command == "version") return std::cout << kVersion << '\n', 0;
        if (control::is_command(command)) {
            requested.name = command;
            if (given.contains("deadline")) requested.deadline_s = given["deadline"].as<double>();
            if (given.contains("ticket")) requested.ticket = given["ticket"].as<std::uint64_t>();
            if (given.contains("after")) requested.after = given["after"].as<std::uint64_t>();
            if (requested.socket.empty())
                requested.socket = OperatorSettings::read_file(operators_path).control.path;
            return control::run(requested);
        }
        if (command == "keepsake") {
            std::cerr << "gannethold: warning: keepsake is the old name of snapshot, and still works\n";
            command = "snapshot";
        }
        if (command == "snapshot") {
            if ((requested.argument != "show" && requested.argument != "verify") || file.empty())
                throw options::error("snapshot needs show or verify, and a file");
            return snapshot::print_snapshot(
                file,
                requested.argument == "verify" ? snapshot::PrintDetail::summary : snapshot::PrintDetail::full,
                OperatorSettings::read_file(operators_path).snapshot.decay, std::cout, std::cerr);
        }
        if (command != "serve" && command != "check")
            throw options::error(command.empty() ? "no command given" : "no such command: " + command);
        // The path may stand behind the command, without its name.
        if (!requested.argument.empty()) path = requested.argument;
        if (path.empty()) throw options::error("no configuration given, and RELAY_CONFIG is not set");
        if (command == "check") return check(path, operators_path, in_force);
        return serve(path, operators_path, static_cast<log::Level>(found - std::begin(levels)));
    } catch (const options::error& e) {
        std::cerr << "gannethold: " << e.what() << "\n\n";
        explain(std::cerr);
        return kUsage;
    } catch (const std::exception& e) {
        std::cerr << "gannethold: " << e.what() << '\n';
        return 1;
    }
}
