// Declares how a plain structure corresponds to a Cap'n Proto structure. Each field is listed once, and that
// entry both encodes and decodes it.
//
//   template <>
//   struct Mapping<LogPosition> {
//       using Reader = capnproto::LogPosition::Reader;
//       using Builder = capnproto::LogPosition::Builder;
//       using Fields = FieldList<Field<&LogPosition::term, &Reader::getTerm, &Builder::setTerm>,
//                                Field<&LogPosition::index, &Reader::getIndex, &Builder::setIndex>>;
//   };
//
// Fields are encoded in the order of their list, which determines the position of texts, lists and structures
// in the encoded bytes. The order must not change: the bytes are compared with those of earlier versions.
//
// Private to the sources of this folder, because it includes Cap'n Proto.
#pragma once

#include <capnp/list.h>
#include <capnp/message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace gannethold::cluster::mapping {

// Specialized for each structure that has a Cap'n Proto counterpart; defines Reader, Builder and Fields.
template <class Value>
struct Mapping;

// Specialized for each enumeration; defines kLast, its greatest enumerator, and kUnknown, the enumerator that
// replaces a greater value when decoding (nullopt: the message is malformed).
template <class Enum>
struct Enumeration;

template <class Value>
struct IsList : std::false_type {};
template <class Element>
struct IsList<std::vector<Element>> : std::true_type {};

inline std::string to_string(capnp::Text::Reader text) { return {text.begin(), text.size()}; }
inline std::string to_string(capnp::Data::Reader bytes) {
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}
inline capnp::Data::Reader to_data(const std::string& bytes) {
    return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}
inline capnp::Text::Reader to_text(const std::string& text) { return {text.c_str(), text.size()}; }

template <class Value>
void encode_fields(const Value& value, typename Mapping<Value>::Builder to) {
    Mapping<Value>::Fields::encode(value, to);
}

// Returns false if an enumeration has an unknown value for which there is no substitute.
template <class Value>
[[nodiscard]] bool decode_fields(Value& value, typename Mapping<Value>::Reader from) {
    return Mapping<Value>::Fields::decode(value, from);
}

template <class Element, class List>
void encode_list(const std::vector<Element>& values, List to) {
    unsigned index = 0;
    for (const Element& value : values) {
        if constexpr (std::is_same_v<Element, std::string>)
            to.set(index, to_text(value));
        else
            encode_fields(value, to[index]);
        ++index;
    }
}

template <class Element, class List>
[[nodiscard]] bool decode_list(std::vector<Element>& values, List from) {
    values.reserve(from.size());
    for (const auto element : from) {
        if constexpr (std::is_same_v<Element, std::string>) {
            values.push_back(to_string(element));
        } else {
            Element value;
            if (!decode_fields(value, element)) return false;
            values.push_back(std::move(value));
        }
    }
    return true;
}

template <class Enum>
[[nodiscard]] bool decode_enum(Enum& value, std::uint8_t number) {
    if (number <= static_cast<std::uint8_t>(Enumeration<Enum>::kLast)) {
        value = static_cast<Enum>(number);
        return true;
    }
    if (Enumeration<Enum>::kUnknown) value = *Enumeration<Enum>::kUnknown;
    return Enumeration<Enum>::kUnknown.has_value();
}

// One field: the plain structure's Member, the reader's Get, and the builder's Set if the field is a number,
// a text or bytes, otherwise its Init.
template <auto Member, auto Get, auto SetOrInit>
struct Field {
    template <class Value, class Builder>
    static void encode(const Value& value, Builder& to) {
        const auto& field = value.*Member;
        using FieldType = std::decay_t<decltype(field)>;
        if constexpr (IsList<FieldType>::value)
            encode_list(field, (to.*SetOrInit)(static_cast<unsigned>(field.size())));
        else if constexpr (std::is_enum_v<FieldType>)
            (to.*SetOrInit)(static_cast<std::uint8_t>(field));
        else if constexpr (std::is_arithmetic_v<FieldType>)
            (to.*SetOrInit)(field);
        else if constexpr (std::is_invocable_v<decltype(SetOrInit), Builder&, capnp::Data::Reader>)
            (to.*SetOrInit)(to_data(field));
        else if constexpr (std::is_same_v<FieldType, std::string>)
            (to.*SetOrInit)(to_text(field));
        else
            encode_fields(field, (to.*SetOrInit)());
    }

    template <class Value, class Reader>
    [[nodiscard]] static bool decode(Value& value, const Reader& from) {
        auto& field = value.*Member;
        using FieldType = std::decay_t<decltype(field)>;
        if constexpr (IsList<FieldType>::value)
            return decode_list(field, (from.*Get)());
        else if constexpr (std::is_enum_v<FieldType>)
            return decode_enum(field, (from.*Get)());
        else if constexpr (std::is_arithmetic_v<FieldType>)
            field = (from.*Get)();
        else if constexpr (std::is_same_v<FieldType, std::string>)
            field = to_string((from.*Get)());
        else
            return decode_fields(field, (from.*Get)());
        return true;
    }
};

// A field that is encoded only if IsSent(structure) is true.
template <auto IsSent, class Inner>
struct FieldIf {
    template <class Value, class Builder>
    static void encode(const Value& value, Builder& to) {
        if (IsSent(value)) Inner::encode(value, to);
    }
    template <class Value, class Reader>
    [[nodiscard]] static bool decode(Value& value, const Reader& from) {
        return Inner::decode(value, from);
    }
};

// A nested structure without a counterpart in the plain structure: encoded empty, ignored when decoding.
template <auto Init>
struct EmptyField {
    template <class Value, class Builder>
    static void encode(const Value&, Builder& to) {
        (to.*Init)();
    }
    template <class Value, class Reader>
    [[nodiscard]] static bool decode(Value&, const Reader&) {
        return true;
    }
};

// The fields of a structure, in the order in which they are encoded.
template <class... Fields>
struct FieldList {
    template <class Value, class Builder>
    static void encode(const Value& value, Builder& to) {
        (Fields::encode(value, to), ...);
    }
    template <class Value, class Reader>
    [[nodiscard]] static bool decode(Value& value, const Reader& from) {
        return (Fields::decode(value, from) && ...);
    }
};

}  // namespace gannethold::cluster::mapping
