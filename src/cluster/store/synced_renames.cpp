#include "cluster/store/synced_renames.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>

namespace gannethold::cluster {
namespace {

leveldb::Status last_error(const std::string& path) {
    return leveldb::Status::IOError(path, std::generic_category().message(errno));
}

leveldb::Status sync_directory(const std::string& directory) {
    const int descriptor = ::open(directory.c_str(), O_RDONLY | O_CLOEXEC | O_DIRECTORY);
    if (descriptor < 0) return last_error(directory);
    leveldb::Status status = ::fsync(descriptor) == 0 ? leveldb::Status::OK() : last_error(directory);
    ::close(descriptor);
    return status;
}

}  // namespace

SyncedRenames::SyncedRenames() : EnvWrapper(leveldb::Env::Default()) {}

leveldb::Status SyncedRenames::RenameFile(const std::string& from, const std::string& to) {
    leveldb::Status status = target()->RenameFile(from, to);
    if (!status.ok()) return status;
    return sync_directory(std::filesystem::path(to).parent_path().string());
}

}  // namespace gannethold::cluster
