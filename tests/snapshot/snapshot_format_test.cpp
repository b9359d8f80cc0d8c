#include "snapshot/snapshot_format.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "snapshot/snapshot_fixture.hpp"

using namespace gannethold::snapshot;

TEST_CASE("a snapshot survives encoding, and is rejected truncated anywhere or with any byte changed") {
    const std::string bytes = encode(make_snapshot(7, 3));
    const Snapshot decoded = decode(bytes);
    CHECK(decoded.runners.size() == 3);
    CHECK(decoded.runners[2].latency == HistogramBins(20, 1.5F));
    CHECK(decoded.overrides[0].reason == "rewiring");
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        CHECK_THROWS_AS(decode(bytes.substr(0, i)), FormatError);
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 0x20);
        CHECK_THROWS_AS(decode(changed), FormatError);
    }
    CHECK_THROWS_AS(decode(bytes + "x"), FormatError);
    CHECK_THROWS_AS(decode(""), FormatError);
}

TEST_CASE("a body with unknown and missing keys is decoded with defaults") {
    using nlohmann::json;
    const std::string header = encode({}).substr(0, kHeaderBytes);
    std::string body;
    json::to_cbor({{"at", 5}, {"runners", {{{"n", "s-1"}, {"s", 4}}}}, {"weather", {{"rain", {1, 2, 3}}}}},
                  body);
    const Snapshot decoded = decode(with_valid_header(header + body));
    REQUIRE(decoded.runners.size() == 1);
    CHECK(decoded.runners[0].started_ms == 4);
    CHECK(decoded.runners[0].latency.empty());
}

TEST_CASE("wrong lengths and deeply nested bodies exhaust neither memory nor the stack") {
    const std::string header = encode({}).substr(0, kHeaderBytes);
    CHECK_THROWS_AS(decode(with_valid_header(header + std::string(1'000'000, '\x81'))),
                    FormatError);  // arrays in arrays
    CHECK_THROWS_AS(decode(with_valid_header(header + "\xa1\x61n\x9b\x0f\xff\xff\xff\xff\xff\xff\xff")),
                    FormatError);  // 2^60 elements
    CHECK_THROWS_AS(decode(with_valid_header(header + "\xa1\x61n\x7b\x0f\xff\xff\xff\xff\xff\xff\xff"
                                                      "x")),
                    FormatError);  // a text of 2^60 bytes
    std::string wrong_length = encode(make_snapshot(1, 3));
    for (std::size_t i = 12; i < 16; ++i) wrong_length[i] = '\x7f';
    CHECK_THROWS_WITH_AS(decode(wrong_length), doctest::Contains("it should be"), FormatError);
}
