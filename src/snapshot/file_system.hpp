// The file system operations of a SnapshotStore, one call for each step at which power can fail, so that a
// test can simulate a disk that loses unsynced data.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gannethold::snapshot {

// All errors are reported as std::runtime_error with the operation, the path and the system's reason.

// A file that is open for writing; closed by its destructor, without a sync.
class WritableFile {
  public:
    WritableFile() = default;
    virtual ~WritableFile() = default;
    WritableFile(const WritableFile&) = delete;
    WritableFile& operator=(const WritableFile&) = delete;

    virtual void append(std::string_view bytes) = 0;
    // After it returns, the appended bytes survive a power failure, if the file's name does.
    virtual void sync() = 0;
};

class FileSystem {
  public:
    FileSystem() = default;
    virtual ~FileSystem() = default;
    FileSystem(const FileSystem&) = delete;
    FileSystem& operator=(const FileSystem&) = delete;

    // Creates an empty file; an existing one of that name is replaced.
    virtual std::unique_ptr<WritableFile> create(const std::string& path) = 0;
    // Adds a second name to a file. False, which is not an error: `from` does not exist, or `to` does.
    virtual bool link(const std::string& from, const std::string& to) = 0;
    virtual void rename(const std::string& from, const std::string& to) = 0;
    virtual void remove(const std::string& path) = 0;  // need not exist
    // After it returns, the names in the folder survive a power failure.
    virtual void sync_folder(const std::string& path) = 0;
    // At most the first `max_bytes` bytes of a file; nullopt: no such file.
    virtual std::optional<std::string> read(const std::string& path, std::size_t max_bytes) const = 0;
};

// The operating system's; lives as long as the process.
FileSystem& posix_file_system();

}  // namespace gannethold::snapshot
