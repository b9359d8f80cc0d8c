#include "cluster/runners/runner_list_poller.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

namespace gannethold::cluster {
namespace {

constexpr Micros kStart = 1'000'000;
constexpr Micros kMillisecond = 1'000;
constexpr double kPagesPerSecond = 10;
constexpr Micros kPageSpacing = 150 * kMillisecond;  // 1.5 times the interval that the rate allows
constexpr Micros kPollInterval = 400 * kMillisecond;
constexpr Micros kRetryInterval = 200 * kMillisecond;

RunnerListPage page_of(const std::vector<std::string>& ids, const std::string& next_page_token = {}) {
    RunnerListPage page;
    for (const std::string& id : ids) {
        ListedRunner listed;
        listed.info.runner_id = id;
        page.runners.push_back(listed);
    }
    page.next_page_token = next_page_token;
    return page;
}

struct Fixture {
    RunnerListPoller poller{{.max_pages_per_s = kPagesPerSecond, .poll_interval = kPollInterval}, kStart};
    Micros now = kStart;

    // Checks that a request becomes due within the last millisecond of the span, and returns its token.
    std::string token_due_after(Micros span) {
        BOOST_TEST(!poller.take_due_request(now + span - kMillisecond).has_value());
        now += span;
        const std::optional<std::string> token = poller.take_due_request(now);
        BOOST_REQUIRE(token.has_value());
        return *token;
    }
    RunnerListPoller::Update read_complete_list(const std::vector<std::string>& ids) {
        BOOST_REQUIRE(poller.take_due_request(now).has_value());
        RunnerListPoller::Update update = poller.on_page(now, page_of(ids));
        now += kPollInterval;
        return update;
    }
};

BOOST_FIXTURE_TEST_CASE(the_first_page_is_due_immediately_and_one_request_is_pending_at_a_time, Fixture) {
    BOOST_TEST(poller.take_due_request(kStart).value_or("none").empty());
    BOOST_TEST(!poller.take_due_request(kStart + 60'000 * kMillisecond).has_value());
}

BOOST_FIXTURE_TEST_CASE(pages_are_requested_within_the_rate, Fixture) {
    poller.take_due_request(now);
    BOOST_TEST(!poller.on_page(now, page_of({"i-1"}, "p-2")).is_complete);
    BOOST_TEST(token_due_after(kPageSpacing) == "p-2");
    BOOST_TEST(!poller.on_page(now, page_of({"i-2"}, "p-3")).is_complete);
    BOOST_TEST(token_due_after(kPageSpacing) == "p-3");
    BOOST_TEST(poller.on_page(now, page_of({"i-3"})).is_complete);
    BOOST_TEST(token_due_after(kPollInterval).empty());
}

BOOST_AUTO_TEST_CASE(a_low_rate_also_delays_the_next_reading_of_a_short_list) {
    RunnerListPoller poller({.max_pages_per_s = 1, .poll_interval = kPollInterval}, kStart);
    poller.take_due_request(kStart);
    poller.on_page(kStart, page_of({}));
    BOOST_TEST(!poller.take_due_request(kStart + kPollInterval).has_value());
    BOOST_TEST(poller.take_due_request(kStart + 1'500 * kMillisecond).has_value());
}

BOOST_FIXTURE_TEST_CASE(runners_missing_from_a_complete_reading_are_removed_once, Fixture) {
    BOOST_TEST(read_complete_list({"i-1", "i-2"}).removed.empty());
    const std::vector<std::string> expected{"i-1"};
    BOOST_TEST(read_complete_list({"i-2", "i-3"}).removed == expected, boost::test_tools::per_element());
    BOOST_TEST(read_complete_list({"i-2", "i-3"}).removed.empty());
}

BOOST_FIXTURE_TEST_CASE(no_runner_is_removed_before_the_last_page, Fixture) {
    read_complete_list({"i-1", "i-2"});
    poller.take_due_request(now);
    BOOST_TEST(poller.on_page(now, page_of({"i-1"}, "p-2")).removed.empty());
    token_due_after(kPageSpacing);
    BOOST_TEST(poller.on_page(now, page_of({"i-2"})).removed.empty());
}

BOOST_FIXTURE_TEST_CASE(after_a_failure_the_reading_restarts_without_the_pages_read_before, Fixture) {
    read_complete_list({"i-1", "i-2"});
    poller.take_due_request(now);
    poller.on_page(now, page_of({"i-1"}, "p-2"));
    token_due_after(kPageSpacing);
    poller.on_failure(now);
    BOOST_TEST(token_due_after(kRetryInterval).empty());
    const std::vector<std::string> expected{"i-1"};
    BOOST_TEST(poller.on_page(now, page_of({"i-2"})).removed == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace gannethold::cluster
