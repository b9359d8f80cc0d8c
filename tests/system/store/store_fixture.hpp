// A temporary folder per test, and functions that open and write a store or fail the test.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

#include <boost/test/unit_test.hpp>

#include "cluster/store/store.hpp"
#include "required.hpp"

namespace gannethold::cluster::tests {

// Created in the constructor and removed in the destructor.
class TemporaryFolder {
  public:
    TemporaryFolder() {
        std::string name = (std::filesystem::temp_directory_path() / "gannethold-store-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::filesystem::path& path() const { return path_; }

  private:
    std::filesystem::path path_;
};

inline PersistentState opened(Store& store, const std::filesystem::path& folder) {
    return required<PersistentState>([&] { return store.open(folder.string()); });
}

inline void write(Store& store, const PersistentState& state) {
    BOOST_REQUIRE(required<bool>([&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(store.write(state));
        return true;
    }));
}

}  // namespace gannethold::cluster::tests
