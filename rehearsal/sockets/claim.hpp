// A part of the loopback range that belongs to this rehearsal as long as it lives, so that two at once do not
// meet. The claim is a name in the system's abstract sockets: it goes with the process, however that ends.
#pragma once

#include <string>

namespace gannethold::rehearsal {

class Claim {
  public:
    Claim();  // throws std::runtime_error where no part is free
    ~Claim();
    Claim(const Claim&) = delete;
    Claim& operator=(const Claim&) = delete;

    std::string address(unsigned high, unsigned low, unsigned port) const;  // 127.<ours>.high.low:port

  private:
    int socket_ = -1;
    unsigned part_ = 0;
};

}  // namespace gannethold::rehearsal
