// Size, durability and integrity of the store on the file system (store/store.hpp).
#define BOOST_TEST_MODULE store
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <random>

#include "cluster/store/store.hpp"
#include "store_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

namespace filesystem = std::filesystem;

// A state that depends only on the index and the size; its body consists of random letters.
PersistentState state_at(std::uint64_t index, std::size_t body_bytes) {
    PersistentState state;
    state.voting_state.is_member = true;
    state.voting_state.term = index;
    state.voting_state.voted_for = "10.0.0.1:80";
    state.entry.position = {index, index};
    state.entry.version = index;
    state.entry.members = {"10.0.0.1:80"};
    state.entry.confirmed = {{index, index * 7, index}};
    std::mt19937 random(static_cast<unsigned>(index));
    for (std::size_t n = 0; n < body_bytes; ++n) state.entry.body += static_cast<char>('a' + random() % 26);
    return state;
}

std::vector<filesystem::path> database_files(const TemporaryFolder& folder) {
    std::vector<filesystem::path> files;
    for (const auto& file : filesystem::directory_iterator(folder.path() / "state"))
        files.push_back(file.path());
    std::sort(files.begin(), files.end());
    return files;
}

// Writes all states to one store and closes it.
void write_all(const TemporaryFolder& folder, const std::vector<PersistentState>& states) {
    Store store;
    opened(store, folder.path());
    for (const PersistentState& state : states) write(store, state);
}

bool write_fails(Store& store, const PersistentState& state) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(store.write(state));
            return false;
        },
        [](ErrorCode code) { return code == ErrorCode::disk_failed; }, [] { return false; });
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_store_returns_the_last_state_and_its_size_is_bounded) {
    constexpr std::size_t kBodyBytes = 250'000;
    constexpr std::uint64_t kWrites = 120;
    const TemporaryFolder folder;
    {
        Store store;
        BOOST_TEST(!opened(store, folder.path()).voting_state.is_member);
        for (std::uint64_t index = 1; index <= kWrites; ++index) write(store, state_at(index, kBodyBytes));
    }
    std::uintmax_t bytes = 0;
    for (const auto& file : database_files(folder)) bytes += filesystem::file_size(file);
    BOOST_TEST(bytes < 24U << 20, bytes);  // 30 MB were written; the disk has 128 MB
    Store reopened;
    const PersistentState restored = opened(reopened, folder.path());
    BOOST_TEST(restored.voting_state.is_member);
    BOOST_TEST(restored.entry.version == kWrites);
    BOOST_TEST((restored.entry.body == state_at(kWrites, kBodyBytes).entry.body));
    BOOST_TEST((restored.entry.confirmed == state_at(kWrites, 0).entry.confirmed));
}

BOOST_AUTO_TEST_CASE(a_torn_log_is_truncated_and_never_misread) {
    constexpr std::size_t kBodyBytes = 1000;
    for (const std::uintmax_t torn : {1U, 7U, 100U, 900U, 1500U}) {
        const TemporaryFolder folder;
        write_all(folder, {state_at(1, kBodyBytes), state_at(2, kBodyBytes)});
        for (const auto& file : database_files(folder))
            if (file.extension() == ".log" && filesystem::file_size(file) > torn)
                filesystem::resize_file(file, filesystem::file_size(file) - torn);
        Store store;
        const PersistentState restored = opened(store, folder.path());
        const std::string expected = state_at(restored.entry.version, kBodyBytes).entry.body;
        BOOST_TEST((!restored.voting_state.is_member || restored.entry.body == expected));
    }
}

BOOST_AUTO_TEST_CASE(an_unreadable_store_is_treated_as_a_lost_disk) {
    const TemporaryFolder folder;
    write_all(folder, {state_at(1, 1000)});
    for (const auto& file : database_files(folder))
        if (file.filename().string().starts_with("MANIFEST")) filesystem::resize_file(file, 3);
    Store store;
    BOOST_TEST(!opened(store, folder.path()).voting_state.is_member);
    write(store, state_at(9, 10));
}

BOOST_AUTO_TEST_CASE(a_vote_is_durable_without_a_new_entry) {
    const TemporaryFolder folder;
    PersistentState state = state_at(1, 1000);
    PersistentState with_vote = state;
    with_vote.voting_state.term = 2;
    with_vote.voting_state.voted_for = "10.0.0.2:80";
    write_all(folder, {state, with_vote});
    Store store;
    const PersistentState restored = opened(store, folder.path());
    BOOST_TEST(restored.voting_state.term == 2U);
    BOOST_TEST(restored.voting_state.voted_for == "10.0.0.2:80");
    BOOST_TEST((restored.entry.position == state.entry.position));
}

BOOST_AUTO_TEST_CASE(a_write_to_a_closed_store_fails) {
    Store store;
    BOOST_TEST(write_fails(store, state_at(1, 10)));
}

BOOST_AUTO_TEST_CASE(a_store_in_a_missing_folder_cannot_be_opened) {
    const TemporaryFolder folder;
    Store store;
    const bool failed = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(store.open((folder.path() / "missing" / "folder").string()));
            return false;
        },
        [](ErrorCode code) { return code == ErrorCode::disk_failed; }, [] { return false; });
    BOOST_TEST(failed);
    BOOST_TEST(write_fails(store, state_at(1, 10)));
}

}  // namespace gannethold::cluster::tests
