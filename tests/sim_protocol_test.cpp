#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

#include "settings/settings_format.hpp"
#include "sim_host/host.hpp"

using namespace gannethold;
using namespace gannethold::sim_protocol;

namespace {

struct Bytes {
    std::string content;
    Bytes& number(std::uint64_t value, int width) {
        while (width--) content.push_back(static_cast<char>(value >> (8 * width)));
        return *this;
    }
    Bytes& text(const std::string& value, int width) {
        number(value.size(), width);
        content += value;
        return *this;
    }
};

std::string frame(const Bytes& body, std::uint32_t records) {
    return Bytes().number(1'000'000, 8).number(body.content.size(), 4).number(records, 4).content +
           body.content;
}

Bytes created(const std::string& settings_text) {
    return Bytes().number(120, 1).number(3, 2).number(10, 1).number(42, 8).text(settings_text, 4);
}

struct RunResult {
    int status;
    std::string replies, error;
};
RunResult run_host(const std::string& bytes) {
    std::istringstream in(bytes);
    std::ostringstream out, errors;
    const int status = sim_host::serve(in, out, errors);
    return {status, out.str(), errors.str()};
}

}  // namespace

TEST_CASE("records are decoded into events") {
    Bytes body = created("dispatchers=1");
    body.number(20, 1)
        .number(1, 1)
        .number(7, 4)
        .number(1, 4)
        .number(55, 4)
        .number(2, 1)
        .number(1, 1)
        .number(9, 2)
        .number(1, 1)
        .number(0x40000000, 4)
        .number(77, 8);
    body.number(50, 1)
        .number(5, 8)
        .number(1, 1)
        .number(0, 4)
        .number(800, 4)
        .number(55, 4)
        .number(2, 1)
        .number(104, 2)
        .number(1, 1)
        .number(0x3fc00000, 4);
    body.number(110, 1)
        .number(5, 8)
        .number(0x3f000000, 4)
        .number(55, 4)
        .number(1, 1)
        .number(2, 1)
        .number(90, 1)
        .number(4, 4)
        .text("hi", 2);
    const std::string bytes = frame(body, 6);
    const Batch batch =
        read_batch(read_header(bytes, 0), std::string_view(bytes).substr(kHeaderBytes), kHeaderBytes);
    REQUIRE(batch.records.size() == 5);
    const auto& update = std::get<MembershipUpdate>(std::get<Event>(batch.records[1].body));
    CHECK(update.entries[0].runner == RunnerId{55});
    CHECK(update.entries[0].state == RunnerState::draining);
    const auto& ended = std::get<AssignmentEnded>(std::get<Event>(batch.records[2].body));
    CHECK(ended.outcome == Outcome::reset);
    CHECK(ended.report == Report{1.5});
    CHECK(std::get<Progress>(std::get<Event>(batch.records[3].body)).done == 0.5);
    CHECK(std::get<PeerMessage>(std::get<Event>(batch.records[4].body)).payload == "hi");
}

TEST_CASE("actions are encoded byte for byte") {
    ReplyWriter reply;
    reply.instance(InstanceId{3});
    reply.action(Assign{TaskId{5}, RunnerId{55}, 9});
    reply.action(Bounce{TaskId{5}, 7});
    reply.action(Withdraw{TaskId{5}, 1});
    reply.action(WatchMembership{true});
    reply.action(BroadcastToPeers{"hi"});
    Bytes body;
    body.number(130, 1)
        .number(3, 2)
        .number(10, 1)
        .number(5, 8)
        .number(55, 4)
        .number(9, 8)
        .number(20, 1)
        .number(5, 8)
        .number(7, 4);
    body.number(40, 1)
        .number(5, 8)
        .number(1, 1)
        .number(110, 1)
        .number(1, 1)
        .number(80, 1)
        .number(0xffff, 2)
        .text("hi", 2);
    CHECK(reply.frame() == Bytes().number(body.content.size(), 4).content + body.content);
}

TEST_CASE("settings are translated, and unknown ones are kept") {
    const auto settings_map = settings::parse_settings(
        "workloads.0.effect=token\nreporting.names=x0,q,rif\nspecifics.report_x0=free_slots\n"
        "tenants.count=2\nodd.thing=a=b\n");
    CHECK(settings_map.at("workloads.0.effect") == "fingerprinted");
    CHECK(settings_map.at("reports.names") == "free_slots,waiting,held");
    CHECK(settings_map.at("customers.count") == "2");
    CHECK(settings_map.at("odd.thing") == "a=b");
}

TEST_CASE("each valid frame has one reply; a malformed one ends the host with a one-line error") {
    const RunResult result = run_host(frame(Bytes(), 0) + frame(created("dispatchers=1"), 2));
    CHECK((result.status == 0 && result.error.empty()));
    CHECK(result.replies.substr(0, 4) == std::string(4, '\0'));
    const std::string good = frame(created("dispatchers=1"), 2);
    const std::vector<std::pair<std::string, std::string>> bad{
        {good.substr(0, good.size() - 3), "inside a frame"},
        {good.substr(0, 7), "cut short"},
        {frame(Bytes().number(120, 1).number(3, 2).number(99, 1), 2), "unknown record code 99 at byte 19"},
        {frame(Bytes().number(120, 1).number(3, 2).number(20, 1).number(1, 1).number(7, 4).number(4000000, 4),
               2),
         "overruns"},
        {frame(Bytes().number(120, 1).number(3, 2).number(60, 1).number(5, 8), 2), "not created at byte 19"},
        {frame(Bytes().number(60, 1).number(5, 8), 1), "before any instance"},
        {frame(Bytes().number(120, 1).number(3, 2).number(60, 1).number(5, 4), 2), "cut short"}};
    for (const auto& [bytes, error] : bad) {
        const RunResult result = run_host(bytes);
        CHECK(result.status != 0);
        CHECK(result.replies.empty());
        CHECK(result.error.find(error) != std::string::npos);
        CHECK(std::count(result.error.begin(), result.error.end(), '\n') == 1);
    }
}

TEST_CASE("an exception of the decision module is reported as a failure with its text") {
    const RunResult result = run_host(frame(created("dispatchers=many"), 2));
    CHECK(result.status == 0);
    CHECK(static_cast<unsigned char>(result.replies[4 + 3]) == 100);
    CHECK(result.replies.find("dispatchers is not a number: many") != std::string::npos);
}
