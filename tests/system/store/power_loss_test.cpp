// The state of the store after a power loss (unsynced_changes.hpp). Guards against a core that loses its
// state when its machines lose power after a restart (CONFIG, RECOVER).
#define BOOST_TEST_MODULE store_power_loss
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

#include "cluster/store/store.hpp"
#include "store_fixture.hpp"
#include "unsynced_changes.hpp"

namespace gannethold::cluster::tests {
namespace {

constexpr char kDatabaseFolder[] = "state";
// The number of newest unsynced changes that are kept or lost in every combination.
constexpr std::size_t kMaxCombined = 9;

PersistentState state_at(std::uint64_t version, std::size_t body_bytes) {
    PersistentState state;
    state.voting_state.is_member = true;
    state.voting_state.term = 1;
    state.entry.position = {1, version};
    state.entry.version = version;
    state.entry.members = {"10.0.0.1:80"};
    state.entry.body = std::string(body_bytes, static_cast<char>('a' + version % 26));
    return state;
}

// Opens the store and writes the versions from first to last.
void write_versions(const TemporaryFolder& folder, std::uint64_t first, std::uint64_t last,
                    std::size_t body_bytes) {
    Store store;
    opened(store, folder.path());
    for (std::uint64_t version = first; version <= last; ++version)
        write(store, state_at(version, body_bytes));
}

// Checks that the store has the version, whichever of the unsynced changes are kept.
void check_every_power_loss(std::uint64_t version) {
    const std::size_t count = unsynced_change_count();
    const std::size_t combined = std::min(count, kMaxCombined);
    const std::size_t older = (std::size_t{1} << (count - combined)) - 1;  // always kept
    for (std::size_t kept = 0; kept < std::size_t{1} << combined; ++kept) {
        const TemporaryFolder copy;
        copy_after_power_loss(copy.path() / kDatabaseFolder, kept << (count - combined) | older);
        Store store;
        const PersistentState found = opened(store, copy.path());
        BOOST_TEST(found.voting_state.is_member, "kept " << kept << " of " << count);
        BOOST_TEST(found.entry.version == version, "kept " << kept << " of " << count);
    }
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_new_store_survives_a_power_loss) {
    const TemporaryFolder folder;
    watch_folder(folder.path() / kDatabaseFolder);
    write_versions(folder, 1, 1, 1000);
    check_every_power_loss(1);
}

BOOST_AUTO_TEST_CASE(a_reopened_store_survives_a_power_loss) {
    const TemporaryFolder folder;
    write_versions(folder, 1, 3, 1000);
    watch_folder(folder.path() / kDatabaseFolder);
    write_versions(folder, 4, 4, 1000);
    check_every_power_loss(4);
}

BOOST_AUTO_TEST_CASE(a_store_with_many_changes_survives_a_power_loss) {
    constexpr std::size_t kBodyBytes = 250'000;
    constexpr std::uint64_t kVersions = 40;
    const TemporaryFolder folder;
    write_versions(folder, 1, kVersions, kBodyBytes);
    watch_folder(folder.path() / kDatabaseFolder);
    write_versions(folder, kVersions + 1, kVersions + 2, kBodyBytes);
    check_every_power_loss(kVersions + 2);
    write_versions(folder, kVersions + 3, 2 * kVersions, kBodyBytes);
    check_every_power_loss(2 * kVersions);
}

}  // namespace gannethold::cluster::tests
