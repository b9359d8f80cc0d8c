// Storage format of confirmed versions (store/confirmed_record.hpp).
#include <boost/test/unit_test.hpp>

#include <limits>
#include <optional>

#include "cluster/store/confirmed_record.hpp"

namespace gannethold::cluster {
namespace {

std::optional<ConfirmedVersion> decoded(std::string_view key, std::string_view value) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<ConfirmedVersion>> {
            BOOST_LEAF_AUTO(record, decode_confirmed(key, value));
            return std::optional(record);
        },
        [] { return std::optional<ConfirmedVersion>(); });
}

BOOST_AUTO_TEST_CASE(keys_and_values_have_the_documented_format) {
    const ConfirmedVersion record{7, 0xabc, 2};
    BOOST_TEST(confirmed_key(record) == "confirmed/00000000000000000002/00000000000000000007");
    BOOST_TEST(confirmed_value(record) == "0000000000000abc");
}

BOOST_AUTO_TEST_CASE(a_record_is_decoded_as_it_was_encoded) {
    constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
    for (const ConfirmedVersion& record : {ConfirmedVersion{}, {7, 0xabc, 2}, {kMax, kMax, kMax}})
        BOOST_TEST((decoded(confirmed_key(record), confirmed_value(record)) == record));
}

BOOST_AUTO_TEST_CASE(keys_sort_by_index_and_version) {
    BOOST_TEST(confirmed_key({9, 0, 10}) > confirmed_key({10, 0, 9}));
    BOOST_TEST(confirmed_key({10, 0, 9}) > confirmed_key({9, 0, 9}));
}

BOOST_AUTO_TEST_CASE(malformed_records_are_rejected) {
    const std::string key = confirmed_key({7, 0xabc, 2});
    const std::string value = confirmed_value({7, 0xabc, 2});
    BOOST_TEST(!decoded("entry", value).has_value());
    BOOST_TEST(!decoded(key.substr(0, key.size() - 1), value).has_value());
    BOOST_TEST(!decoded(key + "0", value).has_value());
    BOOST_TEST(!decoded(key, "abc").has_value());
    BOOST_TEST(!decoded(key, "000000000000 abc").has_value());
    std::string broken = key;
    broken[kConfirmedPrefix.size()] = '-';
    BOOST_TEST(!decoded(broken, value).has_value());
}

}  // namespace
}  // namespace gannethold::cluster
