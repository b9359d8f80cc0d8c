#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/slots/function.hpp"
#include "cluster/slots/proxy_outbox.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Decides for each function whether proxies acquire a slot for each request (coordinated) or send requests by
// their split fractions alone (unrestricted). A function becomes unrestricted while it has so many free slots
// that random variation rarely fills a runner. It becomes coordinated again when the reported load rises too
// far or a runner rejects a request.
class ModeController {
  public:
    struct Options {
        bool allow_unrestricted = true;
        double max_rejections = 10;  // allowed for the runners of one function in 5 s
    };
    explicit ModeController(const Options& options) : options_(options) {}

    void update(Micros now, Function& function, ProxyOutbox& out) const;

  private:
    void update_unrestricted(Micros now, Function& function, const std::map<std::string, double>& ready,
                             ProxyOutbox& out) const;
    void update_spare_slots(Micros now, Function& function, const std::map<std::string, double>& ready,
                            ProxyOutbox& out) const;

    Options options_;
};

// The message that sends the mode of the function to a proxy.
FunctionMode mode_message(const Function& function);

// Expected rejections per second by the function's runners if proxies send without a grant. load_margin:
// factor applied to the observed load. REQUIRES: ready_by_zone, the numbers of ready runners, is not empty.
double expected_rejections_per_s(const Function& function, const std::map<std::string, double>& ready_by_zone,
                                 double load_margin);

}  // namespace gannethold::cluster
