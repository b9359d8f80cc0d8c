#include "unsynced_changes.hpp"

#include <dlfcn.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace gannethold::cluster::tests {
namespace {

namespace filesystem = std::filesystem;

using Content = std::optional<std::string>;  // of a file; nullopt if it does not exist

struct File {
    std::string name;
    Content before;  // its content before the change
};

// A call of rename() or unlink(), and the files that it changed.
struct Change {
    std::vector<File> files;
};

struct Watch {
    std::mutex mutex;  // LevelDB compacts in a background thread
    filesystem::path folder;
    std::vector<Change> changes;
};

Watch& watch() {
    static Watch instance;
    return instance;
}

Content read(const filesystem::path& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

void restore(const filesystem::path& path, const Content& content) {
    if (!content) {
        filesystem::remove(path);
        return;
    }
    std::ofstream(path, std::ios::binary | std::ios::trunc) << *content;
}

bool is_watched(const filesystem::path& path) { return path.parent_path() == watch().folder; }

File file_before(const filesystem::path& path) { return {path.filename(), read(path)}; }

// The path of an open file.
filesystem::path path_of(int descriptor) {
    std::error_code ignored;
    return filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor), ignored);
}

void on_synced(int descriptor) {
    const filesystem::path path = path_of(descriptor);
    const std::scoped_lock lock(watch().mutex);
    if (path == watch().folder) watch().changes.clear();
}

// The C library's function that the one in this file replaces.
template <class Function>
Function* original(const char* name) {
    return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

void watch_folder(const filesystem::path& folder) {
    const std::scoped_lock lock(watch().mutex);
    watch().folder = folder;
    watch().changes.clear();
}

std::size_t unsynced_change_count() {
    const std::scoped_lock lock(watch().mutex);
    return watch().changes.size();
}

void copy_after_power_loss(const filesystem::path& copy, std::size_t kept) {
    const std::scoped_lock lock(watch().mutex);
    filesystem::copy(watch().folder, copy, filesystem::copy_options::recursive);
    for (std::size_t index = watch().changes.size(); index-- > 0;) {
        if ((kept >> index & 1U) != 0) continue;
        for (const File& file : watch().changes[index].files) restore(copy / file.name, file.before);
    }
}

}  // namespace gannethold::cluster::tests

using gannethold::cluster::tests::file_before;
using gannethold::cluster::tests::is_watched;
using gannethold::cluster::tests::on_synced;
using gannethold::cluster::tests::original;
using gannethold::cluster::tests::watch;

// The C library's declarations name the parameters with reserved identifiers.
// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name)
extern "C" int rename(const char* from, const char* to) noexcept {
    const std::scoped_lock lock(watch().mutex);
    if (is_watched(to)) watch().changes.push_back({{file_before(from), file_before(to)}});
    return original<int(const char*, const char*)>("rename")(from, to);
}

extern "C" int unlink(const char* path) noexcept {
    const std::scoped_lock lock(watch().mutex);
    if (is_watched(path)) watch().changes.push_back({{file_before(path)}});
    return original<int(const char*)>("unlink")(path);
}

extern "C" int fsync(int descriptor) {
    const int status = original<int(int)>("fsync")(descriptor);
    if (status == 0) on_synced(descriptor);
    return status;
}

extern "C" int fdatasync(int descriptor) {
    const int status = original<int(int)>("fdatasync")(descriptor);
    if (status == 0) on_synced(descriptor);
    return status;
}
// NOLINTEND(readability-inconsistent-declaration-parameter-name)
