// Test cases for the names of settings and of fields in external input.
#pragma once

#include <functional>
#include <string>

namespace gannethold::cluster::tests {

// A name, a value other than the default, and the change that they make to the parsed result.
template <class Parsed>
struct NameCase {
    std::string name;
    std::string value;
    std::function<void(Parsed&)> set;
};

}  // namespace gannethold::cluster::tests
