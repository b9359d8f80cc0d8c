// JSON: a value, a reader that says where a text is wrong, and a writer.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gannethold::json {

class Value;
using List = std::vector<Value>;
using Object = std::map<std::string, Value, std::less<>>;
struct Number {
    std::string text;  // as written: so nothing is lost on the way from one reader to another
    double value() const;
};

class Value {
  public:
    using Held = std::variant<std::nullptr_t, bool, Number, std::string, List, Object>;

    Value() = default;
    template <class T>
    explicit Value(T held) : held_(std::in_place_type<T>, std::move(held)) {}

    template <class T>
    const T* get() const {
        return std::get_if<T>(&held_);
    }
    const Value* find(std::string_view name) const;  // of an object; nullptr where there is none
    // What stands under that name, if it is of that kind.
    const std::string* text(std::string_view name) const;
    std::optional<double> number(std::string_view name) const;
    const Held& held() const { return held_; }

  private:
    Held held_ = nullptr;
};

class Malformed : public std::runtime_error {
  public:
    Malformed(const std::string& what, std::size_t at)
        : std::runtime_error(what + " at byte " + std::to_string(at)) {}
};

Value read(std::string_view text);  // throws Malformed
std::string write(const Value& value);

}  // namespace gannethold::json
