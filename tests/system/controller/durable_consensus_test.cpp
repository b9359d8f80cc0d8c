// A consensus member with its storage: durability of its state, and operation while the disk is unusable
// (controller/durable_consensus.hpp).
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "cluster/controller/durable_consensus.hpp"

namespace gannethold::cluster {
namespace {

constexpr ProposalId kProposalId = 41;
constexpr Number kVersion = 7;
const std::string kBody = R"({"version":7,"routes":[],"services":[]})";

// The only member of its core, with a data directory of its own.
struct Member {
    Member() {
        static int instances = 0;
        folder = std::filesystem::temp_directory_path() /
                 ("gannethold-durable-" + std::to_string(getpid()) + "-" + std::to_string(++instances));
        std::filesystem::create_directories(folder);
        settings.control_plane_address = "127.0.0.1:1";
        settings.seed_addresses = {settings.control_plane_address};
        settings.is_initial_start = true;
        settings.data_directory = folder / "disk";
        start();
    }
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;
    ~Member() { std::filesystem::remove_all(folder); }

    void start() {
        consensus.reset();
        consensus.emplace(settings, DurableConsensus::Callbacks{
                                        [](const std::string&, const Message&) {},
                                        [this](const ProposalResult& result) { results.push_back(result); },
                                        [this] { ++steps; },
                                        [this] { ++failures; },
                                    });
    }
    // Calls on_timer() at the requested times until the member holds the lease.
    bool lead() {
        for (int ticks = 0; ticks < 100 && !consensus->has_lease(now); ++ticks) {
            consensus->on_timer(now);
            now = std::max(now, consensus->next_timer());
        }
        return consensus->has_lease(now);
    }

    std::filesystem::path folder;
    Settings settings;
    std::optional<DurableConsensus> consensus;
    std::vector<ProposalResult> results;
    int steps = 0;
    int failures = 0;
    Micros now = net::Loop::now();
};

BOOST_AUTO_TEST_SUITE(durable_consensus)

BOOST_AUTO_TEST_CASE(the_storage_is_opened_by_the_first_timer) {
    Member member;
    BOOST_TEST(member.consensus->consensus() == nullptr);
    BOOST_TEST(!member.consensus->has_lease(member.now));
    BOOST_TEST(member.consensus->next_timer() <= member.now);
    member.consensus->on_timer(member.now);
    BOOST_TEST(member.consensus->consensus() != nullptr);
    BOOST_TEST(member.steps > 0);
}

BOOST_AUTO_TEST_CASE(a_committed_proposal_survives_a_restart) {
    Member member;
    BOOST_REQUIRE(member.lead());
    member.consensus->propose(member.now, {kProposalId, kVersion, kBody});
    BOOST_REQUIRE(member.results.size() == 1U);
    BOOST_TEST(member.results[0].id == kProposalId);
    BOOST_TEST((member.results[0].outcome == ProposalOutcome::committed));
    member.start();
    BOOST_REQUIRE(member.lead());
    BOOST_REQUIRE(member.consensus->consensus()->committed_entry() != nullptr);
    BOOST_TEST(member.consensus->consensus()->committed_entry()->version == kVersion);
    BOOST_TEST(member.consensus->consensus()->committed_entry()->body == kBody);
}

BOOST_AUTO_TEST_CASE(opening_the_storage_is_retried) {
    Member member;
    std::ofstream(member.settings.data_directory) << "a file where the folder should be";
    member.consensus->on_timer(member.now);
    BOOST_TEST(member.consensus->consensus() == nullptr);
    BOOST_TEST(member.consensus->next_timer() > member.now);
    std::filesystem::remove(member.settings.data_directory);
    member.consensus->on_timer(member.now);
    BOOST_TEST(member.consensus->consensus() == nullptr);  // not before the next timer
    member.now = member.consensus->next_timer();
    member.consensus->on_timer(member.now);
    BOOST_TEST(member.consensus->consensus() != nullptr);
    BOOST_TEST(member.failures == 0);
}

BOOST_AUTO_TEST_CASE(messages_and_leaves_have_no_effect_while_the_disk_is_unusable) {
    Member member;
    member.consensus->on_message(member.now, "127.0.0.1:2", JoinRequest{});
    member.consensus->begin_leaving(member.now);
    member.consensus->set_seeds({});
    BOOST_TEST(member.consensus->consensus() == nullptr);
    BOOST_TEST(member.steps == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace gannethold::cluster
