#include "snapshot/snapshot_store.hpp"

#include <algorithm>
#include <stdexcept>

namespace gannethold::keepsake {
namespace {

constexpr std::size_t kPiece = 64 * 1024;

// A file that is longer than any of ours is cut there, and found wrong by its length.
constexpr std::size_t kMost = kLongestFile + 1;

}  // namespace

std::string read_whole(const std::string& path) {
    const auto bytes = system_disk().read(path, kMost);
    if (!bytes) throw std::runtime_error("cannot be opened");
    return *bytes;
}

Shelf::Shelf(std::string folder, const std::string& name, Disk& disk)
    : folder_(std::move(folder)), path_(folder_ + "/" + name + ".keep"), disk_(&disk) {}

void Shelf::put(const std::string& bytes) const {
    const std::string aside = path_ + ".new", before = path_ + ".before", linked = path_ + ".link";
    // Against going back to an older program: what the newer one learned is not ours to write over.
    if (const auto there = disk_->read(path_, kHeadBytes); there && form_of(*there) > kForm)
        throw std::runtime_error("keepsake: " + path_ + " is of a newer form (" +
                                 std::to_string(form_of(*there)) + ") and is left alone");
    const int file = disk_->create(aside);
    try {
        for (std::string_view left = bytes; !left.empty(); left.remove_prefix(std::min(kPiece, left.size())))
            disk_->append(file, left.substr(0, kPiece));
        disk_->sync(file);
    } catch (...) {
        disk_->close(file);
        disk_->remove(aside);  // on a full disk it is in the way of everybody else
        throw;
    }
    disk_->close(file);
    // By a link, so that there is no moment without a file in its place.
    disk_->remove(linked);
    if (disk_->link(path_, linked)) disk_->rename(linked, before);
    disk_->rename(aside, path_);
    disk_->sync_folder(folder_);
}

Shelf::Found Shelf::take() const {
    Found found;
    for (const std::string& path : {path_, path_ + ".before"}) {
        try {
            const auto bytes = disk_->read(path, kMost);
            if (!bytes) continue;
            found.record = read(*bytes);
            found.file = path;
            return found;
        } catch (const std::exception& e) {
            found.passed_over.push_back(path + ": " + e.what());
        }
    }
    return found;
}

}  // namespace gannethold::keepsake
