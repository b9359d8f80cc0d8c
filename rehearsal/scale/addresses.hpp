// Where the parts of a scale run stand: each on a loopback address of its own.
#pragma once

#include <string>

namespace gannethold::scale {

constexpr int kControlPort = 18263;
constexpr int kInternalPort = 17680;
constexpr int kFrontendPort = 18269;
constexpr int kReadinessPort = 18266;
constexpr int kPlatformPort = 18300;
constexpr int kInstancesPort = 18310;

/// The addresses of one run. Runs with different subnets do not meet.
class Addresses {
  public:
    explicit Addresses(int subnet) : prefix_("127." + std::to_string(subnet) + ".") {}

    std::string controller_ip(int number) const { return prefix_ + "1." + std::to_string(10 + number); }
    std::string proxy_ip(int number) const { return prefix_ + "2." + std::to_string(10 + number); }
    std::string control(int number) const { return at(controller_ip(number), kControlPort); }
    std::string internal(int number) const { return at(controller_ip(number), kInternalPort); }
    std::string frontend(int number) const { return at(proxy_ip(number), kFrontendPort); }
    std::string readiness(int number) const { return at(proxy_ip(number), kReadinessPort); }
    std::string platform() const { return at(prefix_ + "3.1", kPlatformPort); }
    std::string instances() const { return at(prefix_ + "4.1", kInstancesPort); }

  private:
    static std::string at(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

    std::string prefix_;
};

}  // namespace gannethold::scale
