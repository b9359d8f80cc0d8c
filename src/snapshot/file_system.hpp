// What a shelf asks of a file system, one call for each step that a power cut can fall between, so that a
// test can play a disk that loses what was not synced.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gannethold::keepsake {

// Errors: every call throws std::runtime_error with what was tried, the path and the system's reason.
class Disk {
  public:
    virtual int create(const std::string& path) = 0;  // empty, for writing; whatever stood there is gone
    virtual void append(int file, std::string_view bytes) = 0;
    virtual void sync(int file) = 0;
    virtual void close(int file) = 0;
    virtual bool link(const std::string& from,
                      const std::string& to) = 0;  // false: it cannot be, which may be normal
    virtual void rename(const std::string& from, const std::string& to) = 0;
    virtual void remove(const std::string& path) = 0;  // which need not be there
    virtual void sync_folder(const std::string& path) = 0;
    // The first bytes, `most` of them at the most; none: no such file.
    virtual std::optional<std::string> read(const std::string& path, std::size_t most) const = 0;

  protected:
    ~Disk() = default;
};

Disk& system_disk();

// One process's word that it alone writes a name in a folder. Ends with the process, however that ends.
class Claim {
  public:
    explicit Claim(std::string path) : path_(std::move(path)) {}
    ~Claim() { give_up(); }
    Claim(const Claim&) = delete;
    Claim& operator=(const Claim&) = delete;

    // Whether it is ours, tried anew if not: "" or why not. Against a folder that was taken away and made
    // again, in which another could claim the same name, it must be the file that stands there now.
    std::string hold();
    void give_up();

  private:
    const std::string path_;
    int file_ = -1;
};

}  // namespace gannethold::keepsake
