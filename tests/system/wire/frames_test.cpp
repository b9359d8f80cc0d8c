// Framing of messages in a byte stream.
#include "cluster/wire/frames.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "required.hpp"

namespace gannethold::cluster::tests {
namespace {

std::vector<std::string> complete_messages(FrameReader& frames) {
    std::vector<std::string> messages;
    while (const auto next = required<std::optional<std::string_view>>([&] { return frames.next(); }))
        messages.emplace_back(*next);
    return messages;
}

}  // namespace

BOOST_AUTO_TEST_CASE(messages_are_extracted_however_the_stream_is_split) {
    const std::vector<std::string> messages{"first", "", std::string(300, 'x')};
    std::string stream;
    for (const std::string& message : messages) stream += make_frame(message);
    BOOST_TEST(stream.substr(0, 4) == std::string("\5\0\0\0", 4));
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        FrameReader frames;
        std::vector<std::string> received;
        for (std::size_t offset = 0; offset < stream.size(); offset += step) {
            frames.add(stream.substr(offset, step));
            for (std::string& message : complete_messages(frames)) received.push_back(std::move(message));
        }
        BOOST_TEST(received == messages, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(a_length_over_the_limit_is_an_error) {
    FrameReader frames;
    frames.add(std::string("\xff\xff\xff\xff", 4));
    const bool rejected = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(frames.next());
            return false;
        },
        [] { return true; });
    BOOST_TEST(rejected);
}

}  // namespace gannethold::cluster::tests
