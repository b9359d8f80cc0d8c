#include <iostream>

#include "sim_host/host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return gannethold::sim_host::serve(std::cin, std::cout, std::cerr);
}
