// What the stand-ins of one rehearsal on sockets share: the loop, the day's clock, the theatre, the judge,
// and an agenda of what is to happen later.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "judge/judge.hpp"
#include "model/theatre.hpp"
#include "net/loop.hpp"
#include "results/latencies.hpp"

namespace gannethold::rehearsal {

// Things to be done at points of the day, in their order; how late each was is kept.
class Agenda {
  public:
    explicit Agenda(net::Loop& loop) : timer_(loop, [this] { turn(); }) {}

    void start() { began_ = net::Loop::now(); }
    Micros now() const { return net::Loop::now() - began_; }
    void at(Micros when, std::function<void()> happens) {
        heap_.push_back({when, ++order_, std::move(happens)});
        std::push_heap(heap_.begin(), heap_.end(), later);
        set();
    }
    Latencies lateness;

  private:
    struct Due {
        Micros at;
        std::uint64_t order;
        std::function<void()> happens;
    };
    static bool later(const Due& a, const Due& b) {
        return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
    void set() {
        if (!heap_.empty()) timer_.set(began_ + heap_.front().at);
    }
    void turn() {
        while (!heap_.empty() && heap_.front().at <= now()) {
            std::pop_heap(heap_.begin(), heap_.end(), later);
            Due due = std::move(heap_.back());
            heap_.pop_back();
            lateness.add(now() - due.at);
            due.happens();
        }
        set();
    }
    net::Timer timer_;
    Micros began_ = 0;
    std::uint64_t order_ = 0;
    std::vector<Due> heap_;
};

struct Backstage {
    net::Loop& loop;
    const Day& day;
    Agenda& agenda;
    Judge& judge;
    Theatre* theatre = nullptr;
    std::unordered_map<std::uint64_t, Job> jobs;  // by request: what it takes to do it
    std::optional<Job> for_anyone;  // what a request takes of which nobody here knows; none: it is refused
    std::uint64_t tokens = 0, strangers = 0;
    std::function<void(std::size_t runner)> toppled;

    Micros now() const { return agenda.now(); }
    // What the way adds to what the loopback itself takes.
    Micros delay(std::size_t d, std::size_t r, std::size_t bytes) const {
        if (theatre->paths.calm()) return 0;
        return theatre->paths.between(theatre->place_of_dispatcher(d), theatre->place_of_runner(r), bytes)
                   .takes -
               day.path_delay;
    }
};

// Requests are numbered; this is how a number stands in X-Request-ID and back.
std::string request_text(std::uint64_t request);
std::optional<std::uint64_t> request_number(std::string_view text);

}  // namespace gannethold::rehearsal
