// One way to leave, for an operator's order and for a signal. Says from time, orders and what is left what
// the rest of the program should want; does nothing itself. No I/O, no clock of its own.
//
//   serving ──drain──▶ draining ──deadline or all answered──▶ drained
//      ▲                  │                                      │
//      └─────undrain──────┴──────────────────────────────────────┘
//   any of them ──leave──▶ leaving ──all answered or the stay is over──▶ gone
//
// An order carries a ticket. Whoever wants to change or undo it quotes the ticket, so that of two operators
// who give orders at once the second is told whose stands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "types.hpp"

namespace gannethold::drain {

enum class Phase { serving, draining, drained, leaving, gone };
const char* name_of(Phase phase);

// How fast clients are sent away; microseconds.
struct Pace {
    // A front still sends clients for so long after /healthz began to say 503.
    Micros front_notices = 2'000'000;
    // Idle connections are closed over so long a time from then on, so that not all open new ones at once.
    Micros closing_takes = 2'000'000;
    // So long after the order whoever still comes is bounced before it is taken; 0: only from the deadline
    // on.
    Micros takes_for = 0;
};

// How long each step of leaving takes; microseconds.
struct Manners : Pace {
    // Where the front asks often and a caller counts on the dispatcher being empty soon: an order given at
    // the window. Half of the time after which nothing may be held is for closing, so that what crosses it is
    // answered in the rest.
    Pace brisk{400'000, 800'000, 1'700'000};
    // Who asks for longer than this may not: an order forgotten would hold a dispatcher back for ever.
    Micros longest = 24 * 3'600'000'000LL;
};

// What is left, as the program counts it.
struct Left {
    std::size_t tasks = 0;  // taken and not answered
    std::size_t busy =
        0;  // connections of clients on which something is read, waited for or still to be written
};

// What is wanted now.
struct Wanted {
    bool healthy = true;        // what /healthz says
    bool turns_away = false;    // who comes now is bounced before it is taken
    bool last_answers = false;  // answers end their connections
    double idle_to_keep = 1;    // of the idle connections there were, the share that may still stand open
    bool last_call = false;     // whoever still waits is answered now; true once for each deadline
    bool exits = false;
    Micros wake_at = 0;  // look again then at the latest; 0: nothing changes by itself
};

struct Ruling {
    bool granted = false;
    std::uint64_t ticket = 0;  // of the order that stands
    std::string why;           // not granted: why, and whose order stands
};

class Drain {
  public:
    explicit Drain(Manners manners) : manners_(manners), pace_(manners) {}

    // deadline: by when all must be answered; one that is past means at once. ticket: of the order to be
    // changed, 0 for a new one. by: who gives it, for whoever comes second. pace: none for the usual one; of
    // an order that is changed it stays as it was.
    Ruling order(Micros now, Micros deadline, std::uint64_t ticket, const std::string& by,
                 const Pace* pace = nullptr);
    // Takes back the order. Without a ticket only the one who gave it may.
    Ruling undo(Micros now, std::uint64_t ticket, const std::string& by);
    // A signal: stays longest until then, and sends nobody away before `closing_from`; from then on idle
    // connections are closed over `closing_takes`.
    void leave(Micros now, Micros deadline, Micros closing_from, Micros closing_takes = 0);

    Wanted look(Micros now, const Left& left);

    Phase phase() const { return phase_; }
    const Manners& manners() const { return manners_; }
    std::optional<Micros> deadline() const;  // of the order or the signal in force
    Micros since() const { return since_; }
    std::uint64_t ticket() const { return ordered_ ? ticket_ : 0; }
    const std::string& by() const { return by_; }
    bool leaves() const { return phase_ == Phase::leaving || phase_ == Phase::gone; }

  private:
    Ruling refused() const;
    Micros closing_from() const;

    Manners manners_;
    Pace pace_;  // of the order in force
    Phase phase_ = Phase::serving;
    bool ordered_ = false, called_ = false;
    std::uint64_t ticket_ = 0;
    std::string by_;
    Micros since_ = 0, deadline_ = 0, leave_closing_from_ = 0, leave_closing_takes_ = 0;
};

}  // namespace gannethold::drain
