#include "cluster/programs/admin.hpp"

#include <absl/flags/flag.h>

#include <string_view>
#include <utility>

#include "cluster/programs/process.hpp"

ABSL_FLAG(std::string, admin, "",
          "ip:port at which operators may ask what was decided and why (gannethold explain); empty: nowhere");

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxConnections = 16;

}  // namespace

ExplainResource::ExplainResource(net::Loop& loop, Explain explain) : explain_(std::move(explain)) {
    const std::string address = absl::GetFlag(FLAGS_admin);
    if (address.empty()) return;
    service_ = std::make_unique<HttpServer>(
        loop, address_or_end(address, "--admin"),
        HttpServer::Events{
            [this](ExchangeId exchange, HttpMessage&& request) { on_request(exchange, request); },
            [](ExchangeId) {}},
        kMaxConnections);
}

void ExplainResource::on_request(ExchangeId exchange, const HttpMessage& request) {
    constexpr std::string_view kParameter = "what=";
    if (request.method != "GET" || request.target.substr(0, request.target.find('?')) != "/explain")
        return service_->respond(exchange, ErrorCode::no_route, "GET /explain?what=WORD");
    const auto at = request.target.find(kParameter);
    const std::string part =
        at == std::string::npos ? std::string() : request.target.substr(at + kParameter.size());
    HttpMessage answer;
    answer.status = 200;
    answer.fields.emplace_back("Content-Type", "application/json");
    answer.body = json::serialize(explain_(part));
    service_->respond(exchange, answer);
}

}  // namespace gannethold::cluster
