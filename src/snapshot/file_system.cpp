#include "snapshot/file_system.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <algorithm>
#include <stdexcept>

namespace gannethold::keepsake {
namespace {

[[noreturn]] void fail(const char* what, const std::string& path) {
    throw std::runtime_error(std::string("keepsake: cannot ") + what + " " + path + ": " +
                             std::strerror(errno));
}

class SystemDisk final : public Disk {
  public:
    int create(const std::string& path) override {
        const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
        if (file < 0) fail("write", path);
        return file;
    }
    void append(int file, std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t n = ::write(file, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) fail("write", "the file aside");
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    void sync(int file) override {
        if (::fsync(file) != 0) fail("sync", "the file aside");
    }
    void close(int file) override { ::close(file); }
    bool link(const std::string& from, const std::string& to) override {
        return ::link(from.c_str(), to.c_str()) == 0;
    }
    void rename(const std::string& from, const std::string& to) override {
        if (::rename(from.c_str(), to.c_str()) != 0) fail("rename", from);
    }
    void remove(const std::string& path) override { ::unlink(path.c_str()); }
    void sync_folder(const std::string& path) override {
        const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (folder < 0) fail("open", path);
        const bool synced = ::fsync(folder) == 0;
        const int why = errno;
        ::close(folder);
        errno = why;
        if (!synced) fail("sync", path);
    }
    std::optional<std::string> read(const std::string& path, std::size_t most) const override {
        const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        if (file < 0 && errno == ENOENT) return std::nullopt;
        if (file < 0) fail("read", path);
        std::string bytes;
        char piece[65'536];
        ssize_t n = 0;
        // By what comes, not by what the file says that it holds.
        while (bytes.size() < most &&
               (n = ::read(file, piece, std::min(sizeof piece, most - bytes.size()))) > 0)
            bytes.append(piece, static_cast<std::size_t>(n));
        const int why = errno;
        ::close(file);
        errno = why;
        if (n < 0) fail("read", path);
        return bytes;
    }
};

}  // namespace

Disk& system_disk() {
    static SystemDisk disk;
    return disk;
}

std::string Claim::hold() {
    struct stat ours {
    }, there{};
    if (file_ >= 0 && ::fstat(file_, &ours) == 0 && ::stat(path_.c_str(), &there) == 0 &&
        ours.st_ino == there.st_ino && ours.st_dev == there.st_dev)
        return "";
    give_up();
    file_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file_ < 0) return "keepsake: cannot claim " + path_ + ": " + std::strerror(errno);
    if (::flock(file_, LOCK_EX | LOCK_NB) == 0) return "";
    const bool taken = errno == EWOULDBLOCK;
    const std::string why = std::strerror(errno);
    give_up();
    return taken ? "keepsake: another dispatcher of this name keeps in this folder (" + path_ +
                       "), so this one keeps nothing"
                 : "keepsake: cannot claim " + path_ + ": " + why;
}

void Claim::give_up() {
    if (file_ >= 0) ::close(file_);
    file_ = -1;
}

}  // namespace gannethold::keepsake
