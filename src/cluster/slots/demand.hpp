// Smoothed demand for one function's slots, in total and by zone.
#pragma once

#include <map>
#include <string>

namespace gannethold::cluster {

// The number of slots that arriving work would occupy if each request got a slot immediately: the mean of the
// arriving work, with exponential decay. The mean is taken over the time that was actually observed, so that
// the first requests after a pause have their full effect immediately.
class Demand {
  public:
    explicit Demand(double decay_s) : decay_s_(decay_s) {}
    // work_s: seconds of work of the requests that arrived in the last span_s seconds.
    void sample(double work_s, double requests, double span_s);
    double slots() const;

  private:
    // Over a shorter time a few requests look like a high rate. Until then the work is divided by this time,
    // or, if that gives more, the observed rate is reduced by one standard deviation of random arrivals.
    static constexpr double kMinObservedSeconds = 0.3;

    double decay_s_;
    double work_s_ = 0;
    double requests_ = 0;
    double observed_s_ = 0;
};

// A function's load in slots, smoothed over a short and a long time: the larger of its demand and of its
// occupied slots, because work can take longer than expected. Requests in the wait queue add no further
// demand, because they were counted on arrival.
class SlotLoad {
  public:
    // Adds the expected work of a request that has arrived.
    void add_work(double work_s) {
        arrived_work_s_ += work_s;
        ++arrived_requests_;
    }
    // reported, reported_rate: slots used, and requests per second sent, by proxies without a grant.
    // occupied: granted slots.
    void sample(double reported, double reported_rate, double occupied, double span_s);
    // Discards the demand observed so far; called after a long pause, when it predicts nothing any more.
    void restart_demand();

    double fast() const { return fast_; }
    double slow() const { return slow_; }
    double peak() const { return fast_ > slow_ ? fast_ : slow_; }

  private:
    static constexpr double kFastDecaySeconds = 0.7;
    static constexpr double kSlowDecaySeconds = 6;

    double arrived_work_s_ = 0;    // since the last sample
    double arrived_requests_ = 0;  // since the last sample
    Demand fast_demand_{kFastDecaySeconds};
    Demand slow_demand_{kSlowDecaySeconds};
    double fast_occupied_ = 0;
    double slow_occupied_ = 0;
    double fast_ = 0;
    double slow_ = 0;
};

// Requests for one function from the proxies of one zone.
struct ZoneDemand {
    int requests = 0;           // since the last sample
    double requests_per_s = 0;  // smoothed
};

// Requests for one function, by the zone of the proxy that received them.
class ZoneDemands {
  public:
    void add_request(const std::string& zone) { ++by_zone_[zone].requests; }
    // reported: requests per second, by zone, that proxies sent without a grant.
    void sample(const std::map<std::string, double>& reported, double span_s);

    const std::map<std::string, ZoneDemand>& by_zone() const { return by_zone_; }
    // 0 for an unknown zone.
    double requests_per_s(const std::string& zone) const;
    // The sum over all zones, as of the last sample.
    double requests_per_s() const { return requests_per_s_; }

  private:
    static constexpr double kDecaySeconds = 3;

    std::map<std::string, ZoneDemand> by_zone_;
    double requests_per_s_ = 0;
};

}  // namespace gannethold::cluster
