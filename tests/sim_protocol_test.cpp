#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

#include "settings/settings_format.hpp"
#include "sim_host/host.hpp"

using namespace gannethold;
using namespace gannethold::sim_protocol;

namespace {

struct Bytes {
    std::string made;
    Bytes& n(std::uint64_t value, int width) {
        while (width--) made.push_back(static_cast<char>(value >> (8 * width)));
        return *this;
    }
    Bytes& text(const std::string& words, int width) {
        n(words.size(), width);
        made += words;
        return *this;
    }
};

std::string frame(const Bytes& body, std::uint32_t records) {
    return Bytes().n(1'000'000, 8).n(body.made.size(), 4).n(records, 4).made + body.made;
}

Bytes created(const std::string& settings_map) {
    return Bytes().n(120, 1).n(3, 2).n(10, 1).n(42, 8).text(settings_map, 4);
}

struct Played {
    int status;
    std::string replies, complaint;
};
Played play(const std::string& bytes) {
    std::istringstream in(bytes);
    std::ostringstream out, errors;
    const int status = sim_host::serve(in, out, errors);
    return {status, out.str(), errors.str()};
}

}  // namespace

TEST_CASE("events come through the wire in our words") {
    Bytes body = created("dispatchers=1");
    body.n(20, 1).n(1, 1).n(7, 4).n(1, 4).n(55, 4).n(2, 1).n(1, 1).n(9, 2).n(1, 1).n(0x40000000, 4).n(77, 8);
    body.n(50, 1).n(5, 8).n(1, 1).n(0, 4).n(800, 4).n(55, 4).n(2, 1).n(104, 2).n(1, 1).n(0x3fc00000, 4);
    body.n(110, 1).n(5, 8).n(0x3f000000, 4).n(55, 4).n(1, 1).n(2, 1).n(90, 1).n(4, 4).text("hi", 2);
    const std::string bytes = frame(body, 6);
    const Batch batch =
        read_batch(read_header(bytes, 0), std::string_view(bytes).substr(kHeaderBytes), kHeaderBytes);
    REQUIRE(batch.records.size() == 5);
    const auto& update = std::get<MembershipUpdate>(std::get<Event>(batch.records[1].what));
    CHECK(update.entries[0].runner == RunnerId{55});
    CHECK(update.entries[0].state == RunnerState::draining);
    const auto& ended = std::get<AssignmentEnded>(std::get<Event>(batch.records[2].what));
    CHECK(ended.outcome == Outcome::reset);
    CHECK(ended.report == Report{1.5});
    CHECK(std::get<Progress>(std::get<Event>(batch.records[3].what)).done == 0.5);
    CHECK(std::get<PeerMessage>(std::get<Event>(batch.records[4].what)).payload == "hi");
}

TEST_CASE("actions go out byte for byte") {
    ReplyWriter reply;
    reply.instance(InstanceId{3});
    reply.action(Assign{TaskId{5}, RunnerId{55}, 9});
    reply.action(Bounce{TaskId{5}, 7});
    reply.action(Withdraw{TaskId{5}, 1});
    reply.action(WatchMembership{true});
    reply.action(BroadcastToPeers{"hi"});
    Bytes body;
    body.n(130, 1).n(3, 2).n(10, 1).n(5, 8).n(55, 4).n(9, 8).n(20, 1).n(5, 8).n(7, 4);
    body.n(40, 1).n(5, 8).n(1, 1).n(110, 1).n(1, 1).n(80, 1).n(0xffff, 2).text("hi", 2);
    CHECK(reply.frame() == Bytes().n(body.made.size(), 4).made + body.made);
}

TEST_CASE("settings are told in our words, unknown ones pass") {
    const auto settings_map = settings::parse_settings(
        "workloads.0.effect=token\nreporting.names=x0,q,rif\nspecifics.report_x0=free_slots\n"
        "tenants.count=2\nodd.thing=a=b\n");
    CHECK(settings_map.at("workloads.0.effect") == "fingerprinted");
    CHECK(settings_map.at("reports.names") == "free_slots,waiting,held");
    CHECK(settings_map.at("customers.count") == "2");
    CHECK(settings_map.at("odd.thing") == "a=b");
}

TEST_CASE("good frames have one reply each and a quiet end, bad ones end the host with one plain line") {
    const Played played = play(frame(Bytes(), 0) + frame(created("dispatchers=1"), 2));
    CHECK((played.status == 0 && played.complaint.empty()));
    CHECK(played.replies.substr(0, 4) == std::string(4, '\0'));
    const std::string good = frame(created("dispatchers=1"), 2);
    const std::vector<std::pair<std::string, std::string>> bad{
        {good.substr(0, good.size() - 3), "inside a frame"},
        {good.substr(0, 7), "cut short"},
        {frame(Bytes().n(120, 1).n(3, 2).n(99, 1), 2), "unknown record code 99 at byte 19"},
        {frame(Bytes().n(120, 1).n(3, 2).n(20, 1).n(1, 1).n(7, 4).n(4000000, 4), 2), "overruns"},
        {frame(Bytes().n(120, 1).n(3, 2).n(60, 1).n(5, 8), 2), "not created at byte 19"},
        {frame(Bytes().n(60, 1).n(5, 8), 1), "before any instance"},
        {frame(Bytes().n(120, 1).n(3, 2).n(60, 1).n(5, 4), 2), "cut short"}};
    for (const auto& [bytes, complaint] : bad) {
        const Played played = play(bytes);
        CHECK(played.status != 0);
        CHECK(played.replies.empty());
        CHECK(played.complaint.find(complaint) != std::string::npos);
        CHECK(std::count(played.complaint.begin(), played.complaint.end(), '\n') == 1);
    }
}

TEST_CASE("what the module throws becomes the declared failure, with its text") {
    const Played played = play(frame(created("dispatchers=many"), 2));
    CHECK(played.status == 0);
    CHECK(static_cast<unsigned char>(played.replies[4 + 3]) == 100);
    CHECK(played.replies.find("dispatchers is not a number: many") != std::string::npos);
}
