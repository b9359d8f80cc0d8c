// Deltas between two configuration texts (configuration/delta.hpp).
#include "cluster/configuration/delta.hpp"

#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>

namespace gannethold::cluster::tests {

BOOST_AUTO_TEST_CASE(a_delta_restores_the_text_and_rejects_another_base) {
    std::string old_text = "{\"routes\":[";
    std::string new_text = old_text;
    for (int i = 0; i < 900; ++i) {
        old_text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"timeout_ms\":4000},";
        new_text += "{\"name\":\"r-" + std::to_string(i * 7919) +
                    "\",\"timeout_ms\":" + (i == 450 ? "100" : "4000") + "},";
    }
    const std::string delta = make_delta(old_text, new_text);
    BOOST_TEST(delta.size() < 150U);
    const auto applied = [](std::string_view base, std::string_view bytes) {
        return leaf::try_handle_all([&] { return apply_delta(base, bytes); },
                                    [] { return std::string("rejected"); });
    };
    BOOST_TEST(applied(old_text, delta) == new_text);
    BOOST_TEST(applied(new_text, delta) == "rejected");
    BOOST_TEST(applied({}, make_delta({}, new_text)) == new_text);
    for (std::size_t i = 0; i < delta.size(); ++i) {
        std::string broken = delta;
        broken[i] = static_cast<char>(broken[i] ^ 0x55);
        const std::string result = applied(old_text, broken);
        BOOST_TEST((result == "rejected" || result == new_text));
    }
}

}  // namespace gannethold::cluster::tests
