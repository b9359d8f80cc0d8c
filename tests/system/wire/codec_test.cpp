// Encoding and decoding of messages, and decoding of corrupt bytes.
#include "cluster/wire/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace gannethold::cluster::tests {

BOOST_AUTO_TEST_CASE(a_message_round_trips_and_corrupt_bytes_do_not_crash_the_decoder) {
    const AcquireRequest request{7, 3, "huvo11a", 300, 4000, 1, 5, true};
    std::string bytes = encode(request, "10.0.0.1:80");
    const auto read = [](std::string_view packed) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<ReceivedMessage>> {
                BOOST_LEAF_AUTO(message, decode(packed));
                return std::optional(message);
            },
            [] { return std::optional<ReceivedMessage>(); });
    };
    const auto received = read(std::string_view{bytes}.substr(4));
    BOOST_REQUIRE(received.has_value());
    const auto* const decoded = std::get_if<AcquireRequest>(&received->message);
    BOOST_REQUIRE(decoded != nullptr);
    BOOST_TEST((decoded->service == request.service && decoded->deadline_ms == request.deadline_ms &&
                decoded->is_retry && received->from == "10.0.0.1:80"));
    std::mt19937 random(5);
    for (int round = 0; round < 20'000; ++round) {
        std::string corrupt = bytes.substr(4);
        for (int flips = 0; flips < 3; ++flips)
            corrupt[random() % corrupt.size()] = static_cast<char>(random());
        read(corrupt);  // must not crash, whatever the result
    }
}

}  // namespace gannethold::cluster::tests
