// The interface between the dispatcher and its front ends, whatever protocol a front end has: tasks are
// submitted, and each is answered once.
#pragma once

#include <string>
#include <string_view>

#include "net/block_pool.hpp"
#include "types.hpp"

namespace gannethold::frontend {

// The final answer to a task.
enum class Answer { finished, bounced, abandoned };

// A task as a client submits it.
struct SubmittedTask {
    std::string id, fingerprint, method, target, content_type;
    WorkloadId workload{};
    CustomerId customer{};
    std::uint64_t key = 0;
    Micros timeout = 0;  // how long the client waits, counted from when the task was received in full
    Micros cost_hint = 0;
    double slots = 1, memory = 0;
    bool is_retry = false;
    bool can_push = true;  // may be sent to a runner over HTTP; this needs a head and a body
};

// Submits tasks and receives their answers, one for each; also from inside a call to the TaskSink.
class TaskSource {
  public:
    // retry_after: after a bounce, how long the client should wait before a retry; 0: not stated.
    virtual void on_answer(TaskId task, Answer answer, std::string_view result, Micros retry_after) = 0;

  protected:
    ~TaskSource() = default;
};

// Accepts tasks; the dispatcher.
class TaskSink {
  public:
    virtual TaskId submit(TaskSource& source, SubmittedTask&& task, net::BlockBuffer&& body,
                          Micros received_at) = 0;
    virtual void on_client_disconnected(TaskId task) = 0;  // no answer is needed any more
    virtual bool is_known_request(const std::string& request_id) const = 0;
    virtual bool is_ready() const = 0;
    // A task of this workload was bounced before it was submitted; only to be counted.
    virtual void on_rejected(WorkloadId workload) = 0;

  protected:
    ~TaskSink() = default;
};

}  // namespace gannethold::frontend
