#include "cluster/programs/admin.hpp"

#include <absl/flags/flag.h>

#include <cmath>
#include <cstdio>

#include "cluster/programs/process.hpp"

ABSL_FLAG(std::string, admin, "",
          "ip:port at which operators may ask what was decided and why (gannethold explain); empty: nowhere");

namespace gannethold::cluster {

ExplainResource::ExplainResource(net::Loop& loop, Tell tell) : tell_(std::move(tell)) {
    const std::string at = absl::GetFlag(FLAGS_admin);
    if (at.empty()) return;
    service_ = std::make_unique<HttpServer>(
        loop, address_or_end(at, "--admin"),
        HttpServer::Events{
            .on_request = [this](ExchangeId exchange, HttpMessage&& request) { asked(exchange, request); }},
        16);
}

void ExplainResource::asked(ExchangeId exchange, const HttpMessage& request) {
    if (request.method != "GET" || request.target.substr(0, request.target.find('?')) != "/explain")
        return service_->respond(exchange, ErrorCode::no_route, "GET /explain?what=WORD");
    const auto at = request.target.find("what=");
    HttpMessage answer;
    answer.status = 200;
    answer.fields.emplace_back("Content-Type", "application/json");
    answer.body = json::write(tell_(at == std::string::npos ? std::string() : request.target.substr(at + 5)));
    service_->respond(exchange, answer);
}

json::Value told(double number) {
    char text[32];
    if (number == std::floor(number) && std::abs(number) < 1e15)
        std::snprintf(text, sizeof text, "%.0f", number);
    else
        std::snprintf(text, sizeof text, "%.4g", number);
    return json::Value(json::Number{text});
}
json::Value told(std::string text) { return json::Value(std::move(text)); }
json::Value told_ms(Micros span) { return told(std::round(static_cast<double>(span) / 1e3)); }

}  // namespace gannethold::cluster
