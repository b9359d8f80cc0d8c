#include "cluster/programs/explain_resource.hpp"

#include <absl/flags/flag.h>

#include <string_view>
#include <utility>

#include "cluster/programs/process.hpp"

ABSL_FLAG(
    std::string, admin, "",
    "ip:port of the admin endpoint, which explains recent decisions (gannethold-explain); empty: disabled");

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxConnections = 16;

}  // namespace

ExplainResource::ExplainResource(net::Loop& loop, Explain explain) : explain_(std::move(explain)) {
    const std::string address = absl::GetFlag(FLAGS_admin);
    if (address.empty()) return;
    server_ = std::make_unique<HttpServer>(
        loop, address_or_exit(address, "--admin"),
        HttpServer::Events{
            [this](ExchangeId exchange, HttpMessage&& request) { on_request(exchange, request); },
            [](ExchangeId) {}},
        kMaxConnections);
}

void ExplainResource::on_request(ExchangeId exchange, const HttpMessage& request) {
    constexpr std::string_view kParameter = "what=";
    if (request.method != "GET" || request.target.substr(0, request.target.find('?')) != "/explain")
        return server_->respond(exchange, ErrorCode::no_route, "GET /explain?what=PART");
    const auto found = request.target.find(kParameter);
    const std::string part =
        found == std::string::npos ? std::string() : request.target.substr(found + kParameter.size());
    HttpMessage response;
    response.status = 200;
    response.fields.emplace_back("Content-Type", "application/json");
    response.body = json::serialize(explain_(part));
    server_->respond(exchange, response);
}

}  // namespace gannethold::cluster
