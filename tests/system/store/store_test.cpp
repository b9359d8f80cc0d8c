// The store on a real folder: bounded, durable, and never misread (store/store.hpp).
#define BOOST_TEST_MODULE store
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <random>

#include "cluster/store/store.hpp"

namespace gannethold::cluster {
namespace {

PersistentState kept(std::uint64_t index, std::size_t bytes) {
    PersistentState d;
    d.promise = {true, index, "10.0.0.1:80", 0, 0, {}};
    d.entry = {{index, index}, index, {"10.0.0.1:80"}, {}, {{index, index * 7, index}}, {}};
    std::mt19937 random(static_cast<unsigned>(index));
    for (std::size_t n = 0; n < bytes; ++n) d.entry.body += static_cast<char>('a' + random() % 26);
    return d;
}

struct Folder {
    std::string path;
    Folder() {
        char name[] = "/tmp/gannethold-store-XXXXXX";
        path = mkdtemp(name);
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    ~Folder() { std::filesystem::remove_all(path); }
    std::vector<std::filesystem::path> files() const {
        std::vector<std::filesystem::path> all;
        for (const auto& f : std::filesystem::directory_iterator(path + "/state")) all.push_back(f.path());
        std::sort(all.begin(), all.end());
        return all;
    }
};

PersistentState opened(Store& store, const std::string& folder) {
    return leaf::try_handle_all([&] { return store.open(folder); },
                                []() -> PersistentState {
                                    BOOST_FAIL("the store does not open");
                                    return {};
                                });
}
void written(Store& store, const PersistentState& d) {
    BOOST_TEST(leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(store.write(d));
            return true;
        },
        [] { return false; }));
}

BOOST_AUTO_TEST_CASE(the_store_gives_back_what_was_written_and_stays_under_its_bound) {
    Folder folder;
    {
        Store store;
        BOOST_TEST(!opened(store, folder.path).promise.member);
        for (std::uint64_t n = 1; n <= 120; ++n) written(store, kept(n, 250'000));
    }
    std::uintmax_t bytes = 0;
    for (const auto& f : folder.files()) bytes += std::filesystem::file_size(f);
    BOOST_TEST(bytes < 24U << 20, bytes);  // 30 MB were written; the disk holds 128
    Store again;
    const PersistentState back = opened(again, folder.path);
    BOOST_TEST(back.promise.member);
    BOOST_TEST(back.entry.version == 120U);
    BOOST_TEST((back.entry.body == kept(120, 250'000).entry.body));
}

BOOST_AUTO_TEST_CASE(a_torn_tail_is_cut_and_never_read_as_something_else) {
    for (const std::uintmax_t torn : {1U, 7U, 100U, 900U, 1500U}) {
        Folder folder;
        {
            Store store;
            opened(store, folder.path);
            written(store, kept(1, 1000));
            written(store, kept(2, 1000));
        }
        for (const auto& f : folder.files())
            if (f.extension() == ".log" && std::filesystem::file_size(f) > torn)
                std::filesystem::resize_file(f, std::filesystem::file_size(f) - torn);
        Store store;
        const PersistentState back = opened(store, folder.path);
        BOOST_TEST((!back.promise.member || back.entry.body == kept(back.entry.version, 1000).entry.body));
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_can_not_be_read_is_a_lost_disk) {
    Folder folder;
    {
        Store store;
        opened(store, folder.path);
        written(store, kept(1, 1000));
    }
    for (const auto& f : folder.files())
        if (f.filename().string().starts_with("MANIFEST")) std::filesystem::resize_file(f, 3);
    Store store;
    BOOST_TEST(!opened(store, folder.path).promise.member);
    written(store, kept(9, 10));
    Store again;
}

}  // namespace
}  // namespace gannethold::cluster
