// The coordinator's client for the platform's API, which lists runners and workers, and starts and stops
// runners.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "cluster/runners/platform_api.hpp"
#include "cluster/transport/http_client.hpp"

namespace gannethold::cluster {

/// Each call ends with exactly one call of the listener, even if the platform does not answer.
class PlatformClient {
  public:
    struct StartReply {
        StartResult result = StartResult::timed_out;
        std::string runner_id;  // if a runner was started
        std::string address;    // if a runner was started
        std::string status;     // the HTTP status; "none" if there was no response
    };
    struct StopReply {
        bool done = false;
        std::string status;
    };

    /// Receives the results. Called from the event loop or from tick(), never from within the call that
    /// started the request.
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

    /// `address`: "ip:port". `token` is sent with each start and stop. `loop` and `listener` must outlive
    /// this object.
    PlatformClient(net::Loop& loop, std::string address, FencingToken token, Listener& listener);

    /// `page_token` selects the page; empty: the first one.
    void list_runners(const std::string& page_token);
    void list_workers();
    void start(const StartRunner& start);
    void stop(const StopRunner& stop);

    /// Ends the calls that have timed out, and closes expired idle connections. Call it about ten times per
    /// second.
    void tick(Micros now);

  private:
    enum class Kind { list_runners, list_workers, start, stop };
    struct PendingCall {
        Kind kind = Kind::list_runners;
        StartRunner start;  // of a start only
        StopRunner stop;    // of a stop only
        Micros deadline = 0;
    };

    void call(PendingCall pending, const HttpMessage& request);
    /// `response`: nullptr if there was none.
    void on_call_completed(CallId id, const HttpMessage* response);
    void on_runners(Micros now, const HttpMessage* response);
    void on_workers(Micros now, const HttpMessage* response);
    void on_start(Micros now, const StartRunner& start, const HttpMessage* response);
    void on_stop(Micros now, const StopRunner& stop, const HttpMessage* response);

    std::string address_;
    Listener& listener_;
    PlatformApi api_;
    std::map<CallId, PendingCall> pending_;
    std::uint64_t last_call_ = 0;
    HttpClient client_;
};

}  // namespace gannethold::cluster
