#include "uplinks.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

namespace gannethold::cluster::simulation {
namespace {

constexpr double kBitsPerSecond = 8e6;  // a byte takes 1 µs
constexpr std::size_t kBytesPerTurn = 4 * std::size_t{1460};

BOOST_AUTO_TEST_CASE(an_unlimited_uplink_sends_at_once) {
    EventQueue events;
    Uplinks uplinks(0, events);
    bool departed = false;
    uplinks.send(0, 1, 1'000'000, [&] { departed = true; });
    BOOST_TEST(!uplinks.is_limited());
    BOOST_TEST(departed);
}

BOOST_AUTO_TEST_CASE(a_limited_uplink_takes_the_time_of_its_bandwidth) {
    EventQueue events;
    Uplinks uplinks(kBitsPerSecond, events);
    Micros departed_at = 0;
    const Micros start = events.now();
    uplinks.send(0, 1, 1'000, [&] { departed_at = events.now(); });
    BOOST_TEST(uplinks.queued_bytes(0, 1) == 1'000U);
    events.run_until(start + kMicrosPerSecond);
    BOOST_TEST(departed_at >= start + 1'000);
    BOOST_TEST(departed_at <= start + 1'002);
    BOOST_TEST(uplinks.queued_bytes(0, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(connections_of_one_uplink_are_served_in_turn) {
    EventQueue events;
    Uplinks uplinks(kBitsPerSecond, events);
    std::string order;
    uplinks.send(0, 1, 10 * kBytesPerTurn, [&] { order += "long "; });
    uplinks.send(0, 2, kBytesPerTurn, [&] { order += "short "; });
    events.run_until(events.now() + kMicrosPerSecond);
    BOOST_TEST(order == "short long ");
}

BOOST_AUTO_TEST_CASE(what_is_queued_at_a_blocked_connection_departs_once_it_is_open) {
    EventQueue events;
    Uplinks uplinks(kBitsPerSecond, events);
    bool departed = false;
    uplinks.block(0, 1);
    uplinks.send(0, 1, 10, [&] { departed = true; });
    events.run_until(events.now() + kMicrosPerSecond);
    BOOST_TEST(!departed);
    uplinks.unblock_all();
    events.run_until(events.now() + kMicrosPerSecond);
    BOOST_TEST(departed);
}

BOOST_AUTO_TEST_CASE(a_reset_drops_the_queue_and_starts_a_new_generation) {
    EventQueue events;
    Uplinks uplinks(kBitsPerSecond, events);
    bool departed = false;
    uplinks.send(0, 1, 10, [&] { departed = true; });
    const std::uint64_t before = uplinks.generation(0, 1);
    uplinks.reset_all(1);
    BOOST_TEST(uplinks.generation(0, 1) != before);
    BOOST_TEST(uplinks.queued_bytes(0, 1) == 0U);
    events.run_until(events.now() + kMicrosPerSecond);
    BOOST_TEST(!departed);
}

}  // namespace
}  // namespace gannethold::cluster::simulation
