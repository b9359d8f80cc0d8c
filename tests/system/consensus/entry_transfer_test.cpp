// Transfer of entries in chunks (consensus/entry_transfer.hpp) and as deltas (consensus/entry_history.hpp).
#include <boost/test/unit_test.hpp>

#include <random>

#include "cluster/configuration/delta.hpp"
#include "cluster/consensus/entry_history.hpp"
#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

constexpr LogPosition kHead{2, 8};

std::shared_ptr<const std::string> random_payload(std::size_t bytes) {
    std::mt19937 random(3);
    std::string payload;
    for (std::size_t n = 0; n < bytes; ++n) payload += static_cast<char>(random());
    return std::make_shared<const std::string>(payload);
}

BOOST_AUTO_TEST_CASE(a_payload_is_reassembled_from_its_chunks) {
    const auto payload = random_payload(100'000);
    EntrySender sender;
    EntryReceiver receiver;
    sender.start(kHead, {}, payload, 0);
    BOOST_TEST(sender.is_large());
    std::optional<std::string> received;
    int chunks = 0;
    for (; !received; ++chunks) {
        const EntryChunk chunk = sender.chunk(2, 1, 0);
        BOOST_REQUIRE(chunk.bytes.size() <= kMaxChunkBytes);
        received = receiver.add(chunk);
        BOOST_TEST(!receiver.add(chunk).has_value());  // duplicate
        if (!received) sender.on_confirmed(receiver.received(), 0);
    }
    BOOST_TEST((*received == *payload));
    BOOST_TEST(chunks == 6);  // 4, 8, 16, 32, 32 and the remaining KB
}

BOOST_AUTO_TEST_CASE(chunks_shrink_on_a_slow_link_and_grow_on_a_fast_one) {
    EntrySender sender;
    sender.start(kHead, {}, random_payload(100'000), 0);
    sender.chunk(2, 1, 0);
    sender.on_confirmed(kInitialChunkBytes, kSlowConfirmation + 1);
    BOOST_TEST(sender.chunk_bytes() == kInitialChunkBytes / 2);
    sender.chunk(2, 1, 0);
    sender.on_confirmed(kInitialChunkBytes, kFastConfirmation + 1);
    BOOST_TEST(sender.chunk_bytes() == kInitialChunkBytes / 2);
    sender.chunk(2, 1, 0);
    sender.on_confirmed(kInitialChunkBytes, kFastConfirmation);
    BOOST_TEST(sender.chunk_bytes() == kInitialChunkBytes);
}

BOOST_AUTO_TEST_CASE(a_chunk_after_a_lost_one_and_a_payload_that_is_too_large_are_ignored) {
    EntrySender sender;
    EntryReceiver receiver;
    sender.start(kHead, {}, random_payload(100'000), 0);
    sender.restart_at(kInitialChunkBytes);
    BOOST_TEST(!receiver.add(sender.chunk(2, 1, 0)).has_value());
    BOOST_TEST(receiver.received() == 0U);
    sender.restart_at(0);
    EntryChunk chunk = sender.chunk(2, 1, 0);
    receiver.add(chunk);
    BOOST_TEST(receiver.received() == kInitialChunkBytes);
    BOOST_TEST((receiver.position() == kHead));
    chunk.total_bytes = kMaxPayloadBytes + 1;
    chunk.position = {3, 9};
    receiver.add(chunk);
    BOOST_TEST((receiver.position() == kHead));
}

LogEntry entry_at(LogIndex index) {
    LogEntry entry;
    entry.position = {2, index};
    entry.version = index;
    entry.members = {"a", "b", "c"};
    entry.confirmed = {{index - 1, 1, index - 1}, {index, 2, index}};
    entry.body = std::string(2000, 'x') + std::to_string(index);
    return entry;
}

bool none_is_needed(const LogPosition&) { return false; }

BOOST_AUTO_TEST_CASE(a_head_is_encoded_as_a_delta_to_an_earlier_entry) {
    EntryHistory history;
    history.add(entry_at(7), none_is_needed);
    BOOST_TEST(!history.previous().has_value());
    const LogEntry head = entry_at(8);
    history.add(head, none_is_needed);
    BOOST_TEST((history.previous() == LogPosition{2, 7}));
    const auto payload = history.payload(head, {2, 7});
    BOOST_TEST(payload->size() < 400U);
    BOOST_TEST((history.payload(head, {2, 7}) == payload));  // cached
    const std::string body = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_AUTO(content, decode_payload(*payload));
            BOOST_TEST(content.confirmed.size() == 1U);  // the base has the other one
            return apply_delta(entry_at(7).body, content.body_delta);
        },
        [] { return std::string("unreadable"); });
    BOOST_TEST(body == head.body);
}

BOOST_AUTO_TEST_CASE(old_bodies_are_dropped_unless_they_are_needed) {
    EntryHistory history;
    for (LogIndex index = 1; index <= 9; ++index)
        history.add(entry_at(index), [](const LogPosition& position) { return position.index == 2; });
    BOOST_TEST(!history.contains({2, 1}));
    BOOST_TEST(history.contains({2, 2}));
    BOOST_TEST(!history.contains({2, 3}));
    BOOST_TEST(history.contains({2, 9}));
}

}  // namespace
}  // namespace gannethold::cluster
