// What operators' programs say at the window and how they are answered; the platform's names end here. No
// I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "metrics/counters.hpp"
#include "http/reader.hpp"

namespace gannethold::window {

enum class Call { ready, figures, send_away, take_again };

struct Reply {
    int status = 200;
    std::string body;
    std::string form = "text/plain; charset=utf-8";
};

// The call that a head makes, or why it is none: 404 for a path that is not known, 405 for another method.
std::variant<Call, Reply> read_call(const http::Head& head);

// The figures, one a line: a name, the workload in braces where it goes by workload, and the value.
std::string spell(const figures::Tally& tally, const figures::Present& present);

}  // namespace gannethold::window
