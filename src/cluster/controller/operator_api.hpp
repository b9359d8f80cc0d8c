// The operators' HTTP API of a core machine: GET and PUT of /v1/configuration. Only the leader serves
// requests; the other machines redirect to it.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "net/address.hpp"
#include "net/loop.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/controller/durable_consensus.hpp"
#include "cluster/transport/http_server.hpp"

namespace gannethold::cluster {

class OperatorApi {
  public:
    /// Throws std::runtime_error if `listen_at` cannot be bound. All references except `listen_at` must
    /// outlive this object.
    OperatorApi(net::Loop& loop, const net::Address& listen_at, const Settings& settings,
                DurableConsensus& consensus);

    /// Responds to the PUT that made the proposal, if its client is still connected.
    void on_proposal_resolved(const ProposalResult& result);

    /// Responds to all pending PUTs with an error, since their proposals may not be on disk.
    void on_storage_failed();

    /// Returns the configuration of the entry if the newest valid PUT contained it, or nullptr.
    std::shared_ptr<const Configuration> parsed_configuration(const LogEntry& entry) const;

    /// From now on this machine does not serve requests as the leader, and closes connections after their
    /// responses.
    void begin_shutdown();

    /// Closes idle connections. Should be called about twice a second.
    void sweep(Micros now) { server_.close_expired(now); }

    std::size_t pending_proposals() const { return pending_.size(); }

  private:
    void on_request(ExchangeId exchange, HttpMessage&& request);
    void redirect_to_leader(ExchangeId exchange, const HttpMessage& request);
    void get_configuration(ExchangeId exchange);
    void put_configuration(ExchangeId exchange, std::string body);
    void respond_with_json(ExchangeId exchange, std::string body);

    const Settings& settings_;
    DurableConsensus& consensus_;
    HttpServer server_;
    std::map<ExchangeId, ProposalId> pending_;  // proposals of connected clients
    ProposalId last_proposal_id_ = 0;
    std::shared_ptr<const Configuration> newest_put_;  // valid, but not necessarily committed
    std::string newest_put_body_;
    bool shutting_down_ = false;
};

}  // namespace gannethold::cluster
