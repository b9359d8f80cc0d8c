#include "handover/words.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "json/json.hpp"

namespace gannethold::handover {
namespace {

constexpr std::array<std::pair<Kind, std::string_view>, 5> kNames{{{Kind::greeting, "greeting"},
                                                                   {Kind::list, "list"},
                                                                   {Kind::troubles, "troubles"},
                                                                   {Kind::learned, "learned"},
                                                                   {Kind::done, "done"}}};
constexpr std::size_t kLongestHead = 40;
constexpr Micros kLongestTrouble = 600'000'000;

json::Value whole(std::int64_t n) { return json::Value(json::Number{std::to_string(n)}); }

std::optional<json::Value> object(const std::string& body) {
    try {
        json::Value value = json::parse(body);
        if (value.get<json::Object>()) return value;
    } catch (const json::ParseError&) {
    }
    return std::nullopt;
}

Micros within(const json::Value& of, std::string_view name, Micros otherwise) {
    const auto n = of.find_number(name);
    return n && *n >= 0 && *n <= static_cast<double>(kLongestTrouble) ? static_cast<Micros>(*n) : otherwise;
}

}  // namespace

std::string spell(const Word& word) {
    const auto name =
        std::find_if(kNames.begin(), kNames.end(), [&](const auto& n) { return n.first == word.kind; });
    return std::string(name->second) + " " + std::to_string(word.body.size()) + "\n" + word.body;
}

bool Reader::feed(std::string_view bytes) {
    if (from_ > 0) held_.erase(0, std::exchange(from_, 0));
    if (sound_) held_ += bytes;
    // Against a foreign speaker, or one that never comes to an end.
    if (held_.size() > kLongestWord + kLongestHead) sound_ = false;
    return sound_;
}

std::optional<Word> Reader::next() {
    while (sound_) {
        const std::string_view left = std::string_view(held_).substr(from_);
        const auto line = left.substr(0, kLongestHead).find('\n');
        if (line == std::string_view::npos) {
            sound_ = left.size() < kLongestHead;
            return std::nullopt;
        }
        const auto space = left.substr(0, line).find(' ');
        std::size_t length = 0;
        const char* const end = left.data() + line;
        if (space == std::string_view::npos) return sound_ = false, std::nullopt;
        const auto [read, wrong] = std::from_chars(left.data() + space + 1, end, length);
        if (wrong != std::errc() || read != end || length > kLongestWord) return sound_ = false, std::nullopt;
        if (left.size() - line - 1 < length) return std::nullopt;
        const std::string_view called = left.substr(0, space);
        Word word{{}, std::string(left.substr(line + 1, length))};
        from_ += line + 1 + length;
        const auto name =
            std::find_if(kNames.begin(), kNames.end(), [&](const auto& n) { return n.second == called; });
        if (name == kNames.end()) continue;
        word.kind = name->first;
        return word;
    }
    return std::nullopt;
}

std::string spell(const Greeting& greeting) {
    json::Object o;
    o["v"] = whole(greeting.version), o["name"] = json::Value(greeting.name);
    o["others"] = whole(static_cast<std::int64_t>(greeting.others));
    return json::serialize(json::Value(std::move(o)));
}

std::optional<Greeting> read_greeting(const std::string& body) {
    const auto said = object(body);
    const std::string* const name = said ? said->find_string("name") : nullptr;
    const auto version = said ? said->find_number("v") : std::nullopt;
    if (!name || !version) return std::nullopt;
    return Greeting{static_cast<int>(std::clamp(*version, 0.0, 1e6)), *name,
                    static_cast<std::size_t>(std::clamp(said->find_number("others").value_or(0), 0.0, 8.0))};
}

std::string spell(const Troubles& troubles) {
    json::Object all;
    for (const auto& [name, t] : troubles) {
        json::Object o;
        if (t.aside_for > 0) o["aside_us"] = whole(t.aside_for);
        if (t.cold_for >= 0) o["cold_us"] = whole(t.cold_for);
        all[name] = json::Value(std::move(o));
    }
    return json::serialize(json::Value(std::move(all)));
}

Troubles read_troubles(const std::string& body) {
    Troubles troubles;
    const auto said = object(body);
    if (!said) return troubles;
    for (const auto& [name, one] : *said->get<json::Object>())
        troubles[name] = {within(one, "aside_us", 0), within(one, "cold_us", -1)};
    return troubles;
}

}  // namespace gannethold::handover
