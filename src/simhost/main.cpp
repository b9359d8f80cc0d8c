#include <iostream>

#include "simhost/host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return gannethold::simhost::serve(std::cin, std::cout, std::cerr);
}
