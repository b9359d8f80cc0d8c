// What a runner says about a task or its load; the protocol's names end here.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/close_reason.hpp"
#include "types.hpp"

namespace gannethold::runners {

// Reads load reports in the order of the names that the operators give their values.
class ReportDecoder {
  public:
    explicit ReportDecoder(std::vector<std::string> names);

    bool wanted() const { return !names_.empty(); }
    Report read_pairs(std::string_view text) const;   // a=1,b=2
    Report read_object(std::string_view text) const;  // {"a":1,"b":2}, or pairs
    Report in_order(const std::map<std::string, double, std::less<>>& values) const;

  private:
    std::vector<std::vector<std::string>> names_;  // for each value, as it may be spelled
};

// One line of a runner's answer.
struct TaskUpdate {
    enum class State { started, running, last, unreadable };
    State state = State::unreadable;
    net::CloseReason ending = net::CloseReason::malformed;  // of a last line
    double share = 0;
    Report report;
    std::string result;
};

TaskUpdate parse_task_update(std::string_view text, std::string_view request_id,
                             const ReportDecoder& reports);

}  // namespace gannethold::runners
