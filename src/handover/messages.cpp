#include "handover/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "json/json.hpp"

namespace gannethold::handover {
namespace {

constexpr std::array<std::pair<MessageKind, std::string_view>, 5> kKindNames{
    {{MessageKind::greeting, "greeting"},
     {MessageKind::list, "list"},
     {MessageKind::runner_conditions, "troubles"},
     {MessageKind::learned, "learned"},
     {MessageKind::done, "done"}}};
constexpr std::size_t kMaxHeaderBytes = 40;
constexpr Micros kMaxConditionTime = 600'000'000;

json::Value integer(std::int64_t n) { return json::Value(json::Number{std::to_string(n)}); }

std::optional<json::Value> parse_object(const std::string& body) {
    try {
        json::Value value = json::parse(body);
        if (value.get<json::Object>()) return value;
    } catch (const json::ParseError&) {
    }
    return std::nullopt;
}

Micros read_micros(const json::Value& of, std::string_view name, Micros default_value) {
    const auto n = of.find_number(name);
    return n && *n >= 0 && *n <= static_cast<double>(kMaxConditionTime) ? static_cast<Micros>(*n)
                                                                        : default_value;
}

}  // namespace

std::string encode(const Message& message) {
    const auto name = std::find_if(kKindNames.begin(), kKindNames.end(),
                                   [&](const auto& n) { return n.first == message.kind; });
    return std::string(name->second) + " " + std::to_string(message.body.size()) + "\n" + message.body;
}

bool MessageReader::feed(std::string_view bytes) {
    if (consumed_ > 0) buffer_.erase(0, std::exchange(consumed_, 0));
    if (is_valid_) buffer_ += bytes;
    // The sender may be a foreign process, or send an endless message.
    if (buffer_.size() > kMaxMessageBytes + kMaxHeaderBytes) is_valid_ = false;
    return is_valid_;
}

std::optional<Message> MessageReader::next() {
    while (is_valid_) {
        const std::string_view rest = std::string_view(buffer_).substr(consumed_);
        const auto header_length = rest.substr(0, kMaxHeaderBytes).find('\n');
        if (header_length == std::string_view::npos) {
            is_valid_ = rest.size() < kMaxHeaderBytes;
            return std::nullopt;
        }
        const auto space = rest.substr(0, header_length).find(' ');
        std::size_t length = 0;
        const char* const end = rest.data() + header_length;
        if (space == std::string_view::npos) return is_valid_ = false, std::nullopt;
        const auto [read, wrong] = std::from_chars(rest.data() + space + 1, end, length);
        if (wrong != std::errc() || read != end || length > kMaxMessageBytes)
            return is_valid_ = false, std::nullopt;
        if (rest.size() - header_length - 1 < length) return std::nullopt;
        const std::string_view kind_name = rest.substr(0, space);
        Message message{{}, std::string(rest.substr(header_length + 1, length))};
        consumed_ += header_length + 1 + length;
        const auto name = std::find_if(kKindNames.begin(), kKindNames.end(),
                                       [&](const auto& n) { return n.second == kind_name; });
        if (name == kKindNames.end()) continue;
        message.kind = name->first;
        return message;
    }
    return std::nullopt;
}

std::string encode(const Greeting& greeting) {
    json::Object object;
    object["v"] = integer(greeting.version), object["name"] = json::Value(greeting.name);
    object["others"] = integer(static_cast<std::int64_t>(greeting.others));
    return json::serialize(json::Value(std::move(object)));
}

std::optional<Greeting> decode_greeting(const std::string& body) {
    const auto object = parse_object(body);
    const std::string* const name = object ? object->find_string("name") : nullptr;
    const auto version = object ? object->find_number("v") : std::nullopt;
    if (!name || !version) return std::nullopt;
    return Greeting{
        static_cast<int>(std::clamp(*version, 0.0, 1e6)), *name,
        static_cast<std::size_t>(std::clamp(object->find_number("others").value_or(0), 0.0, 8.0))};
}

std::string encode(const RunnerConditions& runner_conditions) {
    json::Object all;
    for (const auto& [name, condition] : runner_conditions) {
        json::Object object;
        if (condition.ejected_for > 0) object["aside_us"] = integer(condition.ejected_for);
        if (condition.warming_for >= 0) object["cold_us"] = integer(condition.warming_for);
        all[name] = json::Value(std::move(object));
    }
    return json::serialize(json::Value(std::move(all)));
}

RunnerConditions decode_runner_conditions(const std::string& body) {
    RunnerConditions runner_conditions;
    const auto object = parse_object(body);
    if (!object) return runner_conditions;
    for (const auto& [name, entry] : *object->get<json::Object>())
        runner_conditions[name] = {read_micros(entry, "aside_us", 0), read_micros(entry, "cold_us", -1)};
    return runner_conditions;
}

}  // namespace gannethold::handover
