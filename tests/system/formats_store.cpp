// The data directory of a core machine, the one role with a disk, as LevelDB files in fixtures/. The store
// keeps a member's promises, its newest log entry and the confirmed configuration numbers; an entry that is
// being received in chunks is in memory alone.
#include <leveldb/db.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <vector>

#include "cluster/store/store.hpp"
#include "field_values.hpp"
#include "formats.hpp"

namespace gannethold::cluster::tests {
namespace {

namespace filesystem = std::filesystem;
using RawPairs = std::map<std::string, std::string>;

const std::string kFirst = "10.1.0.41:8263";
const std::string kSecond = "10.2.0.35:8263";
const std::string kThird = "10.3.0.36:8263";
const std::string kFourth = "10.3.0.37:8263";
constexpr char kDatabase[] = "state";  // the store's folder within the data directory

// What a member writes in one life after another: several configurations, one vote given in between, a
// confirmed number that is forgotten, and at the end a change of members in its joint phase.
std::vector<std::vector<PersistentState>> lives_of_member() {
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

// The change of members is over, and an older number was confirmed.
PersistentState further_step_of_member() {
    const std::vector<std::string> members{kFirst, kSecond, kFourth};
    const ConfirmedVersion eighth{8, 0x0123456789abcdefULL, 5};
    PersistentState state = lives_of_member().back().back();
    state.voting_state.term = 6;
    state.voting_state.voted_for = kFourth;
    state.entry = {{6, 5}, 9, members, {}, {state.entry.confirmed[1], eighth}, R"({"version":9})"};
    return state;
}

// A machine that lost its disk, while it asks the others: it is no member and votes in no term up to one.
std::vector<std::vector<PersistentState>> lives_of_recovering() {
    return {{{{false, 5, {}, 5, 4, kSecond}, {}}}};
}

PersistentState further_step_of_recovering() {
    return {{true, 7, kThird, 5, 7, kThird},
            {{7, 12}, 9, {kFirst, kSecond}, {}, {{9, 0xfedcba9876543210ULL, 11}}, R"({"version":9})"}};
}

struct StoreExample {
    std::string folder;
    std::vector<std::vector<PersistentState>> lives;
    PersistentState further_step;
};

std::vector<StoreExample> store_examples() {
    return {{"store_member", lives_of_member(), further_step_of_member()},
            {"store_recovering", lives_of_recovering(), further_step_of_recovering()}};
}

class TemporaryFolder {
  public:
    TemporaryFolder() {
        std::string name = (filesystem::temp_directory_path() / "gannethold-formats-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    ~TemporaryFolder() { filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const filesystem::path& path() const { return path_; }

  private:
    filesystem::path path_;
};

PersistentState opened(Store& store, const filesystem::path& folder) {
    return required<PersistentState>([&] { return store.open(folder.string()); });
}

void write(Store& store, const PersistentState& state) {
    required<bool>([&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(store.write(state));
        return true;
    });
}

void play(const filesystem::path& folder, const std::vector<std::vector<PersistentState>>& lives) {
    filesystem::create_directories(folder);
    for (const auto& life : lives) {
        Store store;
        opened(store, folder);
        for (const PersistentState& state : life) write(store, state);
    }
}

PersistentState reopened(const filesystem::path& folder) {
    Store store;
    return opened(store, folder);
}

// All keys and values, read past the store. No other process may have the folder open.
RawPairs raw_pairs(const filesystem::path& folder) {
    leveldb::Options options;
    options.create_if_missing = false;
    options.paranoid_checks = true;
    leveldb::DB* opened_database = nullptr;
    const auto status = leveldb::DB::Open(options, (folder / kDatabase).string(), &opened_database);
    BOOST_REQUIRE_MESSAGE(status.ok(), status.ToString());
    const std::unique_ptr<leveldb::DB> database(opened_database);
    RawPairs pairs;
    const std::unique_ptr<leveldb::Iterator> at(database->NewIterator({}));
    for (at->SeekToFirst(); at->Valid(); at->Next()) pairs[at->key().ToString()] = at->value().ToString();
    BOOST_REQUIRE(at->status().ok());
    return pairs;
}

void copy_fixture(const StoreExample& example, const filesystem::path& to) {
    filesystem::create_directories(to / kDatabase);
    for (const auto& file : filesystem::directory_iterator(fixtures() / example.folder / kDatabase))
        filesystem::copy_file(file.path(), to / kDatabase / file.path().filename());
}

}  // namespace

void write_store_examples(const filesystem::path& folder) {
    for (const StoreExample& example : store_examples()) {
        play(folder / example.folder, example.lives);
        // LevelDB makes these anew; the first two tell of the machine.
        for (const char* name : {"LOG", "LOG.old", "LOCK"})
            filesystem::remove(folder / example.folder / kDatabase / name);
    }
}

BOOST_AUTO_TEST_CASE(a_data_directory_of_before_is_loaded_with_the_same_values) {
    for (const StoreExample& example : store_examples()) {
        const TemporaryFolder folder;
        copy_fixture(example, folder.path());
        BOOST_TEST(same(reopened(folder.path()), example.lives.back().back()), example.folder);
    }
}

BOOST_AUTO_TEST_CASE(a_data_directory_of_before_takes_a_further_step) {
    for (const StoreExample& example : store_examples()) {
        const TemporaryFolder folder;
        copy_fixture(example, folder.path());
        {
            Store store;
            opened(store, folder.path());
            write(store, example.further_step);
        }
        BOOST_TEST(same(reopened(folder.path()), example.further_step), example.folder);
        const TemporaryFolder fresh;
        play(fresh.path(), example.lives);
        play(fresh.path(), {{example.further_step}});
        BOOST_TEST((raw_pairs(folder.path()) == raw_pairs(fresh.path())), example.folder);
    }
}

BOOST_AUTO_TEST_CASE(the_same_states_are_stored_as_the_same_keys_and_values) {
    for (const StoreExample& example : store_examples()) {
        const TemporaryFolder before;
        copy_fixture(example, before.path());
        const TemporaryFolder now;
        play(now.path(), example.lives);
        BOOST_TEST((raw_pairs(now.path()) == raw_pairs(before.path())), example.folder);
    }
}

BOOST_AUTO_TEST_CASE(keys_and_digests_stand_as_documented) {
    const TemporaryFolder folder;
    copy_fixture(store_examples().front(), folder.path());
    RawPairs pairs = raw_pairs(folder.path());
    BOOST_TEST(pairs.size() == 4U);
    BOOST_TEST(pairs.contains("entry"));
    BOOST_TEST(pairs.contains("promise"));
    BOOST_TEST(pairs["confirmed/00000000000000000002/00000000000000000007"] == "0000000000000abc");
    BOOST_TEST(pairs["confirmed/00000000000000000003/00000000000000000009"] == "fedcba9876543210");
}

}  // namespace gannethold::cluster::tests
