// Parsing of settings files into typed values.
#include "cluster/base/settings_file.hpp"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "required.hpp"

namespace gannethold::cluster::tests {
namespace {

SettingsFile parse_file(const std::string& text) {
    return required<SettingsFile>([&] { return SettingsFile::parse(text); });
}

template <class Call>
bool is_error(ErrorCode expected, const Call& call) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(call());
            return false;
        },
        [&](ErrorCode code) { return code == expected; }, [] { return false; });
}

}  // namespace

BOOST_AUTO_TEST_CASE(values_are_read_by_name_and_type) {
    const SettingsFile file =
        parse_file("name=a b\nsub.number=2.5\nsub.time_ms=250\n# a comment\nzones.z1=r1\n");
    BOOST_TEST(file.text("name") == "a b");
    BOOST_TEST(file.text("missing").empty());
    BOOST_TEST(required<double>([&] { return file.number("sub.number", 1); }) == 2.5);
    BOOST_TEST(required<double>([&] { return file.number("missing", 1); }) == 1);
    BOOST_TEST(required<Micros>([&] { return file.time("sub.time_ms", kMicrosPerMs, 7); }) == 250'000);
    BOOST_TEST(required<Micros>([&] { return file.time("missing", kMicrosPerMs, 7); }) == 7);
    const auto zones = file.with_prefix("zones.");
    BOOST_REQUIRE(zones.size() == 1U);
    BOOST_TEST(zones.at("z1") == "r1");
}

BOOST_AUTO_TEST_CASE(missing_values_and_malformed_numbers_are_errors) {
    const SettingsFile file = parse_file("empty=\ntext=x\nnegative=-1\nlarge=1e13\ntrailing=5s\n");
    const ErrorCode invalid = ErrorCode::settings_invalid;
    BOOST_TEST(is_error(invalid, [&] { return file.required_text("missing"); }));
    BOOST_TEST(is_error(invalid, [&] { return file.required_text("empty"); }));
    for (const std::string name : {"empty", "text", "negative", "large", "trailing"}) {
        BOOST_TEST(is_error(invalid, [&] { return file.number(name, 1); }), name);
        BOOST_TEST(is_error(invalid, [&] { return file.time(name, kMicrosPerSecond, 1); }), name);
    }
    BOOST_TEST(
        is_error(ErrorCode::settings_unreadable, [] { return SettingsFile::parse("no equals sign\n"); }));
}

BOOST_AUTO_TEST_CASE(lists_are_split_at_commas) {
    const std::vector<std::string> expected{"a", "b"};
    BOOST_TEST(split_list("a,,b,") == expected, boost::test_tools::per_element());
    BOOST_TEST(split_list("").empty());
}

}  // namespace gannethold::cluster::tests
