// An HTTP/1.1 client with a pool of keep-alive connections, one call at a time on each (no pipelining).
//
// Every request is sent at most once: whether a call may be repeated is decided by who makes it, for which
// CallResult tells apart what can have been executed from what can not.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

/// How a call ended. Bytes that the kernel has accepted count as received by the server.
enum class CallResult {
    completed,           // with a complete response
    connect_failed,      // no connection was established: not executed
    not_sent,            // the connection ended before the kernel accepted the whole head: not executed
    connection_lost,     // it ended later, without a complete response: may have been executed, even if
                         // part of the body was not sent
    malformed_response,  // no valid response, or that to another request: may have been executed
};

/// Names a call of one HttpClient. Chosen by the caller; no two calls in progress may have the same.
enum class CallId : std::uint64_t {};

struct CompletedCall {
    CallId id{};
    CallResult result = CallResult::connection_lost;
    HttpMessage response;              // with CallResult::completed
    bool first_on_connection = false;  // no other response can have come before it on its connection
};

/// Not thread-safe: all use is on the loop's thread. Callbacks come from the loop, never from within a method
/// of this class, and may call any method except close_expired(). The client must outlive the callback that
/// it is in.
class HttpClient {
  public:
    struct Events {
        /// Exactly once for each call, unless it is cancelled.
        std::function<void(CompletedCall&&)> on_call_completed;
        /// A connection that preconnect() opened is established and idle.
        std::function<void(const std::string& address)> on_preconnected = [](const std::string&) {};
        std::function<void(const std::string& address)> on_preconnect_failed = [](const std::string&) {};
    };
    struct Options {
        Micros connect_timeout = 600'000;
        Micros idle_timeout = 8'000'000;            // of a pooled connection, unless the server states less
        std::size_t max_idle_connections = 4;       // for each address
        std::size_t max_response_bytes = 16 << 20;  // of the body
        /// Header field that names a request and the response to it; empty: none. A response that bears
        /// another value than its request belongs to an earlier request and is discarded.
        std::string id_field = {};
    };
    HttpClient(net::Loop& loop, Options options, Events events);
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    /// Calls in progress end without an event.
    ~HttpClient();

    /// Starts a call to "ip:port". REQUIRES: no call in progress has this id.
    ///
    /// on_new_connection: for a request that may have been sent to this address before, under the same value
    /// of Options::id_field: on a pooled connection a duplicate response to the earlier attempt would be
    /// taken for the response to this one.
    void call(CallId id, const std::string& address, const HttpMessage& request,
              bool on_new_connection = false);
    /// Ends a call without an event and closes its connection. Does nothing if there is no such call.
    void cancel(CallId id);
    /// Opens a connection ahead of the next call to this address.
    void preconnect(const std::string& address);
    /// Closes the idle connections to this address. Calls in progress go on.
    void close_idle(const std::string& address);
    /// Closes connections that have been idle for too long, and frees those that were closed since the last
    /// time. Call it regularly. REQUIRES: not within a callback of this client.
    void close_expired(Micros now);

  private:
    class UpstreamConnection;
    friend class UpstreamConnection;
    struct FailedCall {
        CallId id{};
        CallResult result = CallResult::connect_failed;
    };

    UpstreamConnection& open_connection(const std::string& address, const net::Address& resolved);
    UpstreamConnection* take_idle(const std::string& address);
    void add_idle(UpstreamConnection* connection);
    void remove_idle(UpstreamConnection* connection);
    void fail_later(CallId id, CallResult result);
    void report_failed_calls();

    net::Loop& loop_;
    Options options_;
    Events events_;
    std::unordered_map<UpstreamConnection*, std::unique_ptr<UpstreamConnection>> connections_;
    // Freed by close_expired(): a connection may be closed within its own callback.
    std::vector<std::unique_ptr<UpstreamConnection>> closed_;
    std::unordered_map<CallId, UpstreamConnection*> calls_;  // in progress
    std::unordered_map<std::string, std::list<UpstreamConnection*>>
        idle_;                       // by address, last used at the back
    std::deque<FailedCall> failed_;  // within call(), so that their events are due in the next turn
    net::Timer report_timer_;
};

}  // namespace gannethold::cluster
