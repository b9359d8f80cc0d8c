// A client of the beanstalkd protocol for rehearsals. It has its own parser, so that errors in the product's
// parser are detected.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "net/address.hpp"
#include "net/loop.hpp"

namespace gannethold::rehearsal {

// One connection to the dispatcher's beanstalk front.
class TubeClient {
  public:
    // Called for each reply, with its line without CRLF and its body, if it has one.
    using OnReply = std::function<void(TubeClient&, std::string_view line, std::string_view body)>;

    // Blocks until it is connected; throws std::runtime_error if the connection is refused.
    TubeClient(net::Loop& loop, const net::Address& address, OnReply on_reply);
    ~TubeClient();
    TubeClient(const TubeClient&) = delete;
    TubeClient& operator=(const TubeClient&) = delete;

    void send(std::string_view bytes) const;
    void put(std::string_view body, unsigned priority, unsigned delay_s, unsigned time_to_run_s) const;
    bool is_closed() const { return is_closed_; }
    void reset();  // closes the connection with a TCP reset

  private:
    void read();
    void parse_replies();

    int socket_ = -1;
    OnReply on_reply_;
    net::EventHandle event_;
    std::string input_;
    bool is_closed_ = false, is_parsing_ = false;
};

}  // namespace gannethold::rehearsal
