// The check of the simulation that a proxy which shuts down leaves no request without an answer can fail.
#include <boost/test/unit_test.hpp>

#include "simulated_cluster.hpp"

namespace gannethold::cluster::simulation {
namespace {

// A request waits for a slot when its proxy is asked to shut down.
std::size_t violations_of_shutdown(PlantedFault fault) {
    ClusterShape shape;
    shape.proxies = 1;
    shape.workers = 1;
    shape.worker_memory_mb = 128;
    shape.fault = fault;
    SimulatedCluster cluster(shape);
    ServiceSpec service;
    service.name = "a";
    service.latency_target_ms = 8000;
    service.timeout_ms = 10'000;
    service.idempotent = false;
    service.max_attempts = 1;
    cluster.configuration().services.push_back(service);
    const Micros start = cluster.now();
    cluster.run_until(start + 2'000'000);
    for (std::size_t core = 0; core < cluster.cores().size(); ++core) cluster.operators().put(1, core);
    cluster.run_until(start + 4'000'000);
    for (int n = 0; n < 3; ++n) cluster.proxies().request(0, "a", 4000, 10'000);
    cluster.run_until(start + 4'500'000);
    cluster.proxies().shut_down(0, 6'000'000);
    cluster.run_until(start + 14'000'000);
    return cluster.violations().found().size();
}

BOOST_AUTO_TEST_CASE(a_proxy_that_shuts_down_without_answers_is_found) {
    BOOST_TEST(violations_of_shutdown(PlantedFault::none) == 0U);
    BOOST_TEST(violations_of_shutdown(PlantedFault::end_without_answers) > 0U);
}

}  // namespace
}  // namespace gannethold::cluster::simulation
