#include "net/block_pool.hpp"

#include <algorithm>
#include <cstring>

namespace gannethold::net {
namespace {
constexpr std::size_t kSpare = 256;  // kept for use again; more go back to the system after a rush
}

char* BlockPool::take() {
    if (out_ >= most_) return nullptr;
    ++out_;
    if (spare_.empty()) return new char[kBytes];
    char* const block = spare_.back();
    spare_.pop_back();
    return block;
}

void BlockPool::give_back(char* block) {
    --out_;
    if (spare_.size() < kSpare)
        spare_.push_back(block);
    else
        delete[] block;
}

Blocks& Blocks::operator=(Blocks&& other) noexcept {
    if (this == &other) return *this;
    clear();
    pool_ = other.pool_;
    held_ = std::exchange(other.held_, {});
    size_ = std::exchange(other.size_, 0);
    return *this;
}

bool Blocks::append(std::string_view bytes) {
    while (!bytes.empty()) {
        if (held_.empty() || held_.back().second == BlockPool::kBytes) {
            char* const block = pool_->take();
            if (!block) return false;
            held_.emplace_back(block, 0);
        }
        auto& [block, used] = held_.back();
        const std::size_t n = std::min(bytes.size(), BlockPool::kBytes - used);
        std::memcpy(block + used, bytes.data(), n);
        used += n;
        size_ += n;
        bytes.remove_prefix(n);
    }
    return true;
}

void Blocks::clear() {
    for (const Piece& piece : held_) pool_->give_back(piece.first);
    held_.clear();
    size_ = 0;
}

void Blocks::copy_to(std::string& text) const {
    text.clear();
    for (const auto& [block, used] : held_) text.append(block, used);
}

std::string Blocks::text() const {
    std::string all;
    copy_to(all);
    return all;
}

std::vector<Blocks::Piece> Blocks::release() {
    size_ = 0;
    return std::exchange(held_, {});
}

}  // namespace gannethold::net
