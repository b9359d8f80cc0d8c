#include "cluster/status/json_values.hpp"

#include <cmath>
#include <cstdio>
#include <utility>

namespace gannethold::cluster {

json::Value json_value(double number) {
    char text[32];
    if (number == std::floor(number) && std::abs(number) < 1e15)
        std::snprintf(text, sizeof text, "%.0f", number);
    else
        std::snprintf(text, sizeof text, "%.4g", number);
    return json::Value(json::Number{text});
}

json::Value json_value(std::string text) { return json::Value(std::move(text)); }

json::Value json_ms(Micros duration) { return json_value(std::round(static_cast<double>(duration) / 1e3)); }

}  // namespace gannethold::cluster
