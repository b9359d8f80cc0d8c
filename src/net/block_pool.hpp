// Buffers of one size, used again. A pool has a bound, so that slow peers can not take all memory.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gannethold::net {

class BlockPool {
  public:
    static constexpr std::size_t kBytes = 8192;

    explicit BlockPool(std::size_t most) : most_(most) {}
    ~BlockPool() {
        for (char* block : spare_) delete[] block;
    }
    BlockPool(const BlockPool&) = delete;
    BlockPool& operator=(const BlockPool&) = delete;

    void bound(std::size_t most) {
        most_ = most;
    }              // from now on; what is out beyond it comes back in its time
    char* take();  // nullptr once all are out
    void give_back(char* block);
    std::size_t out() const { return out_; }
    std::size_t most() const { return most_; }
    // So few are left that they are kept for answers: what is new must wait outside.
    bool scarce() const { return out_ > most_ / 4 * 3; }

  private:
    std::size_t most_;
    std::size_t out_ = 0;
    std::vector<char*> spare_;
};

// A text of any length in blocks of the pool.
class Blocks {
  public:
    explicit Blocks(BlockPool& pool) : pool_(&pool) {}
    Blocks(Blocks&& other) noexcept
        : pool_(other.pool_), held_(std::exchange(other.held_, {})), size_(std::exchange(other.size_, 0)) {}
    Blocks& operator=(Blocks&& other) noexcept;
    ~Blocks() { clear(); }

    bool append(std::string_view bytes);  // false, with nothing kept of the rest, once the pool is empty
    void clear();
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    void copy_to(std::string& text) const;
    std::string text() const;

    using Piece = std::pair<char*, std::size_t>;
    std::vector<Piece> release();  // the caller gives the blocks back
    BlockPool& pool() const { return *pool_; }

  private:
    BlockPool* pool_;
    std::vector<Piece> held_;
    std::size_t size_ = 0;
};

}  // namespace gannethold::net
