// Owns one file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace gannethold::snapshot {

class FileDescriptor {
  public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
    ~FileDescriptor() { reset(); }
    FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, kNone)) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        reset(std::exchange(other.descriptor_, kNone));
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;

    bool is_open() const { return descriptor_ >= 0; }
    int get() const { return descriptor_; }
    // Closes the descriptor that is open, if any, and owns the new one.
    void reset(int descriptor = kNone) {
        const int old = std::exchange(descriptor_, descriptor);
        if (old >= 0) ::close(old);
    }

  private:
    static constexpr int kNone = -1;

    int descriptor_ = kNone;
};

}  // namespace gannethold::snapshot
