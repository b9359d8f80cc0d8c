#include "control/commands.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <iterator>

#include <unistd.h>

#include "control/control_client.hpp"
#include "control/control_server.hpp"
#include "control/tables.hpp"

namespace gannethold::control {
namespace {

constexpr const char* kCommands[] = {"status",  "runners", "tasks",   "failures", "drain",
                                     "undrain", "hold",    "release", "kick",     "follow"};
constexpr int kPollIntervalMicros = 200'000;
constexpr int kBarWidth = 30;

volatile std::sig_atomic_t interrupted = 0;

json::Value number(double n) {
    char text[40];
    std::snprintf(text, sizeof text, "%.6f", n);
    return json::Value(json::Number{text});
}

json::Object make_request(const Command& command) {
    json::Object request;
    request["do"] = json::Value(command.name);
    if (!command.by.empty()) request["by"] = json::Value(command.by);
    if (!command.why.empty()) request["why"] = json::Value(command.why);
    if (command.deadline_s) request["deadline_s"] = number(*command.deadline_s);
    if (command.ticket) request["ticket"] = json::Value(json::Number{std::to_string(*command.ticket)});
    if (command.after) request["after"] = json::Value(json::Number{std::to_string(*command.after)});
    if (command.name == "kick") request["job"] = json::Value(json::Number{command.argument});
    if (command.name == "hold" || command.name == "release")
        request["runner"] = json::Value(command.argument);
    return request;
}

// Waits until the dispatcher has drained. The drain itself goes on if this command is interrupted.
int wait_for_drain(ControlClient& client, bool json) {
    const bool terminal = isatty(STDOUT_FILENO) && !json;
    double max_left = 1;
    for (;;) {
        const json::Value status = client.call({{"do", json::Value(std::string("status"))}});
        const json::Value* const drain = status.find("drain");
        const std::string* const phase = drain ? drain->find_string("phase") : nullptr;
        if (!phase) throw ConnectionError("the dispatcher says nothing of its drain");
        const double left = drain->find_number("tasks_left").value_or(0);
        max_left = std::max(max_left, left);
        const bool is_over = *phase == "drained" || *phase == "serving";
        if (terminal) {
            const int full = static_cast<int>(kBarWidth * (1 - left / max_left));
            std::string line = "[" + std::string(static_cast<std::size_t>(full), '#') +
                               std::string(static_cast<std::size_t>(kBarWidth - full), '.') + "] " +
                               drain_line(*drain);
            std::cout << '\r' << line.substr(0, terminal_width() - 1) << "\033[K" << std::flush;
        }
        if (is_over || interrupted) {
            if (terminal) std::cout << '\n';
            if (json)
                std::cout << json::serialize(*drain) << '\n';
            else if (!terminal)
                std::cout << drain_line(*drain) << '\n';
            if (interrupted && !is_over)
                std::cerr << "gannethold: no longer waiting; the drain goes on (gannethold undrain takes it "
                             "back)\n";
            return *phase == "drained" ? kDone : is_over ? kUndone : kInterrupted;
        }
        usleep(kPollIntervalMicros);
    }
}

int follow(ControlClient& client, const Command& command) {
    const json::Value answer = client.call(make_request(command));
    const json::Value* const missed = answer.find("missed");
    const bool is_all_missed = missed && missed->get<bool>() && *missed->get<bool>();
    const double missed_count = answer.find_number("missed").value_or(0);
    if (command.json)
        std::cout << json::serialize(answer) << '\n' << std::flush;
    else if (is_all_missed)
        std::cout << "(another dispatcher's sequence: what was before is not known here)\n" << std::flush;
    else if (missed_count > 0)
        std::cout << "(" << static_cast<long long>(missed_count) << " changes were missed)\n" << std::flush;
    while (!interrupted) {
        const auto change = client.next(500);
        if (change)
            std::cout << (command.json ? json::serialize(*change) : change_line(*change)) << '\n'
                      << std::flush;
    }
    return kDone;
}

}  // namespace

bool is_command(const std::string& name) {
    return std::find(std::begin(kCommands), std::end(kCommands), name) != std::end(kCommands);
}

int run(const Command& command) {
    const auto on_signal = [](int) { interrupted = 1; };
    std::signal(SIGINT, on_signal);
    std::signal(SIGTERM, on_signal);
    try {
        if ((command.name == "hold" || command.name == "release") && command.argument.empty()) {
            std::cerr << "gannethold: " << command.name
                      << " needs the name of a runner (gannethold runners shows them)\n";
            return kUsage;
        }
        if (command.name == "kick" && (command.argument.empty() || command.argument.find_first_not_of(
                                                                       "0123456789") != std::string::npos)) {
            std::cerr << "gannethold: kick needs the number of a job\n";
            return kUsage;
        }
        if (command.name == "drain" && !command.deadline_s) {
            std::cerr << "gannethold: drain needs --deadline SECONDS\n";
            return kUsage;
        }
        ControlClient client(command.socket);
        if (command.name == "follow") return follow(client, command);
        const json::Value answer = client.call(make_request(command));
        if (command.name == "drain" && command.wait) {
            if (!command.json) std::cout << drain_line(answer) << '\n';
            return wait_for_drain(client, command.json);
        }
        const std::size_t width = terminal_width();
        if (command.json)
            std::cout << json::serialize(answer) << '\n';
        else if (command.name == "status")
            write_status(std::cout, answer);
        else if (command.name == "runners")
            write_runners(std::cout, answer, width);
        else if (command.name == "tasks")
            write_tasks(std::cout, answer, width);
        else if (command.name == "failures")
            write_failures(std::cout, answer, width);
        else if (command.name == "drain" || command.name == "undrain")
            std::cout << drain_line(answer) << '\n';
        else
            std::cout << command.argument << (command.name == "hold" ? " is held" : " is released") << '\n';
        return kDone;
    } catch (const Refused& refused) {
        std::cerr << "gannethold: refused: " << refused.what() << '\n';
        return kRefused;
    } catch (const ConnectionError& error) {
        std::cerr << "gannethold: " << error.what() << '\n';
        return kUnreachable;
    }
}

}  // namespace gannethold::control
