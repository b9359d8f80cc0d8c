// What operators and fronts do at any time of a play: orders, two bodies under one number, orders sent again
// however much later, reads and registrations; and the story that is told of it all.
#pragma once

#include <functional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "world.hpp"

namespace gannethold::cluster::played {

struct Played {
    std::vector<std::string> breaches;
    std::string story;
    std::uint64_t digest = 0;  // of all that was put out
};

class Story {
  public:
    explicit Story(const World& world) : world_(world), start_(world.now()) {}
    void first(const std::string& line) { text_ << line << "\n"; }
    void say(const std::string& text);
    std::string text() const { return text_.str(); }

  private:
    const World& world_;
    Micros start_;
    std::ostringstream text_;
};

// Numbers below n, by chance.
using Pick = std::function<std::uint64_t(std::uint64_t n)>;

class OperatorMoves {
  public:
    OperatorMoves(World& world, Story& story, Pick pick)
        : world_(world), story_(story), pick_(std::move(pick)) {}

    // The next number with a body of its own.
    void put(std::size_t core);
    // One to three operators at once: mostly with one number and different bodies.
    void puts();
    // One of these moves, at that core or at any.
    void any_at(std::size_t core);
    void any();
    Number version() const { return version_; }

  private:
    struct Sent {
        Number version = 0;
        std::string mark;
    };

    void send(const Sent& order, std::size_t core);
    std::string fresh_mark();
    // An order of before, the same again: its answer may have been lost.
    void resend(std::size_t core);
    // Another body under a number of before.
    void rival(std::size_t core);
    void overtaken(std::size_t core);  // a number that was skipped
    std::size_t anywhere() { return pick_(world_.cores()); }

    World& world_;
    Story& story_;
    Pick pick_;
    Number version_ = 0;  // the highest that was put
    std::uint64_t marks_ = 0;
    std::vector<Sent> sent_;
};

}  // namespace gannethold::cluster::played
