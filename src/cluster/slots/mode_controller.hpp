#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/slots/function.hpp"
#include "cluster/slots/proxy_outbox.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Of requests that arrive at random at a runner with so many slots, the part that finds all of them in use
// (Erlang's B formula). load: the mean of slots that the requests would occupy.
double erlang_b(double load, std::uint32_t slots);

// Decides for each function whether proxies ask for a slot for each request (coordinated) or send where their
// fractions say (unrestricted). It becomes unrestricted while so much of it is free that chance alone fills a
// runner hardly ever, and coordinated again by the loads that are reported and by what runners reject.
class ModeController {
  public:
    struct Options {
        bool allow_unrestricted = true;
        double max_rejections = 10;  // by the runners of one function in 5 s
    };
    explicit ModeController(const Options& options) : options_(options) {}

    void update(Micros now, Function& function, ProxyOutbox& out) const;

  private:
    Options options_;
};

// Rejections in 5 s by the function's runners, were it unrestricted. ready_by_zone: its ready runners, not
// empty.
double expected_rejections(const Function& function, const std::map<std::string, double>& ready_by_zone);

}  // namespace gannethold::cluster
