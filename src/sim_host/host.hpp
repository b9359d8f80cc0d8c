// Hosts many independent instances of the decision module on one pair of pipes.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include "balancer.hpp"
#include "sim_protocol/sim_protocol.hpp"

namespace gannethold::sim_host {

class Host {
  public:
    std::string answer(const sim_protocol::Batch& batch);

  private:
    std::map<sim_protocol::InstanceId, std::unique_ptr<Balancer>> instances_;
};

// Plays frames until the input ends; returns the exit status.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace gannethold::sim_host
