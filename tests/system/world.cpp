#include "world.hpp"

#include <algorithm>

#include "world_parts.hpp"

namespace gannethold::cluster::played {

World::World(const Shape& shape)
    : shape_(shape),
      random_(shape.seed * 7919 + 17),
      links_(shape.bits_per_second,
             [this](Micros delay, std::function<void()> what) { at(now_ + delay, std::move(what)); }) {
    for (std::size_t i = 0; i < shape.cores; ++i) {
        cores_.push_back(std::make_unique<Core>());
        cores_[i]->name = "10.0.0." + std::to_string(i + 1) + ":80";
        if (i < shape.seeds) seeds_.push_back(cores_[i]->name);
    }
    for (std::size_t i = 0; i < shape.cores; ++i) start_core(i);
    for (std::size_t f = 0; f < shape.fronts; ++f) {
        fronts_.push_back(std::make_unique<Front>());
        Front& front = *fronts_[f];
        front.name = "front-" + std::to_string(f);
        front.zone = "z" + std::to_string(f % 3);
        front.handler = std::make_unique<RequestHandler>(
            RequestHandler::Options{front.name, front.zone, 1, shape.seed + f});
        at(now_ + 1'000, [this, f] { tick_front(f); });
    }
}
World::~World() = default;

bool World::chance(double p) { return p > 0 && std::uniform_real_distribution<>(0, 1)(random_) < p; }
Micros World::hop() {
    return shape_.delay + static_cast<Micros>(std::uniform_real_distribution<>(0, 3)(random_) *
                                              static_cast<double>(shape_.delay));
}
void World::at(Micros when, std::function<void()> what) {
    later_.push({std::max(when, now_), ++order_, std::move(what)});
}

void World::run(Micros until) {
    while (!later_.empty() && later_.top().at <= until) {
        const Later next = later_.top();
        later_.pop();
        now_ = std::max(now_, next.at);
        next.what();
    }
    now_ = std::max(now_, until);
}

void World::breach(const std::string& what) {
    if (breaches.size() < 20)
        breaches.push_back(std::to_string(static_cast<double>(now_) / 1e6) + " s: " + what);
}

}  // namespace gannethold::cluster::played
