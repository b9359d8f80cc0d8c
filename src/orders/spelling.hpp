// How operators spell the standing orders, put into our words; whatever wire or file they come by.
#pragma once

#include <string_view>

#include "types.hpp"

namespace gannethold::orders {

// Lines of name=value; lists joined by commas.
StatedOrders read_lines(std::string_view text);

}  // namespace gannethold::orders
