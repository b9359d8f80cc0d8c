// gannethold-explain: asks a running counter or controller at its --admin address, and prints tables or the
// JSON as it came.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <set>

#include "json/json.hpp"
#include "net/loop.hpp"
#include "cluster/transport/http_client.hpp"

ABSL_FLAG(std::string, at, "127.0.0.1:9800", "ip:port that the process was given as --admin");
ABSL_FLAG(bool, json, false, "print the JSON as it came");
ABSL_FLAG(std::string, what, "",
          "only that part: requests, losses, splits (a counter); core, starts, functions, waiting, "
          "overtakings, fronts (a controller); empty: all");
ABSL_FLAG(int, wait_ms, 3000, "milliseconds to wait for the answer");

namespace {

using namespace gannethold;

std::string text_of(const json::Value& v) {
    if (const auto* t = v.get<std::string>()) return *t;
    if (const auto* n = v.get<json::Number>()) return n->text;
    if (const auto* b = v.get<bool>()) return *b ? "yes" : "no";
    if (const auto* l = v.get<json::List>()) {
        std::string all;
        for (const auto& one : *l) all += (all.empty() ? "" : " ") + text_of(one);
        return all;
    }
    return "-";
}

// A list of objects as a table, a column for each name.
void print_table(const std::string& name, const json::List& rows) {
    std::printf("\n%s (%zu)\n", name.c_str(), rows.size());
    std::set<std::string> names;
    for (const auto& row : rows)
        if (const auto* o = row.get<json::Object>())
            for (const auto& [key, value] : *o) names.insert(key);
    std::map<std::string, std::size_t> width;
    for (const auto& n : names) width[n] = n.size();
    for (const auto& row : rows)
        for (const auto& n : names)
            if (const auto* v = row.find(n)) width[n] = std::max(width[n], text_of(*v).size());
    for (const auto& n : names) std::printf("%-*s  ", static_cast<int>(width[n]), n.c_str());
    std::printf("\n");
    for (const auto& row : rows) {
        for (const auto& n : names)
            std::printf("%-*s  ", static_cast<int>(width[n]),
                        row.find(n) ? text_of(*row.find(n)).c_str() : "-");
        std::printf("\n");
    }
}

int print(const std::string& body) {
    if (absl::GetFlag(FLAGS_json)) {
        std::printf("%s\n", body.c_str());
        return 0;
    }
    const json::Value all = json::read(body);
    const auto* const top = all.get<json::Object>();
    if (!top) return 1;
    for (const auto& [key, value] : *top)
        if (!value.get<json::List>()) std::printf("%-14s %s\n", key.c_str(), text_of(value).c_str());
    for (const auto& [key, value] : *top)
        if (const auto* rows = value.get<json::List>()) print_table(key, *rows);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "gannethold explain asks a running counter or controller what it decided lately and why.");
    absl::ParseCommandLine(argc, argv);
    net::Loop loop(64);
    int code = 1;
    cluster::HttpClient client(
        loop,
        {.connect_timeout = 1'000'000,
         .idle_timeout = 1'000'000,
         .max_idle_connections = 1,
         .max_response_bytes = 64U << 20},
        {.on_call_completed = [&](cluster::CompletedCall&& call) {
            if (call.result == cluster::CallResult::completed && call.response.status == 200)
                code = print(call.response.body);
            else
                std::fprintf(stderr, "no answer at %s\n", absl::GetFlag(FLAGS_at).c_str());
            loop.stop();
        }});
    net::Timer limit(loop, [&] {
        std::fprintf(stderr, "no answer at %s in time\n", absl::GetFlag(FLAGS_at).c_str());
        loop.stop();
    });
    limit.set(net::Loop::now() + absl::GetFlag(FLAGS_wait_ms) * 1000LL);
    cluster::HttpMessage request;
    request.method = "GET";
    request.target = "/explain?what=" + absl::GetFlag(FLAGS_what);
    request.fields.emplace_back("Host", "gannethold");
    client.call(cluster::CallId{1}, absl::GetFlag(FLAGS_at), request);
    loop.run([] {});
    return code;
}
