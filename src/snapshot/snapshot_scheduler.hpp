// Has a keepsake written now and then without holding up the loop: a few runners a turn are told to a scribe,
// which spells, writes and syncs while the dispatcher goes on. One at a time, and not for long.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "snapshot/decay.hpp"
#include "snapshot/snapshot_writer.hpp"
#include "net/loop.hpp"

namespace gannethold::keepsake {

// What a keeper goes by.
struct Custom {
    std::string folder;  // empty: nothing is kept
    Micros every = 30'000'000;
    Prudence prudence;
};

struct Kept {
    std::uint64_t written = 0, failed = 0;
    Micros last_at = 0;                       // of the last that was written; 0: none yet
    Micros held_up = 0, longest_held_up = 0;  // the loop, by the longest turn of the last keepsake and of all
    Micros took = 0;                          // from the first part told to the word that it lies on the disk
    std::string last_failure;
    unsigned failed_in_a_row = 0;
};

class Keeper {
  public:
    struct Part {
        Record record;
        std::size_t next = 0;  // where the next one begins; 0: this was the last
    };
    // part: of all that is known, from that place on, about so many runners. Places that come or go meanwhile
    // may be missed once or told twice. heard: one line when the keeping begins to fail, fails otherwise, or
    // works again.
    Keeper(net::Loop& loop, const Shelf& shelf, Micros every,
           std::function<Part(std::size_t from, std::size_t most)> part,
           std::function<void(const std::string& line, bool good)> heard);
    Keeper(const Keeper&) = delete;
    Keeper& operator=(const Keeper&) = delete;

    void begin();     // now
    void keep_now();  // by this process itself, for the last one at an end: blocks as long as the disk does
    const Kept& kept() const { return kept_; }
    bool busy() const { return stage_ != Stage::resting; }
    pid_t scribe() const { return scribe_ ? scribe_->process() : -1; }
    // The pace after so many failures in a row, in microseconds: doubled with each, to sixteen times.
    static Micros pace(Micros every, unsigned failed_in_a_row);

  private:
    enum class Stage { resting, telling, waiting };
    void turn();
    void tell_more();
    bool claimed();
    void succeeded();
    void failed(const std::string& why);

    const Shelf shelf_;
    const Micros every_;
    const std::function<Part(std::size_t, std::size_t)> part_;
    const std::function<void(const std::string&, bool)> heard_;
    Claim claim_;
    std::unique_ptr<Scribe> scribe_;
    Stage stage_ = Stage::resting;
    std::size_t from_ = 0;
    Micros began_ = 0;
    Kept kept_;
    net::Timer timer_;
};

}  // namespace gannethold::keepsake
