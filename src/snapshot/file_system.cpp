#include "snapshot/file_system.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>

#include "snapshot/file_descriptor.hpp"

namespace gannethold::snapshot {
namespace {

constexpr std::size_t kReadChunkBytes = 65'536;

[[noreturn]] void throw_errno(const char* operation, const std::string& path) {
    const int error = errno;
    throw std::runtime_error(std::string("snapshot: cannot ") + operation + " " + path + ": " +
                             std::strerror(error));
}

class PosixFile final : public WritableFile {
  public:
    PosixFile(FileDescriptor file, std::string path) : file_(std::move(file)), path_(std::move(path)) {}

    void append(std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t written = ::write(file_.get(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR) continue;
            if (written <= 0) throw_errno("write", path_);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
    }
    void sync() override {
        if (::fsync(file_.get()) != 0) throw_errno("sync", path_);
    }

  private:
    FileDescriptor file_;
    std::string path_;
};

class PosixFileSystem final : public FileSystem {
  public:
    std::unique_ptr<WritableFile> create(const std::string& path) override {
        FileDescriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
        if (!file.is_open()) throw_errno("write", path);
        return std::make_unique<PosixFile>(std::move(file), path);
    }
    bool link(const std::string& from, const std::string& to) override {
        return ::link(from.c_str(), to.c_str()) == 0;
    }
    void rename(const std::string& from, const std::string& to) override {
        if (::rename(from.c_str(), to.c_str()) != 0) throw_errno("rename", from);
    }
    void remove(const std::string& path) override { ::unlink(path.c_str()); }
    void sync_folder(const std::string& path) override {
        const FileDescriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!folder.is_open()) throw_errno("open", path);
        if (::fsync(folder.get()) != 0) throw_errno("sync", path);
    }
    std::optional<std::string> read(const std::string& path, std::size_t max_bytes) const override {
        const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.is_open() && errno == ENOENT) return std::nullopt;
        if (!file.is_open()) throw_errno("read", path);
        std::string bytes;
        std::array<char, kReadChunkBytes> chunk{};
        // Reads until the end of the file, regardless of the size in its metadata.
        while (bytes.size() < max_bytes) {
            const ssize_t count =
                ::read(file.get(), chunk.data(), std::min(chunk.size(), max_bytes - bytes.size()));
            if (count < 0) throw_errno("read", path);
            if (count == 0) break;
            bytes.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return bytes;
    }
};

}  // namespace

FileSystem& posix_file_system() {
    static PosixFileSystem file_system;
    return file_system;
}

}  // namespace gannethold::snapshot
