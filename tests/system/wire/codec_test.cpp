// Messages to bytes and back, and bytes that are no message.
#include "cluster/wire/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "cluster/wire/frames.hpp"

namespace gannethold::cluster::tests {

BOOST_AUTO_TEST_CASE(messages_come_back_as_they_were_and_other_bytes_are_no_message) {
    const AcquireRequest ask{7, 3, "huvo11a", 300, 4000, 1, 5, true};
    std::string bytes = encode(ask, "10.0.0.1:80");
    const auto read = [](std::string_view packed) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<ReceivedMessage>> {
                BOOST_LEAF_AUTO(l, decode(packed));
                return std::optional(l);
            },
            [] { return std::optional<ReceivedMessage>(); });
    };
    const auto back = read(std::string_view{bytes}.substr(4));
    BOOST_REQUIRE(back.has_value());
    const auto* const same = std::get_if<AcquireRequest>(&back->message);
    BOOST_REQUIRE(same != nullptr);
    BOOST_TEST((same->service == ask.service && same->deadline_ms == ask.deadline_ms && same->is_retry &&
                back->from == "10.0.0.1:80"));
    std::mt19937 random(5);
    for (int n = 0; n < 20'000; ++n) {
        std::string noise = bytes.substr(4);
        for (int flips = 0; flips < 3; ++flips) noise[random() % noise.size()] = static_cast<char>(random());
        read(noise);  // must not crash, whatever it makes of it
    }
    FrameReader frames;
    frames.add(std::string("\xff\xff\xff\xff", 4));
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(frames.next());
            return false;
        },
        [] { return true; });
    BOOST_TEST(refused);
}

}  // namespace gannethold::cluster::tests
