// Names of settings and fields that are read from outside.
#pragma once

#include <functional>
#include <string>

namespace gannethold::cluster::tests {

// A name with a value other than its default, and the change that it makes to what is read.
template <class Held>
struct NameCase {
    std::string name;
    std::string value;
    std::function<void(Held&)> set;
};

}  // namespace gannethold::cluster::tests
