#include "cluster/controller/operator_api.hpp"

#include <algorithm>
#include <utility>

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxConnections = 512;
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;
constexpr std::uint32_t kRetryMs = 200;         // where no leader is known, or an outcome is not
constexpr std::uint32_t kStorageRetryMs = 300;  // until the disk is opened again

}  // namespace

OperatorApi::OperatorApi(net::Loop& loop, const net::Address& listen_at, const Settings& settings,
                         DurableConsensus& consensus)
    : settings_(settings),
      consensus_(consensus),
      server_(loop, listen_at,
              {.on_request = [this](ExchangeId exchange,
                                    HttpMessage&& request) { on_request(exchange, std::move(request)); },
               .on_client_disconnected = [this](ExchangeId exchange) { pending_.erase(exchange); }},
              kMaxConnections) {
    Limits limits;
    limits.max_body_bytes = kMaxBodyBytes;
    server_.set_limits(limits);
}

void OperatorApi::on_request(ExchangeId exchange, HttpMessage&& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path != "/v1/configuration") return server_.respond(exchange, ErrorCode::no_route, path);
    if (request.method != "PUT" && request.method != "GET")
        return server_.respond(exchange, ErrorCode::request_malformed, "PUT or GET");
    if (shutting_down_ || !consensus_.has_lease(net::Loop::now()))
        return redirect_to_leader(exchange, request);
    if (request.method == "GET") return get_configuration(exchange);
    put_configuration(exchange, std::move(request.body));
}

void OperatorApi::redirect_to_leader(ExchangeId exchange, const HttpMessage& request) {
    const Consensus* const state = consensus_.state();
    const std::string leader = state && !shutting_down_ ? state->leader() : std::string();
    if (leader.empty() || leader == settings_.control_plane_address)
        return server_.respond(exchange, ErrorCode::no_quorum, {}, kRetryMs);
    HttpMessage answer;
    answer.status = error_response(ErrorCode::not_leader).status;
    answer.fields.emplace_back("Location", "http://" + leader + request.target);
    server_.respond(exchange, answer);
}

void OperatorApi::get_configuration(ExchangeId exchange) {
    const LogEntry* const entry = consensus_.state()->committed_entry();
    if (!entry || entry->version == 0)
        return server_.respond(exchange, ErrorCode::no_quorum, "no configuration yet", kRetryMs);
    answer_json(exchange, entry->body);
}

void OperatorApi::put_configuration(ExchangeId exchange, std::string body) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, Configuration::parse(body));
            newest_put_ = configuration;
            newest_put_body_ = body;
            const Number ticket = ++last_ticket_;
            pending_[exchange] = ticket;
            consensus_.propose(net::Loop::now(), {ticket, configuration->version(), std::move(body)});
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            Event("configuration_rejected", Level::warning)
                .with("error", error_response(code).name)
                .with("detail", detail.text);
            server_.respond(exchange, code, detail.text);
        },
        [&] { server_.respond(exchange, ErrorCode::configuration_malformed); });
}

void OperatorApi::answer_json(ExchangeId exchange, std::string body) {
    HttpMessage answer;
    answer.status = 200;
    answer.fields.emplace_back("Content-Type", "application/json");
    answer.body = std::move(body);
    server_.respond(exchange, answer);
}

void OperatorApi::on_proposal_resolved(const ProposalResult& result) {
    const auto at = std::find_if(pending_.begin(), pending_.end(),
                                 [&](const auto& pending) { return pending.second == result.id; });
    if (at == pending_.end()) return;
    const ExchangeId exchange = at->first;
    pending_.erase(at);
    switch (result.outcome) {
        case ProposalOutcome::committed:
            return answer_json(exchange, "{}");
        case ProposalOutcome::conflict:
            return server_.respond(exchange, ErrorCode::version_conflict,
                                   "another body was confirmed under it");
        case ProposalOutcome::unknown:
            return server_.respond(exchange, ErrorCode::no_quorum, {}, kRetryMs);
    }
}

void OperatorApi::on_storage_failed() {
    for (const auto& [exchange, ticket] : std::exchange(pending_, {}))
        server_.respond(exchange, ErrorCode::disk_failed, {}, kStorageRetryMs);
}

std::shared_ptr<const Configuration> OperatorApi::parsed(const LogEntry& entry) const {
    const bool same =
        newest_put_ && newest_put_->version() == entry.version && newest_put_body_ == entry.body;
    return same ? newest_put_ : nullptr;
}

void OperatorApi::begin_shutdown() {
    shutting_down_ = true;
    server_.disable_keep_alive();
    server_.drain();
}

}  // namespace gannethold::cluster
