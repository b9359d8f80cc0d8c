// JSON: a value, a parser that reports the position of an error, and a serializer.
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
using Array = std::vector<Value>;
using Object = std::map<std::string, Value, std::less<>>;
struct Number {
    std::string text;  // as written, so that no precision is lost
    double value() const;
};

// Any JSON value; null by default.
class Value {
  public:
    using Variant = std::variant<std::nullptr_t, bool, Number, std::string, Array, Object>;

    Value() = default;
    template <class T>
    explicit Value(T value) : variant_(std::in_place_type<T>, std::move(value)) {}

    template <class T>
    const T* get() const {
        return std::get_if<T>(&variant_);
    }
    const Value* find(std::string_view name) const;  // a member of an object; nullptr: none
    // The member of that name; nullptr or nullopt if it is missing or of another type.
    const std::string* find_string(std::string_view name) const;
    std::optional<double> find_number(std::string_view name) const;
    const Variant& variant() const { return variant_; }

  private:
    Variant variant_ = nullptr;
};

// The text is not JSON, or nests too deep.
class ParseError : public std::runtime_error {
  public:
    ParseError(const std::string& what, std::size_t offset)
        : std::runtime_error(what + " at byte " + std::to_string(offset)) {}
};

Value parse(std::string_view text);  // throws ParseError
std::string serialize(const Value& value);

}  // namespace gannethold::json
