// Decodes what a runner sends about a task or its load. The field names of its protocol are used only here.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/close_reason.hpp"
#include "types.hpp"

namespace gannethold::runners {

// Decodes load reports. The values are in the order of the names in the configuration; a report that lacks
// one of them, or cannot be parsed, is empty.
class ReportDecoder {
  public:
    explicit ReportDecoder(std::vector<std::string> names);

    bool has_names() const { return !names_.empty(); }
    Report read_pairs(std::string_view text) const;   // a=1,b=2
    Report read_object(std::string_view text) const;  // {"a":1,"b":2}, or pairs
    Report in_order(const std::map<std::string, double, std::less<>>& values) const;

  private:
    std::vector<std::vector<std::string>> names_;  // the accepted spellings of each value
};

// One line of a runner's response to an assignment.
struct TaskUpdate {
    enum class State { started, running, last, unreadable };
    State state = State::unreadable;
    net::CloseReason ending = net::CloseReason::malformed;  // of the last line
    double share = 0;
    Report report;
    std::string result;
};

// Returns an unreadable update if the line is malformed or names another request.
TaskUpdate parse_task_update(std::string_view text, std::string_view request_id,
                             const ReportDecoder& reports);

}  // namespace gannethold::runners
