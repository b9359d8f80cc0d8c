#include "text_checks.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cluster/base/error.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/configuration/configuration.hpp"

namespace gannethold::cluster::simulation {
namespace {

struct ReadResult {
    std::string name = "ok";  // of the error
    std::string detail;
};

template <class Read>
ReadResult result_of(const Read& read) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<ReadResult> {
            BOOST_LEAF_CHECK(read());
            return ReadResult();
        },
        [](ErrorCode error, const ErrorDetail& detail) {
            return ReadResult{error_response(error).name, detail.text};
        },
        [] {
            return ReadResult{"?", {}};
        });
}

void check_result(const ReadResult& result, const std::string& kind) {
    const auto colon = kind.find(':');
    BOOST_TEST(result.name == kind.substr(0, colon), result.name + " " + result.detail);
    if (colon != std::string::npos)
        BOOST_TEST(result.detail.find(kind.substr(colon + 1)) != std::string::npos, result.detail);
}

}  // namespace

void check_configuration(const ScenarioLine& line) {
    const std::string& kind = line.word(1);
    const std::string text = line.text_after(kind);
    const ReadResult result = result_of([&] { return Configuration::parse(text); });
    check_result(result, kind);
    if (result.name == "ok") return;
    const ErrorCode error = result.name == "configuration_cut" ? ErrorCode::configuration_malformed
                                                               : ErrorCode::configuration_invalid;
    const int status = error_response(error).status;
    BOOST_TEST((status >= 400 && status < 500));
}

void check_settings(const ScenarioLine& line) {
    const std::string& kind = line.word(1);
    std::string text = line.text_after(kind);
    std::replace(text.begin(), text.end(), ';', '\n');
    check_result(result_of([&] { return Settings::parse(text); }), kind);
}

}  // namespace gannethold::cluster::simulation
