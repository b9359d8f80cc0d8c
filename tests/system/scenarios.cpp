// Test cases of parts of src/cluster that have no file of their own here yet.
#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>

#include "cluster/configuration/delta.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(a_difference_gives_the_text_back_and_refuses_another_base) {
    std::string old_text = "{\"routes\":[";
    std::string new_text = old_text;
    for (int i = 0; i < 900; ++i) {
        old_text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"timeout_ms\":4000},";
        new_text += "{\"name\":\"r-" + std::to_string(i * 7919) +
                    "\",\"timeout_ms\":" + (i == 450 ? "100" : "4000") + "},";
    }
    const std::string delta = make_delta(old_text, new_text);
    BOOST_TEST(delta.size() < 150U);
    const auto got = [](std::string_view base, std::string_view bytes) {
        return leaf::try_handle_all([&] { return apply_delta(base, bytes); },
                                    [] { return std::string("refused"); });
    };
    BOOST_TEST(got(old_text, delta) == new_text);
    BOOST_TEST(got(new_text, delta) == "refused");
    BOOST_TEST(got({}, make_delta({}, new_text)) == new_text);
    for (std::size_t i = 0; i < delta.size(); ++i) {
        std::string broken = delta;
        broken[i] = static_cast<char>(broken[i] ^ 0x55);
        const std::string back = got(old_text, broken);
        BOOST_TEST((back == "refused" || back == new_text));
    }
}

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
    BOOST_TEST((same->service == ask.service && same->deadline_ms == ask.deadline_ms && same->again &&
                back->from == "10.0.0.1:80"));
    std::mt19937 random(5);
    for (int n = 0; n < 20'000; ++n) {
        std::string noise = bytes.substr(4);
        for (int flips = 0; flips < 3; ++flips) noise[random() % noise.size()] = static_cast<char>(random());
        read(noise);  // must not crash, whatever it makes of it
    }
    Frames frames;
    frames.add(std::string("\xff\xff\xff\xff", 4));
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(frames.next());
            return false;
        },
        [] { return true; });
    BOOST_TEST(refused);
}

}  // namespace
}  // namespace gannethold::cluster
