#include "snapshot/snapshot_store.hpp"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

#include "snapshot/snapshot_format.hpp"

namespace gannethold::snapshot {
namespace {

constexpr std::size_t kWriteChunkBytes = 65'536;
constexpr const char* kPreviousSuffix = ".before";
constexpr const char* kTemporarySuffix = ".new";
constexpr const char* kLinkSuffix = ".link";

// A longer file is read up to here, and then rejected for its length.
constexpr std::size_t kMaxReadBytes = kMaxFileBytes + 1;

}  // namespace

std::string read_file(const std::string& path) {
    auto bytes = posix_file_system().read(path, kMaxReadBytes);
    if (!bytes) throw std::runtime_error("cannot be opened");
    return *std::move(bytes);
}

SnapshotStore::SnapshotStore(std::string folder, const std::string& name, FileSystem& file_system)
    : folder_(std::move(folder)), path_(folder_ + "/" + name + ".keep"), file_system_(&file_system) {}

void SnapshotStore::write(std::string_view bytes) const {
    refuse_newer_format();
    const std::string temporary = path_ + kTemporarySuffix;
    write_and_sync(temporary, bytes);
    // The previous generation is linked, not renamed, so that a file is in place at all times.
    const std::string linked = path_ + kLinkSuffix;
    file_system_->remove(linked);
    if (file_system_->link(path_, linked)) file_system_->rename(linked, path_ + kPreviousSuffix);
    file_system_->rename(temporary, path_);
    file_system_->sync_folder(folder_);
}

// After a downgrade, the older program must not overwrite the learned state of the newer one.
void SnapshotStore::refuse_newer_format() const {
    const auto header = file_system_->read(path_, kHeaderBytes);
    if (!header) return;
    const std::uint32_t version = format_version_of(*header);
    if (version > kFormatVersion)
        throw std::runtime_error("snapshot: " + path_ + " is of a newer format version (" +
                                 std::to_string(version) + ") and is left alone");
}

void SnapshotStore::write_and_sync(const std::string& path, std::string_view bytes) const {
    const std::unique_ptr<WritableFile> file = file_system_->create(path);
    try {
        for (; !bytes.empty(); bytes.remove_prefix(std::min(kWriteChunkBytes, bytes.size())))
            file->append(bytes.substr(0, kWriteChunkBytes));
        file->sync();
    } catch (...) {
        file_system_->remove(path);  // a full disk needs the space
        throw;
    }
}

SnapshotStore::LoadResult SnapshotStore::load() const {
    LoadResult result;
    for (const std::string& path : {path_, path_ + kPreviousSuffix}) {
        try {
            const auto bytes = file_system_->read(path, kMaxReadBytes);
            if (!bytes) continue;
            result.snapshot = decode(*bytes);
            result.file = path;
            return result;
        } catch (const std::exception& error) {
            result.skipped.push_back(path + ": " + error.what());
        }
    }
    return result;
}

}  // namespace gannethold::snapshot
