// gannethold-explain: queries the --admin address of a running proxy or controller, and prints the response
// as tables or as unmodified JSON.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

#include "json/json.hpp"
#include "net/loop.hpp"
#include "cluster/transport/http_client.hpp"

ABSL_FLAG(std::string, at, "127.0.0.1:9800", "ip:port that the process has as its --admin flag");
ABSL_FLAG(bool, json, false, "print the unmodified JSON");
ABSL_FLAG(std::string, what, "",
          "the part to print: requests, losses, splits (a proxy); core, starts, functions, waiting, "
          "overtakings, fronts (a controller); empty: all");
ABSL_FLAG(int, wait_ms, 3000, "milliseconds to wait for the response");

namespace {

using namespace gannethold;

constexpr std::size_t kBlocks = 64;
constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20;

std::string cell_text(const json::Value& value) {
    if (const auto* text = value.get<std::string>()) return *text;
    if (const auto* number = value.get<json::Number>()) return number->text;
    if (const auto* boolean = value.get<bool>()) return *boolean ? "yes" : "no";
    if (const auto* list = value.get<json::Array>()) {
        std::string joined;
        for (const auto& element : *list) joined += (joined.empty() ? "" : " ") + cell_text(element);
        return joined;
    }
    return "-";
}

std::string cell_text(const json::Value& row, const std::string& column) {
    const json::Value* const value = row.find(column);
    return value ? cell_text(*value) : std::string("-");
}

// Returns the names of the columns, and for each the width of its widest cell.
std::map<std::string, std::size_t> column_widths(const json::Array& rows) {
    std::map<std::string, std::size_t> widths;
    for (const auto& row : rows)
        if (const auto* object = row.get<json::Object>())
            for (const auto& [column, value] : *object) {
                std::size_t& width = widths[column];
                width = std::max({width, column.size(), cell_text(value).size()});
            }
    return widths;
}

void print_cell(const std::string& text, std::size_t width) {
    std::printf("%-*s  ", static_cast<int>(width), text.c_str());
}

// Prints a list of objects: a row for each object, and a column for each member name.
void print_table(const std::string& title, const json::Array& rows) {
    std::printf("\n%s (%zu)\n", title.c_str(), rows.size());
    const std::map<std::string, std::size_t> widths = column_widths(rows);
    for (const auto& [column, width] : widths) print_cell(column, width);
    std::printf("\n");
    for (const auto& row : rows) {
        for (const auto& [column, width] : widths) print_cell(cell_text(row, column), width);
        std::printf("\n");
    }
}

// Prints the body of a response. Returns the program's exit status.
int print_response(const std::string& body) {
    if (absl::GetFlag(FLAGS_json)) {
        std::printf("%s\n", body.c_str());
        return 0;
    }
    const json::Value status = json::parse(body);
    const auto* const parts = status.get<json::Object>();
    if (!parts) return 1;
    for (const auto& [name, value] : *parts)
        if (!value.get<json::Array>()) std::printf("%-14s %s\n", name.c_str(), cell_text(value).c_str());
    for (const auto& [name, value] : *parts)
        if (const auto* rows = value.get<json::Array>()) print_table(name, *rows);
    return 0;
}

cluster::HttpMessage explain_request() {
    cluster::HttpMessage request;
    request.method = "GET";
    request.target = "/explain?what=" + absl::GetFlag(FLAGS_what);
    request.fields.emplace_back("Host", "gannethold");
    return request;
}

// Queries the process at the address. Returns the program's exit status.
int explain(const std::string& address) {
    net::Loop loop(kBlocks);
    int status = 1;
    cluster::HttpClient client(
        loop,
        {.connect_timeout = 1'000'000,
         .idle_timeout = 1'000'000,
         .max_idle_connections = 1,
         .max_response_bytes = kMaxResponseBytes},
        {.on_call_completed = [&](cluster::CompletedCall&& call) {
            if (call.result == cluster::CallResult::completed && call.response.status == 200)
                status = print_response(call.response.body);
            else
                std::fprintf(stderr, "no usable response from %s\n", address.c_str());
            loop.stop();
        }});
    net::Timer timeout(loop, [&] {
        std::fprintf(stderr, "no response from %s in time\n", address.c_str());
        loop.stop();
    });
    timeout.set(net::Loop::now() + absl::GetFlag(FLAGS_wait_ms) * Micros{1000});
    client.call(cluster::CallId{1}, address, explain_request());
    loop.run([] {});
    return status;
}

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "gannethold-explain shows recent decisions of a running proxy or controller, and their reasons.");
    absl::ParseCommandLine(argc, argv);
    return explain(absl::GetFlag(FLAGS_at));
}
