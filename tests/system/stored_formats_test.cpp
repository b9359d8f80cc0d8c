// The data directory of a controller, the only role with a disk, compared with LevelDB files in fixtures/.
// The store contains the member's voting state, its newest log entry and the confirmed configuration
// versions; an entry that is being received in chunks is in memory only.
#include <leveldb/db.h>

#include <map>
#include <memory>
#include <vector>

#include "cluster/store/store.hpp"
#include "field_values.hpp"
#include "formats.hpp"
#include "store/store_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

namespace filesystem = std::filesystem;
using KeyValues = std::map<std::string, std::string>;

const std::string kFirst = "10.1.0.41:8263";
const std::string kSecond = "10.2.0.35:8263";
const std::string kThird = "10.3.0.36:8263";
const std::string kFourth = "10.3.0.37:8263";
constexpr char kDatabase[] = "state";  // the store's folder within the data directory

// The states that a process writes between its start and its end.
using Incarnation = std::vector<PersistentState>;

// A member in two incarnations: several configurations, a vote in between, a confirmed version that is
// dropped, and at the end a membership change in its joint phase.
std::vector<Incarnation> incarnations_of_member() {
    const std::vector<std::string> before{kFirst, kSecond, kThird};
    const std::vector<std::string> after{kFirst, kSecond, kFourth};
    const ConfirmedVersion third{3, 0x1111222233334444ULL, 1};
    const ConfirmedVersion seventh{7, 0x0000000000000abcULL, 2};
    const ConfirmedVersion ninth{9, 0xfedcba9876543210ULL, 3};
    return {
        {{{true, 1, kFirst, 0, 1, kFirst}, {{1, 1}, 3, before, {}, {third}, R"({"version":3})"}},
         {{true, 2, kSecond, 0, 2, kFirst}, {{1, 1}, 3, before, {}, {third}, R"({"version":3})"}},
         {{true, 2, kSecond, 0, 2, kSecond}, {{2, 2}, 7, before, {}, {third, seventh}, R"({"version":7})"}}},
        {{{true, 4, kThird, 3, 4, kThird}, {{4, 3}, 9, before, {}, {seventh, ninth}, R"({"version":9})"}},
         {{true, 4, kThird, 3, 6, kThird},
          {{4, 4}, 9, after, before, {seventh, ninth}, R"({"version":9})"}}}};
}

// The membership change has ended, and an older version has been confirmed.
PersistentState next_state_of_member() {
    const std::vector<std::string> members{kFirst, kSecond, kFourth};
    const ConfirmedVersion eighth{8, 0x0123456789abcdefULL, 5};
    PersistentState state = incarnations_of_member().back().back();
    state.voting_state.term = 6;
    state.voting_state.voted_for = kFourth;
    state.entry = {{6, 5}, 9, members, {}, {state.entry.confirmed[1], eighth}, R"({"version":9})"};
    return state;
}

// A controller that lost its disk and is still recovering: it is not a member, and grants no votes up to a
// certain term.
std::vector<Incarnation> incarnations_of_recovering() { return {{{{false, 5, {}, 5, 4, kSecond}, {}}}}; }

PersistentState next_state_of_recovering() {
    return {{true, 7, kThird, 5, 7, kThird},
            {{7, 12}, 9, {kFirst, kSecond}, {}, {{9, 0xfedcba9876543210ULL, 11}}, R"({"version":9})"}};
}

struct StoreExample {
    std::string folder;
    std::vector<Incarnation> incarnations;
    PersistentState next_state;
};

std::vector<StoreExample> store_examples() {
    return {{"store_member", incarnations_of_member(), next_state_of_member()},
            {"store_recovering", incarnations_of_recovering(), next_state_of_recovering()}};
}

void write_incarnations(const filesystem::path& folder, const std::vector<Incarnation>& incarnations) {
    filesystem::create_directories(folder);
    for (const auto& incarnation : incarnations) {
        Store store;
        opened(store, folder);
        for (const PersistentState& state : incarnation) write(store, state);
    }
}

