// The fields of the platform's API, as read and written. Together with base/settings_test.cpp and
// configuration/configuration_test.cpp, this covers all names in external input.
#define BOOST_TEST_MODULE setting_names
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "cluster/runners/platform_api.hpp"
#include "field_values.hpp"
#include "required.hpp"

namespace gannethold::cluster::tests {
namespace {

HttpMessage response(int status, std::string body) {
    HttpMessage message;
    message.status = status;
    message.body = std::move(body);
    return message;
}

const PlatformApi kPlatform{{"front-1", 12}};

RunnerListPage page_of(const std::string& entry) {
    const std::string body = R"({"instances":[)" + entry + R"(],"next_page_token":"p-50"})";
    return required<RunnerListPage>([&] { return kPlatform.read_runners(response(200, body)); });
}

constexpr char kReadyEntry[] =
    R"({"service":"render","address":"10.128.0.9:8080","zone":"plateau","version":"v1","concurrency_slots":4,)"
    R"("state":"ready","cold_remaining_ms":9,"runner_id":"i-7","worker_id":"w-3","no_such_field":[1]})";
constexpr char kDrainingEntry[] = R"({"address":"10.128.0.8:8080","runner_id":"i-8","state":"draining"})";

std::string request_text(const HttpMessage& request) { return serialize(request); }

}  // namespace

BOOST_AUTO_TEST_CASE(each_field_of_the_runner_list_is_read) {
    const RunnerListPage page = page_of(std::string(kReadyEntry) + ',' + kDrainingEntry);
    const RunnerListPage expected{
        {{{"i-7", "render", "10.128.0.9:8080", "plateau", "w-3", 4, 0, true}, false},
         {{"i-8", "", "10.128.0.8:8080", "", "", 1, 0, true}, true}},
        "p-50"};
    BOOST_TEST(fields_equal(page, expected));
    const RunnerListPage last = required<RunnerListPage>(
        [] { return kPlatform.read_runners(response(200, R"({"instances":[],"next_page_token":null})")); });
    BOOST_TEST(fields_equal(last, RunnerListPage{}));
}

BOOST_AUTO_TEST_CASE(each_field_of_the_worker_list_is_read) {
    const std::string body =
        R"({"workers":[{"name":"w-3","zone":"plateau","memory_mb":4096,"free_memory_mb":1280,"state":"ready",)"
        R"("no_such_field":{}},{"name":"w-4","zone":"almadies","memory_mb":2048,"free_memory_mb":12,)"
        R"("state":"draining"}],"no_such_field":1})";
    const auto workers =
        required<std::vector<Worker>>([&] { return kPlatform.read_workers(response(200, body)); });
    const std::vector<Worker> expected{{"w-3", "plateau", 4096, 1280, true},
                                       {"w-4", "almadies", 2048, 12, false}};
    BOOST_TEST(fields_equal(workers, expected));
}

BOOST_AUTO_TEST_CASE(responses_to_starts_and_stops_are_read) {
    const std::string body = R"({"runner_id":"i-7","address":"10.1.64.9:8080","no_such_field":1})";
    const StartRunnerResponse started = kPlatform.read_start(response(200, body));
    BOOST_TEST((started.result == StartResult::started));
    BOOST_TEST(started.runner_id == "i-7");
    BOOST_TEST(started.address == "10.1.64.9:8080");
    BOOST_TEST((kPlatform.read_start(response(409, "")).result == StartResult::no_capacity));
    BOOST_TEST((kPlatform.read_start(response(429, "")).result == StartResult::busy));
    BOOST_TEST((kPlatform.read_start(response(400, "")).result == StartResult::rejected));
    BOOST_TEST(kPlatform.read_stop(response(404, "")));
    BOOST_TEST(!kPlatform.read_stop(response(429, "")));
}

BOOST_AUTO_TEST_CASE(calls_to_the_platform_are_written_as_before) {
    BOOST_TEST(request_text(kPlatform.list_runners("")) == "GET /runners HTTP/1.1\r\nHost: platform\r\n\r\n");
    BOOST_TEST(request_text(kPlatform.list_runners("p 50")) ==
               "GET /runners?page_token=p%2050 HTTP/1.1\r\nHost: platform\r\n\r\n");
    BOOST_TEST(request_text(kPlatform.list_workers()) ==
               "GET /v1/workers HTTP/1.1\r\nHost: platform\r\n\r\n");
    BOOST_TEST(request_text(kPlatform.start_runner({"render", "w-3", "n-81"})) ==
               "POST /v1/begin HTTP/1.1\r\nHost: platform\r\nX-Duty-Holder: front-1\r\nX-Fence-Number: 12\r\n"
               "Content-Type: application/json\r\nContent-Length: 61\r\n\r\n"
               R"({"service":"render","worker_id":"w-3","request_nonce":"n-81"})");
    BOOST_TEST(request_text(kPlatform.stop_runner({"i-7"})) ==
               "POST /v1/stop HTTP/1.1\r\nHost: platform\r\nX-Duty-Holder: front-1\r\nX-Fence-Number: 12\r\n"
               "Content-Type: application/json\r\nContent-Length: 19\r\n\r\n"
               R"({"runner_id":"i-7"})");
}

}  // namespace gannethold::cluster::tests
