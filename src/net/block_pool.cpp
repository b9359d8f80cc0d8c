#include "net/block_pool.hpp"

#include <algorithm>
#include <cstring>

namespace gannethold::net {
namespace {
constexpr std::size_t kMaxFreeBlocks = 256;  // kept for reuse; further ones are returned to the system
}

char* BlockPool::acquire() {
    if (in_use_ >= max_blocks_) return nullptr;
    ++in_use_;
    if (free_blocks_.empty()) return new char[kBlockBytes];
    char* const block = free_blocks_.back();
    free_blocks_.pop_back();
    return block;
}

void BlockPool::release(char* block) {
    --in_use_;
    if (free_blocks_.size() < kMaxFreeBlocks)
        free_blocks_.push_back(block);
    else
        delete[] block;
}

BlockBuffer& BlockBuffer::operator=(BlockBuffer&& other) noexcept {
    if (this == &other) return *this;
    clear();
    pool_ = other.pool_;
    pieces_ = std::exchange(other.pieces_, {});
    size_ = std::exchange(other.size_, 0);
    return *this;
}

bool BlockBuffer::append(std::string_view bytes) {
    while (!bytes.empty()) {
        if (pieces_.empty() || pieces_.back().second == BlockPool::kBlockBytes) {
            char* const block = pool_->acquire();
            if (!block) return false;
            pieces_.emplace_back(block, 0);
        }
        auto& [block, used] = pieces_.back();
        const std::size_t n = std::min(bytes.size(), BlockPool::kBlockBytes - used);
        std::memcpy(block + used, bytes.data(), n);
        used += n;
        size_ += n;
        bytes.remove_prefix(n);
    }
    return true;
}

void BlockBuffer::clear() {
    for (const Piece& piece : pieces_) pool_->release(piece.first);
    pieces_.clear();
    size_ = 0;
}

void BlockBuffer::copy_to(std::string& text) const {
    text.clear();
    for (const auto& [block, used] : pieces_) text.append(block, used);
}

std::string BlockBuffer::to_string() const {
    std::string all;
    copy_to(all);
    return all;
}

std::vector<BlockBuffer::Piece> BlockBuffer::release_blocks() {
    size_ = 0;
    return std::exchange(pieces_, {});
}

}  // namespace gannethold::net
