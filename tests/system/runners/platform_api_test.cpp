// Decoding of faulty responses of the platform's API. platform_fields_test.cpp tests field names and encoded
// requests.
#include "cluster/runners/platform_api.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace gannethold::cluster {
namespace {

const PlatformApi& api() {
    static const PlatformApi kApi{{"core-1", 7}};
    return kApi;
}

HttpMessage response(int status, std::string body = {}) {
    HttpMessage message;
    message.status = status;
    message.body = std::move(body);
    return message;
}

template <class Read>
std::optional<ErrorCode> error_of(const Read& read) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<ErrorCode>> {
            BOOST_LEAF_CHECK(read());
            return std::nullopt;
        },
        [](ErrorCode code) -> std::optional<ErrorCode> { return code; },
        []() -> std::optional<ErrorCode> {
            BOOST_FAIL("an error without a code");
            return {};
        });
}

std::optional<ErrorCode> error_of_runners(int status, const std::string& body = {}) {
    return error_of([&] { return api().read_runners(response(status, body)); });
}
std::optional<ErrorCode> error_of_workers(int status, const std::string& body = {}) {
    return error_of([&] { return api().read_workers(response(status, body)); });
}

BOOST_AUTO_TEST_CASE(a_list_with_a_status_other_than_200_is_rejected) {
    for (const int status : {0, 204, 404, 429, 503}) {
        BOOST_TEST((error_of_runners(status) == ErrorCode::platform_rejected));
        BOOST_TEST((error_of_workers(status) == ErrorCode::platform_rejected));
    }
}

BOOST_AUTO_TEST_CASE(a_list_that_is_not_json_or_has_no_entries_is_malformed) {
    for (const char* const body : {"", "{", "[]", "{}", R"({"instances":1,"workers":"none"})"}) {
        BOOST_TEST((error_of_runners(200, body) == ErrorCode::bytes_malformed), body);
        BOOST_TEST((error_of_workers(200, body) == ErrorCode::bytes_malformed), body);
    }
}

BOOST_AUTO_TEST_CASE(entries_without_an_id_name_or_address_are_skipped) {
    const std::string runners =
        R"({"instances":[7,{"runner_id":"i-1"},{"address":"10.0.0.1:80"},{"runner_id":"i-2","address":"10.0.0.2:80"}]})";
    const std::string workers = R"({"workers":["w",{"zone":"z0"},{"name":"w-1"}]})";
    BOOST_TEST(!error_of([&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(page, api().read_runners(response(200, runners)));
                    BOOST_REQUIRE(page.runners.size() == 1U);
                    BOOST_TEST(page.runners[0].info.runner_id == "i-2");
                    BOOST_TEST(page.next_page_token.empty());
                    return {};
                }).has_value());
    BOOST_TEST(!error_of([&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(listed, api().read_workers(response(200, workers)));
                    BOOST_REQUIRE(listed.size() == 1U);
                    BOOST_TEST(listed[0].name == "w-1");
                    return {};
                }).has_value());
}

BOOST_AUTO_TEST_CASE(a_start_whose_response_lacks_the_runner_counts_as_timed_out) {
    for (const char* const body : {"", "[]", "{}", R"({"runner_id":"i-1"})", R"({"address":"10.0.0.1:80"})"})
        BOOST_TEST((api().read_start(response(200, body)).result == StartResult::timed_out), body);
    for (const int status : {500, 503})
        BOOST_TEST((api().read_start(response(status)).result == StartResult::busy));
}

BOOST_AUTO_TEST_CASE(a_runner_counts_as_stopped_only_with_status_200_or_404) {
    for (const int status : {200, 404}) BOOST_TEST(api().read_stop(response(status)));
    for (const int status : {400, 409, 500}) BOOST_TEST(!api().read_stop(response(status)));
}

}  // namespace
}  // namespace gannethold::cluster
