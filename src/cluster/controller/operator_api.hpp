// The operators' HTTP interface of a core machine: GET and PUT of /v1/configuration. The leader answers;
// others redirect to it.
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
    /// Throws std::runtime_error where `listen_at` can not be bound. All references but that one must outlive
    /// this object.
    OperatorApi(net::Loop& loop, const net::Address& listen_at, const Settings& settings,
                DurableConsensus& consensus);

    /// Answers the PUT whose proposal has that result, if its client still waits.
    void on_proposal_resolved(const ProposalResult& result);

    /// Answers all pending PUTs: what they proposed is not on disk, so not acknowledged.
    void on_storage_failed();

    /// The entry's configuration, where it is the one that was read from the newest PUT; else nullptr.
    std::shared_ptr<const Configuration> parsed(const LogEntry& entry) const;

    /// From here on nothing is answered as the leader, and each answer closes its connection.
    void begin_shutdown();

    /// Closes idle connections. Call it about twice a second.
    void sweep(Micros now) { server_.close_expired(now); }

    std::size_t pending_proposals() const { return pending_.size(); }

  private:
    void on_request(ExchangeId exchange, HttpMessage&& request);
    void redirect_to_leader(ExchangeId exchange, const HttpMessage& request);
    void get_configuration(ExchangeId exchange);
    void put_configuration(ExchangeId exchange, std::string body);
    void answer_json(ExchangeId exchange, std::string body);

    const Settings& settings_;
    DurableConsensus& consensus_;
    HttpServer server_;
    std::map<ExchangeId, Number> pending_;  // tickets of proposals whose clients wait
    Number last_ticket_ = 0;
    std::shared_ptr<const Configuration> newest_put_;  // checked, and committed or not
    std::string newest_put_body_;
    bool shutting_down_ = false;
};

}  // namespace gannethold::cluster
