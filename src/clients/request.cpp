#include "clients/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace gannethold::clients {
namespace {

constexpr std::size_t kMaxIdBytes = 128;
// Headers of which a repetition is ambiguous; a request that repeats one is rejected.
constexpr std::array kSingle = {"Host",    "X-Request-ID", "X-Timeout",   "X-Tenant-Id", "Idempotency-Key",
                                "X-Attrs", "X-Retried",    "Content-Type"};
constexpr Micros kMaxTimeout = 24 * 3'600'000'000LL;  // a day; a longer one is considered a mistake

std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

// Parses a number with a unit: m for milliseconds, u for microseconds.
std::optional<Micros> parse_timeout(std::string_view text) {
    if (text.empty() || (text.back() != 'm' && text.back() != 'u')) return std::nullopt;
    const auto value = parse_number(text.substr(0, text.size() - 1));
    const double micros = value.value_or(-1) * (text.back() == 'm' ? 1000 : 1);
    if (!(micros >= 1) || micros > static_cast<double>(kMaxTimeout)) return std::nullopt;
    return static_cast<Micros>(micros);
}

// FNV-1a, so that all dispatchers and builds agree.
std::uint64_t fingerprint(std::string_view text) {
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash;
}

// The text is forwarded to runners unchanged, so only visible ASCII of a bounded length is accepted.
bool is_valid_id(std::string_view text) {
    return text.size() <= kMaxIdBytes &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool read_attributes(std::string_view text, Request& request) {
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const std::string_view attribute = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const auto equals = attribute.find('=');
        if (equals == std::string_view::npos) return false;
        const std::string_view name = attribute.substr(0, equals);
        const auto value = parse_number(attribute.substr(equals + 1));
        // The values of other attributes are not validated.
        const bool slots = name == "slots" || name == "cores_needed", memory = name == "memory";
        const bool hint = name == "hint" || name == "hint_us";
        if (!slots && !memory && !hint) continue;
        if (!value || *value < 0 || *value > 1e9) return false;
        if (slots) request.slots = *value;
        if (memory) request.memory = *value;
        if (hint) request.cost_hint = static_cast<Micros>(*value);
    }
    return true;
}

}  // namespace

Directory::Directory(const SettingsMap& settings, const std::vector<WorkloadId>& indexes) {
    const auto read = [&settings](const std::string& list, auto& into, auto id_at, auto on_each) {
        for (unsigned i = 0;; ++i) {
            const std::string prefix = list + "." + std::to_string(i) + ".";
            const auto name = settings.find(prefix + "name");
            if (name == settings.end()) return;
            const auto id = static_cast<typename std::decay_t<decltype(into)>::mapped_type>(id_at(i));
            into.emplace(name->second, id);
            on_each(id, prefix);
        }
    };
    const auto id_of = [&](unsigned i) { return i < indexes.size() ? static_cast<unsigned>(indexes[i]) : i; };
    read("workloads", workloads, id_of, [&](WorkloadId id, const std::string& prefix) {
        const auto effect = settings.find(prefix + "effect");
        if (effect != settings.end() && effect->second == "fingerprinted") fingerprinted.insert(id);
        const auto expiry = settings.find(prefix + "expiry_us");
        if (expiry == settings.end()) return;
        const auto micros = parse_number(expiry->second);
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
    Request request;
    std::string_view path = head.path().substr(1);
    const auto workload = directory.workloads.find(path.substr(0, path.find('/')));
    if (workload == directory.workloads.end()) return Refused{404, "no such class"};
    request.workload = workload->second;
    // The last segment of the path is the key of the request.
    if (const auto last = path.rfind('/'); last != std::string_view::npos && last + 1 < path.size())
        request.key = fingerprint(path.substr(last + 1));
    request.id = head.field("X-Request-ID");
    if (request.id.empty() || !is_valid_id(request.id))
        return Refused{400, "X-Request-ID is missing or no id"};
    if (!directory.customers.empty()) {
        const auto customer = directory.customers.find(head.field("X-Tenant-Id"));
        if (customer == directory.customers.end()) return Refused{400, "no such tenant"};
        request.customer = customer->second;
    }
    const auto timeout = parse_timeout(head.field("X-Timeout"));
    if (!timeout) return Refused{400, "X-Timeout is missing or no time span"};
    // With an excessive timeout a task would be kept, or stay at a runner that hangs, for as long.
    const auto max_timeout = directory.max_timeouts.find(request.workload);
    if (max_timeout != directory.max_timeouts.end() && *timeout > max_timeout->second)
        return Refused{400, "X-Timeout is far beyond what this class waits"};
    request.timeout = *timeout;
    request.fingerprint = head.field("Idempotency-Key");
    if (!is_valid_id(request.fingerprint)) return Refused{400, "Idempotency-Key is no key"};
    // Without the key a runner could not detect a repeated assignment, and the effect could occur twice.
    if (request.fingerprint.empty() && directory.fingerprinted.contains(request.workload))
        return Refused{400, "this class needs an Idempotency-Key"};
    if (!read_attributes(head.field("X-Attrs"), request)) return Refused{400, "X-Attrs cannot be read"};
    request.is_retry = head.field("X-Retried") == "1";
    request.method = head.method;
    request.target = head.target;
    request.content_type = head.field("Content-Type");
    return request;
}

}  // namespace gannethold::clients
