// Which functions there are, what is in their configuration, and which of them a call is for.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "scale/options.hpp"

namespace gannethold::scale {

constexpr int kSlotsEach = 4;       // calls that one instance takes at once
constexpr int kMemoryEachMb = 128;  // of one instance

/// "f12" for 12 and back; -1: no such name.
std::string function_name(int function);
int function_of(const std::string& name);

/// The configuration in its given version. Each version differs from the one before in one route.
std::string configuration_text(const Options& options, unsigned version);

/// Draws functions by Zipf's law: few are called often, most hardly ever.
class Popularity {
  public:
    Popularity(int functions, double skew);
    int draw(std::mt19937_64& random) const;

  private:
    std::vector<double> sums_;
};

}  // namespace gannethold::scale
