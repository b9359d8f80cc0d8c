#include "json/json.hpp"

#include <charconv>
#include <cstdint>
#include <utility>

namespace gannethold::json {
namespace {

constexpr int kMaxDepth = 32;  // bounds the recursion

// A recursive-descent parser for one text.
class Parser {
  public:
    explicit Parser(std::string_view text) : text_(text) {}

    Value parse_document() {
        Value result = value(0);
        skip_space();
        if (offset_ != text_.size()) fail("unexpected text after the value");
        return result;
    }

  private:
    [[noreturn]] void fail(const char* what) const { throw ParseError(what, offset_); }
    char peek() const { return offset_ < text_.size() ? text_[offset_] : '\0'; }
    bool skip(char c) {
        if (peek() != c || offset_ == text_.size()) return false;
        ++offset_;
        return true;
    }
    void skip_space() {
        while (offset_ < text_.size() &&
               std::string_view(" \t\r\n").find(text_[offset_]) != std::string_view::npos)
            ++offset_;
    }
    void literal(std::string_view expected) {
        if (text_.substr(offset_, expected.size()) != expected) fail("expected a value");
        offset_ += expected.size();
    }

    Value value(int depth) {
        if (depth > kMaxDepth) fail("nested too deeply");
        skip_space();
        switch (peek()) {
            case '{':
                return Value(object(depth));
            case '[':
                return Value(array(depth));
            case '"':
                return Value(string());
            case 't':
                return literal("true"), Value(true);
            case 'f':
                return literal("false"), Value(false);
            case 'n':
                return literal("null"), Value();
            default:
                return Value(number());
        }
    }

    Object object(int depth) {
        Object members;
        skip('{');
        skip_space();
        if (skip('}')) return members;
        do {
            skip_space();
            std::string name = string();
            skip_space();
            if (!skip(':')) fail("expected a colon");
            // Parsers differ in which value of a duplicate name they take.
            if (!members.emplace(std::move(name), value(depth + 1)).second) fail("duplicate name");
            skip_space();
        } while (skip(','));
        if (!skip('}')) fail("unterminated object");
        return members;
    }

    Array array(int depth) {
        Array elements;
        skip('[');
        skip_space();
        if (skip(']')) return elements;
        do {
            elements.push_back(value(depth + 1));
            skip_space();
        } while (skip(','));
        if (!skip(']')) fail("unterminated array");
        return elements;
    }

    std::size_t digits() {
        const std::size_t start = offset_;
        while (peek() >= '0' && peek() <= '9') ++offset_;
        if (offset_ == start) fail("expected a value");
        return offset_ - start;
    }

    Number number() {
        const std::size_t start = offset_;
        skip('-');
        const bool zero = peek() == '0';
        if (digits() > 1 && zero) fail("number with a leading zero");
        if (skip('.')) digits();
        if (skip('e') || skip('E')) {
            if (!skip('+')) skip('-');
            digits();
        }
        return {std::string(text_.substr(start, offset_ - start))};
    }

    std::uint32_t four_hex() {
        std::uint32_t code = 0;
        const std::string_view hex = text_.substr(offset_, 4);
        const auto [end, wrong] = std::from_chars(hex.data(), hex.data() + hex.size(), code, 16);
        if (hex.size() < 4 || end != hex.data() + 4 || wrong != std::errc()) fail("invalid escape");
        offset_ += 4;
        return code;
    }

    void escaped(std::string& out) {
        const char c = peek();
        ++offset_;
        const std::size_t simple = std::string_view("\"\\/bfnrt").find(c);
        if (c != '\0' && simple != std::string_view::npos) {
            out.push_back("\"\\/\b\f\n\r\t"[simple]);
            return;
        }
        if (c != 'u') fail("invalid escape");
        std::uint32_t code = four_hex();
        if (code >= 0xd800 && code < 0xdc00) {
            if (!skip('\\') || !skip('u')) fail("incomplete surrogate pair");
            const std::uint32_t low = four_hex();
            if (low < 0xdc00 || low > 0xdfff) fail("incomplete surrogate pair");
            code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
        } else if (code >= 0xdc00 && code < 0xe000) {
            fail("incomplete surrogate pair");
        }
        const auto put = [&out](std::uint32_t byte) { out.push_back(static_cast<char>(byte)); };
        if (code < 0x80) {
            put(code);
        } else if (code < 0x800) {
            put(0xc0 | code >> 6), put(0x80 | (code & 0x3f));
        } else if (code < 0x10000) {
            put(0xe0 | code >> 12), put(0x80 | (code >> 6 & 0x3f)), put(0x80 | (code & 0x3f));
        } else {
            put(0xf0 | code >> 18), put(0x80 | (code >> 12 & 0x3f));
            put(0x80 | (code >> 6 & 0x3f)), put(0x80 | (code & 0x3f));
        }
    }

    std::string string() {
        std::string out;
        if (!skip('"')) fail("expected a string");
        for (;;) {
            if (offset_ == text_.size()) fail("unterminated string");
            const char c = text_[offset_++];
            if (c == '"') return out;
            if (static_cast<unsigned char>(c) < 0x20) fail("control character in a string");
            if (c == '\\')
                escaped(out);
            else
                out.push_back(c);
        }
    }

    std::string_view text_;
    std::size_t offset_ = 0;
};

void write_text(std::string& out, std::string_view text) {
    constexpr char kHex[] = "0123456789abcdef";
    out.push_back('"');
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            out.push_back('\\'), out.push_back(c);
        else if (byte < 0x20)
            out += "\\u00", out.push_back(kHex[byte >> 4]), out.push_back(kHex[byte & 15]);
        else
            out.push_back(c);
    }
    out.push_back('"');
}

void write_value(std::string& out, const Value& value) {
    if (const auto* b = value.get<bool>()) {
        out += *b ? "true" : "false";
    } else if (const auto* n = value.get<Number>()) {
        out += n->text;
    } else if (const auto* s = value.get<std::string>()) {
        write_text(out, *s);
    } else if (const auto* list = value.get<Array>()) {
        out.push_back('[');
        for (const Value& item : *list) {
            if (&item != &list->front()) out.push_back(',');
            write_value(out, item);
        }
        out.push_back(']');
    } else if (const auto* object = value.get<Object>()) {
        out.push_back('{');
        bool first = true;
        for (const auto& [name, item] : *object) {
            if (!std::exchange(first, false)) out.push_back(',');
            write_text(out, name);
            out.push_back(':');
            write_value(out, item);
        }
        out.push_back('}');
    } else {
        out += "null";
    }
}

}  // namespace

double Number::value() const {
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

const Value* Value::find(std::string_view name) const {
    const auto* object = get<Object>();
    if (!object) return nullptr;
    const auto found = object->find(name);
    return found == object->end() ? nullptr : &found->second;
}

const std::string* Value::find_string(std::string_view name) const {
    const Value* const v = find(name);
    return v ? v->get<std::string>() : nullptr;
}

std::optional<double> Value::find_number(std::string_view name) const {
    const Value* const v = find(name);
    const Number* const n = v ? v->get<Number>() : nullptr;
    return n ? std::optional(n->value()) : std::nullopt;
}

Value parse(std::string_view text) { return Parser(text).parse_document(); }

std::string serialize(const Value& value) {
    std::string out;
    write_value(out, value);
    return out;
}

}  // namespace gannethold::json
