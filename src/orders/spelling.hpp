// How operators spell the standing orders, put into our words; whatever wire or file they come by.
#pragma once

#include <string_view>

#include "types.hpp"

namespace gannethold::orders {

// Lines of name=value; lists joined by commas.
StatedOrders read_lines(std::string_view text);

// The operators' name of what we call so.
std::string their_name(std::string_view ours);

}  // namespace gannethold::orders
