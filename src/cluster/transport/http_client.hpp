// An HTTP/1.1 client with a pool of keep-alive connections, one call at a time on each (no pipelining).
//
// Every request is sent at most once. The caller decides about retries; CallResult distinguishes requests
// that may have been executed from those that cannot have been.
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

/// The outcome of a call. Bytes that the kernel has accepted count as received by the server.
enum class CallResult {
    completed,           // a complete response was received
    connect_failed,      // no connection was established: not executed
    not_sent,            // the connection ended before the kernel accepted the complete head: not executed
    connection_lost,     // the connection ended later, without a complete response: may have been executed,
                         // even if part of the body was not sent
    malformed_response,  // the response is invalid or belongs to another request: may have been executed
};

/// Identifies a call of one HttpClient. Chosen by the caller, and unique among the calls in progress.
enum class CallId : std::uint64_t {};

/// A call that has ended, with or without a response.
struct CompletedCall {
    CallId id{};
    CallResult result = CallResult::connection_lost;
    HttpMessage response;              // only with CallResult::completed
    bool first_on_connection = false;  // no response preceded this one on its connection
};

/// Not thread-safe: all use is on the loop's thread. Callbacks are invoked by the loop, never from within a
/// method of this class, and may call any method except close_expired(). The client must not be destroyed
/// during a callback.
class HttpClient {
  public:
    struct Events {
        /// Called exactly once for each call, unless it is cancelled.
        std::function<void(CompletedCall&&)> on_call_completed;
        /// A connection that preconnect() opened has been established and is idle.
        std::function<void(const std::string& address)> on_preconnected = [](const std::string&) {};
        std::function<void(const std::string& address)> on_preconnect_failed = [](const std::string&) {};
    };
    struct Options {
        Micros connect_timeout = 600'000;
        Micros idle_timeout = 8'000'000;  // of a pooled connection, unless the server states a shorter one
        std::size_t max_idle_connections = 4;       // for each address
        std::size_t max_response_bytes = 16 << 20;  // of the body
        /// Header field that identifies a request and the response to it; empty: none. A response whose value
        /// differs from that of the request belongs to an earlier request and is discarded.
        std::string id_field = {};
    };
    HttpClient(net::Loop& loop, Options options, Events events);
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    /// Calls in progress are dropped without an event.
    ~HttpClient();

    /// Starts a call to "ip:port". REQUIRES: no call in progress has this id.
    ///
    /// Set on_new_connection for a request that may have been sent to this address before with the same value
    /// of Options::id_field. On a pooled connection, a duplicate response to the earlier attempt would be
    /// mistaken for the response to this one.
    void call(CallId id, const std::string& address, const HttpMessage& request,
              bool on_new_connection = false);
    /// Ends a call without an event and closes its connection. Does nothing if there is no such call.
    void cancel(CallId id);
    /// Opens a connection ahead of the next call to this address.
    void preconnect(const std::string& address);
    /// Closes the idle connections to this address. Calls in progress go on.
    void close_idle(const std::string& address);
    /// Closes connections whose idle timeout has passed, and frees those closed since the previous call. Call
    /// it regularly. REQUIRES: not within a callback of this client.
    void close_expired(Micros now);

  private:
    class UpstreamConnection;
    friend class UpstreamConnection;
    using ConnectionList = std::list<UpstreamConnection*>;  // the most recently used is at the back
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
    std::unordered_map<std::string, ConnectionList> idle_;   // by address
    // Calls that failed before anything was sent; reported in the loop's next turn.
    std::deque<FailedCall> failed_;
    net::Timer report_timer_;
};

}  // namespace gannethold::cluster
