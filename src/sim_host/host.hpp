// Runs many independent instances of the decision module for a simulation, over one pair of streams.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include "balancer.hpp"
#include "sim_protocol/sim_protocol.hpp"

namespace gannethold::sim_host {

// The instances, by their ids in the protocol.
class Host {
  public:
    // Applies a frame and returns the encoded reply. An exception of the decision module is reported as the
    // failure of its instance; a malformed frame throws BadFrame.
    std::string answer(const sim_protocol::Batch& batch);

  private:
    std::map<sim_protocol::InstanceId, std::unique_ptr<Balancer>> instances_;
};

// Processes frames until the input ends. Returns the exit status: 1 after an error, which is written to
// `errors`.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace gannethold::sim_host
