#include "clients/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace gannethold::clients {
namespace {

constexpr std::size_t kMaxIdBytes = 128;
// What two readers could take differently if it came twice.
constexpr std::array kSingle = {"Host",    "X-Request-ID", "X-Timeout",   "X-Tenant-Id", "Idempotency-Key",
                                "X-Attrs", "X-Retried",    "Content-Type"};
constexpr Micros kMaxTimeout = 24 * 3'600'000'000LL;  // a day; more is taken for a mistake

std::optional<double> number(std::string_view text) {
    double value = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || wrong != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

// A number and a unit: milliseconds or microseconds.
std::optional<Micros> span(std::string_view text) {
    if (text.empty() || (text.back() != 'm' && text.back() != 'u')) return std::nullopt;
    const auto value = number(text.substr(0, text.size() - 1));
    const double micros = value.value_or(-1) * (text.back() == 'm' ? 1000 : 1);
    if (!(micros >= 1) || micros > static_cast<double>(kMaxTimeout)) return std::nullopt;
    return static_cast<Micros>(micros);
}

// The same at every dispatcher and in every build (FNV-1a).
std::uint64_t fingerprint(std::string_view text) {
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash;
}

// Goes on to runners as it is: visible letters only, and no more than anybody needs.
bool is_name(std::string_view text) {
    return text.size() <= kMaxIdBytes &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool read_figures(std::string_view text, Request& r) {
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const std::string_view one = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const auto equals = one.find('=');
        if (equals == std::string_view::npos) return false;
        const std::string_view name = one.substr(0, equals);
        const auto value = number(one.substr(equals + 1));
        // Figures that we do not use may hold what they like.
        const bool slots = name == "slots" || name == "cores_needed", memory = name == "memory";
        const bool hint = name == "hint" || name == "hint_us";
        if (!slots && !memory && !hint) continue;
        if (!value || *value < 0 || *value > 1e9) return false;
        if (slots) r.slots = *value;
        if (memory) r.memory = *value;
        if (hint) r.cost_hint = static_cast<Micros>(*value);
    }
    return true;
}

}  // namespace

Directory::Directory(const SettingsMap& orders, const std::vector<WorkloadId>& places) {
    const auto read = [&orders](const std::string& list, auto& into, auto place, auto each) {
        for (unsigned i = 0;; ++i) {
            const std::string at = list + "." + std::to_string(i) + ".";
            const auto name = orders.find(at + "name");
            if (name == orders.end()) return;
            const auto id = static_cast<typename std::decay_t<decltype(into)>::mapped_type>(place(i));
            into.emplace(name->second, id);
            each(id, at);
        }
    };
    const auto moved = [&](unsigned i) { return i < places.size() ? static_cast<unsigned>(places[i]) : i; };
    read("workloads", workloads, moved, [&](WorkloadId id, const std::string& at) {
        const auto effect = orders.find(at + "effect");
        if (effect != orders.end() && effect->second == "fingerprinted") fingerprinted.insert(id);
        const auto expiry = orders.find(at + "expiry_us");
        if (expiry == orders.end()) return;
        const auto micros = number(expiry->second);
        if (micros && *micros > 0 && *micros < kMaxTimeout)
            max_timeouts[id] = static_cast<Micros>(*micros) * 64;
    });
    read(
        "customers", customers, [](unsigned i) { return i; }, [](CustomerId, const std::string&) {});
}

std::variant<Request, Refused> read_request(const http::Head& head, const Directory& directory) {
    if (head.method != "POST") return Refused{405, "tasks come by POST"};
    for (const char* const name : kSingle)
        if (head.has_duplicate(name)) return Refused{400, "a header that must be single is repeated"};
    Request r;
    std::string_view path = head.path().substr(1);
    const auto workload = directory.workloads.find(path.substr(0, path.find('/')));
    if (workload == directory.workloads.end()) return Refused{404, "no such class"};
    r.workload = workload->second;
    // The last part of the path is what the request is about.
    if (const auto last = path.rfind('/'); last != std::string_view::npos && last + 1 < path.size())
        r.key = fingerprint(path.substr(last + 1));
    r.id = head.field("X-Request-ID");
    if (r.id.empty() || !is_name(r.id)) return Refused{400, "X-Request-ID is missing or no id"};
    if (!directory.customers.empty()) {
        const auto customer = directory.customers.find(head.field("X-Tenant-Id"));
        if (customer == directory.customers.end()) return Refused{400, "no such tenant"};
        r.customer = customer->second;
    }
    const auto timeout = span(head.field("X-Timeout"));
    if (!timeout) return Refused{400, "X-Timeout is missing or no time span"};
    // Against a time that nobody means: the task would be held, or out at a runner that hangs, as long.
    const auto max_timeouts = directory.max_timeouts.find(r.workload);
    if (max_timeouts != directory.max_timeouts.end() && *timeout > max_timeouts->second)
        return Refused{400, "X-Timeout is far beyond what this class waits"};
    r.timeout = *timeout;
    r.fingerprint = head.field("Idempotency-Key");
    if (!is_name(r.fingerprint)) return Refused{400, "Idempotency-Key is no key"};
    // Without it a runner could not drop a repeat, so a further assignment might have its effect twice.
    if (r.fingerprint.empty() && directory.fingerprinted.contains(r.workload))
        return Refused{400, "this class needs an Idempotency-Key"};
    if (!read_figures(head.field("X-Attrs"), r)) return Refused{400, "X-Attrs cannot be read"};
    r.is_retry = head.field("X-Retried") == "1";
    r.method = head.method;
    r.target = head.target;
    r.content_type = head.field("Content-Type");
    return r;
}

}  // namespace gannethold::clients
