// The store after thousands of writes to the file system: its size on disk is bounded, it opens quickly, and
// it returns the last state.
#define BOOST_TEST_MODULE store_growth
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <random>

#include "cluster/store/store.hpp"
#include "store_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

constexpr std::uint64_t kWrites = 2'600;
constexpr std::uintmax_t kMaxBytes = 16U << 20;
constexpr std::size_t kMaxFiles = 24;
constexpr std::uint64_t kMeasureEvery = 50;
constexpr auto kMaxOpenTime = std::chrono::seconds(2);

struct Usage {
    std::uintmax_t bytes = 0;
    std::size_t files = 0;
};

Usage usage_of(const std::filesystem::path& folder) {
    Usage usage;
    for (const auto& file : std::filesystem::recursive_directory_iterator(folder)) {
        std::error_code error;  // LevelDB removes files concurrently
        const std::uintmax_t bytes = file.is_regular_file(error) ? file.file_size(error) : 0;
        if (error) continue;
        usage.bytes += bytes;
        usage.files += file.is_regular_file(error);
    }
    return usage;
}

// A state with an incompressible body of 200 to 300 KB.
PersistentState state_at(std::uint64_t index) {
    std::mt19937 random(static_cast<unsigned>(index));
    PersistentState state;
    state.voting_state.is_member = true;
    state.voting_state.term = index;
    state.entry.position = {index, index};
    state.entry.version = index;
    state.entry.members = {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"};
    state.entry.body.resize(200'000 + random() % 100'000);
    for (char& byte : state.entry.body) byte = static_cast<char>(random());
    return state;
}

}  // namespace

BOOST_AUTO_TEST_CASE(after_thousands_of_writes_the_store_is_small_and_opens_quickly) {
    const TemporaryFolder folder;
    Usage peak;
    {
        Store store;
        opened(store, folder.path());
        for (std::uint64_t index = 1; index <= kWrites; ++index) {
            write(store, state_at(index));
            if (index % kMeasureEvery != 0) continue;
            const Usage now = usage_of(folder.path());
            peak.bytes = std::max(peak.bytes, now.bytes);
            peak.files = std::max(peak.files, now.files);
        }
    }
    const Usage final_usage = usage_of(folder.path());
    BOOST_TEST_MESSAGE("at most " << peak.bytes << " bytes in " << peak.files << " files; at the end "
                                  << final_usage.bytes << " in " << final_usage.files);
    BOOST_TEST(peak.bytes < kMaxBytes);
    BOOST_TEST(peak.files < kMaxFiles);
    const auto begin = std::chrono::steady_clock::now();
    Store reopened;
    const PersistentState restored = opened(reopened, folder.path());
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    BOOST_TEST_MESSAGE("opened in " << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()
                                    << " ms");
    BOOST_TEST((elapsed < kMaxOpenTime));
    BOOST_TEST(restored.voting_state.is_member);
    BOOST_TEST(restored.voting_state.term == kWrites);
    BOOST_TEST(restored.entry.version == kWrites);
    BOOST_TEST((restored.entry.body == state_at(kWrites).entry.body));
}

}  // namespace gannethold::cluster::tests
