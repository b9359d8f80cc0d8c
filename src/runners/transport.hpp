// The ways by which assignments reach runners: one that is spoken to is pushed them, one that asks is handed
// them.
#pragma once

#include <string>

#include "net/block_pool.hpp"
#include "net/close_reason.hpp"
#include "types.hpp"

namespace gannethold::runners {

// One assignment on its way to a runner.
struct PendingCall {
    TaskId task{};
    int number = 0;
    std::string request_id;
    std::string head;  // of the request over HTTP, without the time it has and the empty line
    const net::BlockBuffer* body = nullptr;  // kept by the sender until the errand has ended
    Micros deadline = 0;
};

struct CallEnded {
    TaskId task{};
    int number = 0;
    RunnerId runner{};
    net::CloseReason ending{};
    Micros elapsed = 0;
    Report report;
    std::string result;
};

// Who hears of it; also from inside a call to a port, so it must only take note.
class TransportObserver {
  public:
    virtual void on_call_ended(CallEnded&& ended) = 0;
    virtual void on_request_written() = 0;  // the last byte of an assignment was given to the system
    virtual void on_progress(TaskId task, int number, RunnerId runner, Stage stage, double share) = 0;
    virtual void on_probe_ended(RunnerId runner, net::CloseReason ending, Micros elapsed,
                                Report&& report) = 0;

  protected:
    ~TransportObserver() = default;
};

class Transport {
  public:
    virtual void assign(RunnerId runner, PendingCall&& call) = 0;
    virtual void withdraw(TaskId task, int number) = 0;  // nothing where it is not out by this port
    virtual void probe(RunnerId runner) = 0;
    virtual void close_idle(RunnerId runner) = 0;
    virtual void limit_deadlines(Micros at) = 0;  // no assignment that is out now may be out longer

  protected:
    ~Transport() = default;
};

}  // namespace gannethold::runners
