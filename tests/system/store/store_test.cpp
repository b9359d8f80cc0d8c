// The store on a real folder: bounded, durable, and never misread (store/store.hpp).
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

// The same state for the same index, with a body of random letters.
PersistentState state_at(std::uint64_t index, std::size_t body_bytes) {
    PersistentState state;
    state.promise.member = true;
    state.promise.term = index;
    state.promise.voted_for = "10.0.0.1:80";
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

// All states are written by one store, which is closed then.
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

BOOST_AUTO_TEST_CASE(the_store_gives_back_what_was_written_and_stays_under_its_bound) {
    constexpr std::size_t kBodyBytes = 250'000;
    constexpr std::uint64_t kWrites = 120;
    const TemporaryFolder folder;
    {
        Store store;
        BOOST_TEST(!opened(store, folder.path()).promise.member);
        for (std::uint64_t index = 1; index <= kWrites; ++index) write(store, state_at(index, kBodyBytes));
    }
    std::uintmax_t bytes = 0;
    for (const auto& file : database_files(folder)) bytes += filesystem::file_size(file);
    BOOST_TEST(bytes < 24U << 20, bytes);  // 30 MB were written; the disk holds 128
    Store again;
    const PersistentState back = opened(again, folder.path());
    BOOST_TEST(back.promise.member);
    BOOST_TEST(back.entry.version == kWrites);
    BOOST_TEST((back.entry.body == state_at(kWrites, kBodyBytes).entry.body));
    BOOST_TEST((back.entry.confirmed == state_at(kWrites, 0).entry.confirmed));
}

BOOST_AUTO_TEST_CASE(a_torn_tail_is_cut_and_never_read_as_something_else) {
    constexpr std::size_t kBodyBytes = 1000;
    for (const std::uintmax_t torn : {1U, 7U, 100U, 900U, 1500U}) {
        const TemporaryFolder folder;
        write_all(folder, {state_at(1, kBodyBytes), state_at(2, kBodyBytes)});
        for (const auto& file : database_files(folder))
            if (file.extension() == ".log" && filesystem::file_size(file) > torn)
                filesystem::resize_file(file, filesystem::file_size(file) - torn);
        Store store;
        const PersistentState back = opened(store, folder.path());
        const std::string expected = state_at(back.entry.version, kBodyBytes).entry.body;
        BOOST_TEST((!back.promise.member || back.entry.body == expected));
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_can_not_be_read_is_a_lost_disk) {
    const TemporaryFolder folder;
    write_all(folder, {state_at(1, 1000)});
    for (const auto& file : database_files(folder))
        if (file.filename().string().starts_with("MANIFEST")) filesystem::resize_file(file, 3);
    Store store;
    BOOST_TEST(!opened(store, folder.path()).promise.member);
    write(store, state_at(9, 10));
}

BOOST_AUTO_TEST_CASE(a_promise_is_durable_without_a_new_entry) {
    const TemporaryFolder folder;
    PersistentState state = state_at(1, 1000);
    PersistentState promised = state;
    promised.promise.term = 2;
    promised.promise.voted_for = "10.0.0.2:80";
    write_all(folder, {state, promised});
    Store store;
    const PersistentState back = opened(store, folder.path());
    BOOST_TEST(back.promise.term == 2U);
    BOOST_TEST(back.promise.voted_for == "10.0.0.2:80");
    BOOST_TEST((back.entry.position == state.entry.position));
}

BOOST_AUTO_TEST_CASE(a_store_that_is_not_open_fails_to_write) {
    Store store;
    BOOST_TEST(write_fails(store, state_at(1, 10)));
}

BOOST_AUTO_TEST_CASE(a_folder_that_is_not_there_fails_to_open) {
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
