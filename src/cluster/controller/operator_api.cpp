#include "cluster/controller/operator_api.hpp"

#include <algorithm>
#include <utility>

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxConnections = 512;
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;
constexpr std::uint32_t kRetryMs = 200;         // if the leader or the outcome is unknown
constexpr std::uint32_t kStorageRetryMs = 300;  // until the storage is opened again

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
    const Consensus* const consensus = consensus_.consensus();
    const std::string leader = consensus && !shutting_down_ ? consensus->leader() : std::string();
    if (leader.empty() || leader == settings_.control_plane_address)
        return server_.respond(exchange, ErrorCode::no_quorum, {}, kRetryMs);
    HttpMessage response;
    response.status = error_response(ErrorCode::not_leader).status;
    response.fields.emplace_back("Location", "http://" + leader + request.target);
    server_.respond(exchange, response);
}

void OperatorApi::get_configuration(ExchangeId exchange) {
    const LogEntry* const entry = consensus_.consensus()->committed_entry();
    if (!entry || entry->version == 0)
        return server_.respond(exchange, ErrorCode::no_quorum, "no configuration yet", kRetryMs);
    respond_with_json(exchange, entry->body);
}

void OperatorApi::put_configuration(ExchangeId exchange, std::string body) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, Configuration::parse(body));
            newest_put_ = configuration;
            newest_put_body_ = body;
            const ProposalId id = ++last_proposal_id_;
            pending_[exchange] = id;
            consensus_.propose(net::Loop::now(), {id, configuration->version(), std::move(body)});
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

void OperatorApi::respond_with_json(ExchangeId exchange, std::string body) {
    HttpMessage response;
    response.status = 200;
    response.fields.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    server_.respond(exchange, response);
}

void OperatorApi::on_proposal_resolved(const ProposalResult& result) {
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const auto& pending) { return pending.second == result.id; });
    if (found == pending_.end()) return;
    const ExchangeId exchange = found->first;
    pending_.erase(found);
    switch (result.outcome) {
        case ProposalOutcome::committed:
            return respond_with_json(exchange, "{}");
        case ProposalOutcome::conflict:
            return server_.respond(exchange, ErrorCode::version_conflict,
                                   "another configuration is committed under this version");
        case ProposalOutcome::unknown:
            return server_.respond(exchange, ErrorCode::no_quorum, {}, kRetryMs);
    }
}

void OperatorApi::on_storage_failed() {
    for (const auto& [exchange, id] : std::exchange(pending_, {}))
        server_.respond(exchange, ErrorCode::disk_failed, {}, kStorageRetryMs);
}

std::shared_ptr<const Configuration> OperatorApi::parsed_configuration(const LogEntry& entry) const {
    const bool is_newest_put =
        newest_put_ && newest_put_->version() == entry.version && newest_put_body_ == entry.body;
    return is_newest_put ? newest_put_ : nullptr;
}

void OperatorApi::begin_shutdown() {
    shutting_down_ = true;
    server_.disable_keep_alive();
    server_.drain();
}

}  // namespace gannethold::cluster
