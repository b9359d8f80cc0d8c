// A client of beanstalkd's protocol for the rehearsal, with a reader of its own: a mistake that the service's
// reader makes would be seen here.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "net/address.hpp"
#include "net/loop.hpp"

namespace gannethold::rehearsal {

class TubeClient {
  public:
    // One answer: its line without the end, and its body where the line says that there is one.
    using Heard = std::function<void(TubeClient&, std::string_view line, std::string_view body)>;

    // Connects at once, and waits for that; throws std::runtime_error where nobody listens.
    TubeClient(net::Loop& loop, const net::Address& to, Heard heard);
    ~TubeClient();
    TubeClient(const TubeClient&) = delete;
    TubeClient& operator=(const TubeClient&) = delete;

    void say(std::string_view words) const;
    void put(std::string_view body, unsigned priority, unsigned delay_s, unsigned run_s) const;
    bool closed() const { return closed_; }
    void reset();  // ends without a word

  private:
    void read();
    void take();

    int socket_ = -1;
    Heard heard_;
    net::EventHandle event_;
    std::string got_;
    bool closed_ = false, taking_ = false;
};

}  // namespace gannethold::rehearsal
