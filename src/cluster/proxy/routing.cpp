#include "cluster/proxy/routing.hpp"

namespace gannethold::cluster {

const std::string& choose_service(const Route& route, double draw) {
    double sum = 0;
    for (const Route::Share& share : route.shares) sum += share.weight;
    double remaining = draw * sum;
    const std::string* chosen = &route.shares.front().service;
    for (const Route::Share& share : route.shares) {
        if (share.weight <= 0) continue;
        chosen = &share.service;
        remaining -= share.weight;
        if (remaining < 0) break;
    }
    return *chosen;
}

}  // namespace gannethold::cluster
