// The interface over which assignments reach runners. There are two implementations: the connection pool
// sends them to runners over HTTP, the job server hands them to workers that reserve jobs.
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
    std::string head;  // of the HTTP request, without X-Timeout and the final empty line
    const net::BlockBuffer* body = nullptr;  // owned by the caller; valid until the call has ended
    Micros deadline = 0;
};

// How a call ended; `report` and `result` are empty if the runner sent none.
struct CallEnded {
    TaskId task{};
    int number = 0;
    RunnerId runner{};
    net::CloseReason ending{};
    Micros elapsed = 0;
    Report report;
    std::string result;
};

// Receives the progress and the end of calls and probes. Also called from inside the methods of Transport, so
// an implementation must only record the event.
class TransportObserver {
  public:
    virtual void on_call_ended(CallEnded&& ended) = 0;
    virtual void on_request_written() = 0;  // the last byte of an assignment was passed to the kernel
    virtual void on_progress(TaskId task, int number, RunnerId runner, Stage stage, double share) = 0;
    virtual void on_probe_ended(RunnerId runner, net::CloseReason ending, Micros elapsed,
                                Report&& report) = 0;

  protected:
    ~TransportObserver() = default;
};

// Sends assignments and probes to runners.
class Transport {
  public:
    virtual void assign(RunnerId runner, PendingCall&& call) = 0;
    virtual void withdraw(TaskId task, int number) = 0;  // no effect on a call of another transport
    virtual void probe(RunnerId runner) = 0;
    virtual void close_idle(RunnerId runner) = 0;
    virtual void limit_deadlines(Micros latest) = 0;  // shortens the deadlines of calls in flight

  protected:
    ~Transport() = default;
};

}  // namespace gannethold::runners
