#include "snapshot/folder_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstring>

namespace gannethold::snapshot {

std::string FolderLock::acquire() {
    if (is_held()) return "";
    release();
    file_.reset(::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!file_.is_open()) return "snapshot: cannot lock " + path_ + ": " + std::strerror(errno);
    if (::flock(file_.get(), LOCK_EX | LOCK_NB) == 0) return "";
    const int error = errno;
    release();
    if (error == EWOULDBLOCK)
        return "snapshot: another dispatcher of this name writes to this folder (" + path_ +
               "), so this one writes nothing";
    return "snapshot: cannot lock " + path_ + ": " + std::strerror(error);
}

bool FolderLock::is_held() const {
    struct stat ours {};
    struct stat named {};
    return file_.is_open() && ::fstat(file_.get(), &ours) == 0 && ::stat(path_.c_str(), &named) == 0 &&
           ours.st_ino == named.st_ino && ours.st_dev == named.st_dev;
}

}  // namespace gannethold::snapshot
