#include "platform.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace gannethold::cluster::simulation {
namespace {

struct PlatformFixture {
    PlatformFixture() {
        ServiceSpec service;
        service.name = "a";
        service.memory_mb = 100;
        configuration.services.push_back(service);
    }

    static ClusterShape one_small_worker() {
        ClusterShape shape;
        shape.workers = 1;
        shape.worker_memory_mb = 150;
        return shape;
    }

    /// The answer to a start on the one worker.
    StartResult start(const std::string& nonce, Number fence, const std::string& caller = "leader") {
        StartRunner request;
        request.service = "a";
        request.worker = "w-0";
        request.nonce = nonce;
        std::optional<StartResult> answer;
        platform.start(request, fence, caller,
                       [&](StartResult result, const RunnerInfo&) { answer = result; });
        environment.events.run_until(environment.now() + 2 * kMicrosPerSecond);
        BOOST_REQUIRE(answer.has_value());
        return *answer;
    }

    Environment environment{one_small_worker()};
    ConfigurationTemplate configuration;
    Platform platform{environment, configuration};
};

BOOST_FIXTURE_TEST_CASE(a_start_is_repeated_by_its_nonce_and_bounded_by_memory, PlatformFixture) {
    BOOST_TEST((start("n-1", 1) == StartResult::started));
    BOOST_TEST((start("n-1", 1) == StartResult::started));
    BOOST_TEST(platform.counts().starts == 1);
    BOOST_TEST((start("n-2", 1) == StartResult::no_capacity));
    BOOST_TEST(platform.count_running("a") == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_lower_fencing_token_or_another_caller_with_the_same_one_is_rejected,
                        PlatformFixture) {
    BOOST_TEST((start("n-1", 2) == StartResult::started));
    BOOST_TEST((start("n-2", 1) == StartResult::rejected));
    BOOST_TEST((start("n-3", 2, "other") == StartResult::rejected));
    BOOST_TEST(platform.counts().fenced_starts == 2);
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_a_time_out_though_the_runner_starts, PlatformFixture) {
    platform.set_answer_loss(1);
    BOOST_TEST((start("n-1", 1) == StartResult::timed_out));
    BOOST_TEST(platform.count_running("a") == 1U);
}

BOOST_FIXTURE_TEST_CASE(runners_of_a_crashed_worker_end_and_it_returns, PlatformFixture) {
    start("n-1", 1);
    platform.crash_worker("w-0");
    BOOST_TEST(platform.count_running("a") == 0U);
    BOOST_TEST(platform.list_workers().empty());
    environment.events.run_until(environment.now() + 5 * kMicrosPerSecond);
    BOOST_TEST(platform.list_workers().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(another_service_gets_the_address_of_a_runner_that_ends, PlatformFixture) {
    start("n-1", 1);
    const std::string address = platform.find("i-1")->address;
    platform.reuse_address("a");
    const Runner* const other = platform.find_by_address(address);
    BOOST_REQUIRE(other != nullptr);
    BOOST_TEST(other->id != "i-1");
    BOOST_TEST(platform.count_running("a") == 0U);
}

}  // namespace
}  // namespace gannethold::cluster::simulation
