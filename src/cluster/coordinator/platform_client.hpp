// The calls of a coordinator to the platform's API: lists of runners and workers, starts and stops of
// runners. Each call ends with one call of the listener, also where the platform is silent.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "cluster/runners/listing.hpp"
#include "cluster/runners/resources.hpp"
#include "cluster/transport/http_caller.hpp"

namespace gannethold::cluster {

class PlatformClient {
  public:
    struct StartReply {
        StartResult result = StartResult::silent;
        RunnerInfo runner;   // where one was started: its name and address
        std::string status;  // of HTTP; "none" without an answer
    };
    struct StopReply {
        bool done = false;
        std::string status;
    };

    /// Called from the loop or from tick(), never within the call that began the request.
    class Listener {
      public:
        Listener() = default;
        Listener(const Listener&) = delete;
        Listener& operator=(const Listener&) = delete;
        virtual ~Listener() = default;

        virtual void on_runner_page(Micros now, const RunnerListPage& page) = 0;
        virtual void on_runner_list_failed(Micros now) = 0;
        virtual void on_worker_list(Micros now, std::vector<Worker> workers) = 0;
        virtual void on_worker_list_failed(Micros now) = 0;
        virtual void on_start_completed(Micros now, const StartRunner& start, const StartReply& reply) = 0;
        virtual void on_stop_completed(Micros now, const StopRunner& stop, const StopReply& reply) = 0;
    };

    /// `address`: "ip:port". `fence` goes with each start and stop. `loop` and `listener` must outlive this
    /// object.
    PlatformClient(net::Loop& loop, std::string address, Fence fence, Listener& listener);

    /// `page_token`: of the page; empty: the first.
    void list_runners(const std::string& page_token);
    void list_workers();
    void start(const StartRunner& start);
    void stop(const StopRunner& stop);

    /// Ends the calls that were not answered in time, and closes idle connections. Call it about ten times a
    /// second.
    void tick(Micros now);

  private:
    enum class Kind { list_runners, list_workers, start, stop };
    struct PendingCall {
        Kind kind = Kind::list_runners;
        StartRunner start;  // of a start
        StopRunner stop;    // of a stop
        Micros deadline = 0;
    };

    void call(PendingCall pending, const HttpMessage& request);
    /// `answer`: nullptr where there is none.
    void on_call_completed(HttpCaller::Call id, const HttpMessage* answer);
    void on_runners(Micros now, const HttpMessage* answer);
    void on_workers(Micros now, const HttpMessage* answer);
    void on_start(Micros now, const StartRunner& start, const HttpMessage* answer);
    void on_stop(Micros now, const StopRunner& stop, const HttpMessage* answer);

    std::string address_;
    Fence fence_;
    Listener& listener_;
    RunnerListResource runner_list_;
    WorkerListResource worker_list_;
    StartRunnerResource start_runner_;
    StopRunnerResource stop_runner_;
    std::map<HttpCaller::Call, PendingCall> pending_;
    HttpCaller::Call last_call_ = 0;
    HttpCaller caller_;
};

}  // namespace gannethold::cluster