PersistentState reopened(const filesystem::path& folder) {
    Store store;
    return opened(store, folder);
}

// Reads all keys and values without the store. REQUIRES: the database is not open.
KeyValues read_key_values(const filesystem::path& folder) {
    leveldb::Options options;
    options.create_if_missing = false;
    options.paranoid_checks = true;
    leveldb::DB* handle = nullptr;
    const auto status = leveldb::DB::Open(options, (folder / kDatabase).string(), &handle);
    BOOST_REQUIRE_MESSAGE(status.ok(), status.ToString());
    const std::unique_ptr<leveldb::DB> database(handle);
    KeyValues pairs;
    const std::unique_ptr<leveldb::Iterator> pair(database->NewIterator({}));
    for (pair->SeekToFirst(); pair->Valid(); pair->Next())
        pairs[pair->key().ToString()] = pair->value().ToString();
    BOOST_REQUIRE(pair->status().ok());
    return pairs;
}

void copy_fixture(const StoreExample& example, const filesystem::path& to) {
    filesystem::create_directories(to / kDatabase);
    for (const auto& file : filesystem::directory_iterator(fixtures() / example.folder / kDatabase))
        filesystem::copy_file(file.path(), to / kDatabase / file.path().filename());
}

}  // namespace

void write_store_examples(const filesystem::path& fixtures) {
    for (const StoreExample& example : store_examples()) {
        write_incarnations(fixtures / example.folder, example.incarnations);
        // LevelDB creates these files again; the first two contain the name of the machine.
        for (const char* name : {"LOG", "LOG.old", "LOCK"})
            filesystem::remove(fixtures / example.folder / kDatabase / name);
    }
}

BOOST_AUTO_TEST_CASE(a_stored_data_directory_is_read_with_the_same_values) {
    for (const StoreExample& example : store_examples()) {
        const TemporaryFolder folder;
        copy_fixture(example, folder.path());
        BOOST_TEST(fields_equal(reopened(folder.path()), example.incarnations.back().back()), example.folder);
    }
}

BOOST_AUTO_TEST_CASE(a_stored_data_directory_accepts_further_writes) {
    for (const StoreExample& example : store_examples()) {
        const TemporaryFolder folder;
        copy_fixture(example, folder.path());
        {
            Store store;
            opened(store, folder.path());
            write(store, example.next_state);
        }
        BOOST_TEST(fields_equal(reopened(folder.path()), example.next_state), example.folder);
        const TemporaryFolder fresh;
        write_incarnations(fresh.path(), example.incarnations);
        write_incarnations(fresh.path(), {{example.next_state}});
        BOOST_TEST((read_key_values(folder.path()) == read_key_values(fresh.path())), example.folder);
    }
}

BOOST_AUTO_TEST_CASE(the_same_states_are_stored_as_the_same_keys_and_values) {
    for (const StoreExample& example : store_examples()) {
        const TemporaryFolder before;
        copy_fixture(example, before.path());
        const TemporaryFolder now;
        write_incarnations(now.path(), example.incarnations);
        BOOST_TEST((read_key_values(now.path()) == read_key_values(before.path())), example.folder);
    }
}

BOOST_AUTO_TEST_CASE(keys_and_digests_are_stored_as_documented) {
    const TemporaryFolder folder;
    copy_fixture(store_examples().front(), folder.path());
    KeyValues pairs = read_key_values(folder.path());
    BOOST_TEST(pairs.size() == 4U);
    BOOST_TEST(pairs.contains("entry"));
    BOOST_TEST(pairs.contains("promise"));
    BOOST_TEST(pairs["confirmed/00000000000000000002/00000000000000000007"] == "0000000000000abc");
    BOOST_TEST(pairs["confirmed/00000000000000000003/00000000000000000009"] == "fedcba9876543210");
}

}  // namespace gannethold::cluster::tests
