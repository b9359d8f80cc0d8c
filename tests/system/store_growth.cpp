// The store over thousands of changes, with the real LevelDB on a real folder: what it takes on disk stays
// bounded, it opens again soon, and gives the last state back.
#define BOOST_TEST_MODULE store_growth
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <random>

#include "cluster/store/store.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::uint64_t kWrites = 2'600;
constexpr std::uintmax_t kMostBytes = 16U << 20;
constexpr std::size_t kMostFiles = 24;
constexpr std::uint64_t kLookEvery = 50;
constexpr auto kLongestOpening = std::chrono::seconds(2);

class TemporaryFolder {
  public:
    TemporaryFolder() {
        std::string name = (std::filesystem::temp_directory_path() / "gannethold-growth-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

struct Usage {
    std::uintmax_t bytes = 0;
    std::size_t files = 0;
};

Usage usage_of(const std::string& folder) {
    Usage usage;
    for (const auto& file : std::filesystem::recursive_directory_iterator(folder)) {
        std::error_code gone;  // LevelDB drops files by itself
        const std::uintmax_t bytes = file.is_regular_file(gone) ? file.file_size(gone) : 0;
        if (gone) continue;
        usage.bytes += bytes;
        usage.files += file.is_regular_file(gone);
    }
    return usage;
}

// 200 to 300 KB that no coding shortens.
PersistentState state_at(std::uint64_t index) {
    std::mt19937 random(static_cast<unsigned>(index));
    PersistentState state;
    state.voting_state.is_member = true;
    state.voting_state.term = index;
    state.entry.position = {index, index};
    state.entry.version = index;
    state.entry.members = {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"};
    state.entry.body.resize(200'000 + random() % 100'000);
    for (char& c : state.entry.body) c = static_cast<char>(random());
    return state;
}

PersistentState opened(Store& store, const std::string& folder) {
    return leaf::try_handle_all([&] { return store.open(folder); },
                                []() -> PersistentState {
                                    BOOST_FAIL("the store does not open");
                                    return {};
                                });
}

void write(Store& store, const PersistentState& state) {
    const bool written = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(store.write(state));
            return true;
        },
        [] { return false; });
    BOOST_REQUIRE(written);
}

}  // namespace

BOOST_AUTO_TEST_CASE(thousands_of_changes_leave_a_small_folder_that_opens_soon) {
    const TemporaryFolder folder;
    Usage most;
    {
        Store store;
        opened(store, folder.path());
        for (std::uint64_t index = 1; index <= kWrites; ++index) {
            write(store, state_at(index));
            if (index % kLookEvery != 0) continue;
            const Usage now = usage_of(folder.path());
            most.bytes = std::max(most.bytes, now.bytes);
            most.files = std::max(most.files, now.files);
        }
    }
    const Usage left = usage_of(folder.path());
    BOOST_TEST_MESSAGE("at most " << most.bytes << " bytes in " << most.files << " files; at the end "
                                  << left.bytes << " in " << left.files);
    BOOST_TEST(most.bytes < kMostBytes);
    BOOST_TEST(most.files < kMostFiles);
    const auto begin = std::chrono::steady_clock::now();
    Store again;
    const PersistentState back = opened(again, folder.path());
    const auto took = std::chrono::steady_clock::now() - begin;
    BOOST_TEST_MESSAGE("opened in " << std::chrono::duration_cast<std::chrono::milliseconds>(took).count()
                                    << " ms");
    BOOST_TEST((took < kLongestOpening));
    BOOST_TEST(back.voting_state.is_member);
    BOOST_TEST(back.voting_state.term == kWrites);
    BOOST_TEST(back.entry.version == kWrites);
    BOOST_TEST((back.entry.body == state_at(kWrites).entry.body));
}

}  // namespace gannethold::cluster
