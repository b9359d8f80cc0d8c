// Messages to bytes and back, and bytes that are no message.
#include "cluster/wire/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace gannethold::cluster::tests {

BOOST_AUTO_TEST_CASE(a_message_is_decoded_as_it_was_encoded_and_corrupt_bytes_do_no_harm) {
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
    const auto back = read(std::string_view{bytes}.substr(4));
    BOOST_REQUIRE(back.has_value());
    const auto* const decoded = std::get_if<AcquireRequest>(&back->message);
    BOOST_REQUIRE(decoded != nullptr);
    BOOST_TEST((decoded->service == request.service && decoded->deadline_ms == request.deadline_ms &&
                decoded->is_retry && back->from == "10.0.0.1:80"));
    std::mt19937 random(5);
    for (int n = 0; n < 20'000; ++n) {
        std::string noise = bytes.substr(4);
        for (int flips = 0; flips < 3; ++flips) noise[random() % noise.size()] = static_cast<char>(random());
        read(noise);  // must not crash, whatever it makes of it
    }
}

}  // namespace gannethold::cluster::tests
