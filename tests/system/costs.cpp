// Prints the bandwidth that the cluster's own messages use, computed from their encoded sizes, by number of
// proxies.
//   cluster_costs
#include <cstdio>
#include <string>

#include "cluster/configuration/delta.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

constexpr double kBytesPerKilobyte = 1e3;
constexpr double kRequestsPerProxy = 18;      // per second
constexpr double kCoordinatedFraction = 0.2;  // requests that acquire a slot from the coordinator
constexpr double kNewRunnerFraction = 0.01;   // coordinated requests for which a runner is started
constexpr double kProxiesPerNewRunner = 5;    // proxies that are notified of a new runner
constexpr double kNotificationsPerRunner = 2;
constexpr int kRoutes = 1000;

double encoded_bytes(const Message& message) { return static_cast<double>(encode(message).size()); }

// Encoded size of one message of each type, in bytes.
struct MessageSizes {
    double acquire = encoded_bytes(AcquireRequest{123456, 7001, "huvo11a", 1500, 4000, 2, 9, false});
    double grant = encoded_bytes(AcquireGranted{123456, 7001});
    double release = encoded_bytes(Release{123456, 7001, ReleaseReason::answered, 61});
    double runner_update = encoded_bytes(
        RunnerUpdate{7001,
                     RunnerState::ready,
                     {"i-7f3a91c2ab", "huvo11a", "10.128.0.9:8080", "isan-hall-a", "w-33", 4, 0, true},
                     false});
    double heartbeat = encoded_bytes(Heartbeat{});
    double load_report =
        encoded_bytes(LoadReport{1000, std::vector<FunctionLoad>(10, FunctionLoad{"huvo11a", 3, 200})});
    double append_request = encoded_bytes(AppendRequest{7, 900, {7, 40}, {7, 40}});
    double append_response = encoded_bytes(AppendResponse{7, 900, {7, 40}});
};

std::string configuration_text() {
    std::string text = "{\"version\":7,\"routes\":[";
    for (int route = 0; route < kRoutes; ++route)
        text += "{\"name\":\"r-" + std::to_string(route * 7919) + "\",\"host\":\"dese" +
                std::to_string(route % 40) + ".example\",\"path_prefix\":\"/g" +
                std::to_string(route * 104729) +
                "/\",\"route_kind\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":1500,"
                "\"priority\":2,\"service\":\"s" +
                std::to_string(route) + "\",\"max_attempts\":2},";
    return text;
}

// Encoded size in bytes of a configuration with kRoutes routes: complete, and as a delta that changes one
// route.
struct ConfigurationSizes {
    double complete = 0;
    double one_change = 0;
};

ConfigurationSizes configuration_sizes() {
    const std::string before = configuration_text();
    std::string after = before;
    after.replace(after.find("4000", after.size() / 2), 4, "3500");
    return {encoded_bytes(ConfigurationUpdate{8, {0, make_delta({}, after)}}),
            encoded_bytes(ConfigurationUpdate{8, {7, make_delta(before, after)}})};
}

void print_sizes(const MessageSizes& messages, const ConfigurationSizes& configuration) {
    std::printf(
        "bytes: acquire %.0f, grant %.0f, release %.0f, runner update %.0f, heartbeat %.0f, load report of "
        "ten "
        "functions %.0f, append request %.0f, append response %.0f,\n1,000 routes complete %.0f, one of them "
        "changed %.0f\n\n",
        messages.acquire, messages.grant, messages.release, messages.runner_update, messages.heartbeat,
        messages.load_report, messages.append_request, messages.append_response, configuration.complete,
        configuration.one_change);
}

void print_row(int proxies, const MessageSizes& messages, const ConfigurationSizes& configuration) {
    const double requests = kRequestsPerProxy * proxies;
    const double coordinated = requests * kCoordinatedFraction;
    const double message_rate = coordinated * 3 + proxies * 1.0;
    const double byte_rate = coordinated * (messages.acquire + messages.grant + messages.release) +
                             coordinated * kNewRunnerFraction * kProxiesPerNewRunner *
                                 messages.runner_update * kNotificationsPerRunner +
                             proxies * (messages.load_report + messages.heartbeat);
    std::printf("%7d  %10.0f  %18.0f  %5.1f  %20.2f  %22.1f  %19.0f\n", proxies, requests, message_rate,
                byte_rate / kBytesPerKilobyte, byte_rate / proxies / kBytesPerKilobyte,
                configuration.one_change * proxies / kBytesPerKilobyte,
                configuration.complete * proxies / kBytesPerKilobyte);
}

void print_table() {
    const MessageSizes messages;
    const ConfigurationSizes configuration = configuration_sizes();
    print_sizes(messages, configuration);
    std::printf(
        "proxies  requests/s  coordinator: messages/s  KB/s   a proxy: KB/s of 250   one change to all, KB   "
        "complete to all, KB\n");
    for (const int proxies : {10, 65, 500}) print_row(proxies, messages, configuration);
}

}  // namespace
}  // namespace gannethold::cluster

int main() { gannethold::cluster::print_table(); }
