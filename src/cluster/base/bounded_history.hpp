// What was decided lately and why, in memory and bounded: the oldest goes first.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>

namespace gannethold::cluster {

template <class T>
class BoundedHistory {
  public:
    explicit BoundedHistory(std::size_t most) : most_(most) {}
    void add(T one) {
        if (kept_.size() >= most_) kept_.pop_front();
        kept_.push_back(std::move(one));
        ++all_;
    }
    const std::deque<T>& kept() const { return kept_; }
    std::size_t all() const { return all_; }  // ever

  private:
    std::size_t most_, all_ = 0;
    std::deque<T> kept_;
};

}  // namespace gannethold::cluster
