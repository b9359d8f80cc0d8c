// What every front and the dispatcher say to each other, whatever protocol the front speaks: tasks in,
// endings out.
#pragma once

#include <string>
#include <string_view>

#include "net/block_pool.hpp"
#include "types.hpp"

namespace gannethold::frontend {

// The one type for a task's final answer.
enum class Answer { finished, bounced, abandoned };

// A task as it is handed in.
struct SubmittedTask {
    std::string id, fingerprint, method, target, content_type;
    WorkloadId workload{};
    CustomerId customer{};
    std::uint64_t key = 0;
    Micros timeout = 0;  // how long whoever asks waits, from when the task had come whole
    Micros cost_hint = 0;
    double slots = 1, memory = 0;
    bool is_retry = false;
    bool can_push =
        true;  // whether a runner that is spoken to over HTTP may get it: it needs a head and a body then
};

// Who handed tasks in and hears how they end. Called once for each, also from inside a call to the TaskSink.
class TaskSource {
  public:
    // stay_away: after a bounce, when to come back; 0 where nothing is said.
    virtual void on_answer(TaskId task, Answer answer, std::string_view result, Micros retry_after) = 0;

  protected:
    ~TaskSource() = default;
};

// Who takes the tasks.
class TaskSink {
  public:
    virtual TaskId submit(TaskSource& source, SubmittedTask&& task, net::BlockBuffer&& body,
                          Micros received_at) = 0;
    virtual void on_client_disconnected(TaskId task) = 0;  // nobody waits for it any more
    virtual bool is_known_request(const std::string& request_id) const = 0;
    virtual bool is_ready() const = 0;
    // Who was bounced at the door, before it was taken.
    virtual void on_rejected(WorkloadId workload) = 0;

  protected:
    ~TaskSink() = default;
};

}  // namespace gannethold::frontend
