// A bounded pool of reusable buffers of one size. The bound keeps slow peers from using up all memory.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gannethold::net {

class BlockPool {
  public:
    static constexpr std::size_t kBlockBytes = 8192;

    explicit BlockPool(std::size_t max_blocks) : max_blocks_(max_blocks) {}
    ~BlockPool() {
        for (char* block : free_blocks_) delete[] block;
    }
    BlockPool(const BlockPool&) = delete;
    BlockPool& operator=(const BlockPool&) = delete;

    void set_max_blocks(std::size_t max_blocks) {
        max_blocks_ = max_blocks;
    }                 // takes effect as blocks in use are released
    char* acquire();  // nullptr if all blocks are in use
    void release(char* block);
    std::size_t in_use() const { return in_use_; }
    std::size_t max_blocks() const { return max_blocks_; }
    // Whether the few free blocks are reserved for responses: no new connection should be accepted.
    bool is_scarce() const { return in_use_ > max_blocks_ / 4 * 3; }

  private:
    std::size_t max_blocks_;
    std::size_t in_use_ = 0;
    std::vector<char*> free_blocks_;
};

// A byte string of any length, stored in blocks of a pool.
class BlockBuffer {
  public:
    explicit BlockBuffer(BlockPool& pool) : pool_(&pool) {}
    BlockBuffer(BlockBuffer&& other) noexcept
        : pool_(other.pool_),
          pieces_(std::exchange(other.pieces_, {})),
          size_(std::exchange(other.size_, 0)) {}
    BlockBuffer& operator=(BlockBuffer&& other) noexcept;
    ~BlockBuffer() { clear(); }

    bool append(std::string_view bytes);  // false: the pool ran empty, the rest is dropped
    void clear();
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    void copy_to(std::string& text) const;
    std::string to_string() const;

    using Piece = std::pair<char*, std::size_t>;
    std::vector<Piece> release_blocks();  // the caller releases the blocks to the pool
    BlockPool& pool() const { return *pool_; }

  private:
    BlockPool* pool_;
    std::vector<Piece> pieces_;
    std::size_t size_ = 0;
};

}  // namespace gannethold::net
