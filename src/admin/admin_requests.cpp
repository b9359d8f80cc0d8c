#include "admin/admin_requests.hpp"

#include <array>
#include <cstdint>

namespace gannethold::window {
namespace {

struct Spelled {
    std::string_view method, path;
    Call call;
};
constexpr std::array<Spelled, 4> kCalls{{{"GET", "/control/ready", Call::ready},
                                         {"GET", "/control/counters", Call::figures},
                                         {"POST", "/control/out-of-service", Call::send_away},
                                         {"POST", "/control/in-service", Call::take_again}}};
constexpr std::string_view kBefore = "app_";

// Against a name that would end its quotes or its line, and with it the figures behind it.
std::string quoted(std::string_view name) {
    std::string out = "\"";
    for (const char c : name) {
        if (c == '\\' || c == '"') out += '\\';
        c == '\n' ? out += "\\n" : out += c;
    }
    return out + "\"";
}

void line(std::string& out, std::string_view name, std::uint64_t value, std::string_view workload = {}) {
    out.append(kBefore).append(name);
    if (!workload.empty()) out.append("{service=").append(quoted(workload)).append("}");
    out.append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace

std::variant<Call, Reply> read_call(const http::Head& head) {
    bool known = false;
    for (const Spelled& one : kCalls) {
        if (one.path != head.path()) continue;
        if (one.method == head.method) return one.call;
        known = true;
    }
    if (known) return Reply{405, "not by this method\n"};
    return Reply{404, "no such call\n"};
}

std::string spell(const figures::Tally& tally, const figures::Present& present) {
    std::string out;
    for (const auto& [workload, ends] : tally.ends()) {
        line(out, "succeeded_total", ends.finished, workload);
        line(out, "declined_total", ends.bounced, workload);
        line(out, "aborted_total", ends.abandoned, workload);
    }
    line(out, "forwards_total", tally.written());
    line(out, "outstanding", present.outstanding);
    line(out, "discovered", present.listed);
    line(out, "ejected", present.avoided);
    line(out, "sighup_applied_total", tally.reloads_taken());
    line(out, "sighup_rejected_total", tally.reloads_turned_down());
    return out;
}

}  // namespace gannethold::window
