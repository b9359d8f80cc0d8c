// How a plain structure and a Cap'n Proto structure correspond: each field is named once, and is encoded and
// decoded by that one line.
//
//   template <>
//   struct Mapping<LogPosition> {
//       using Reader = capnproto::LogPosition::Reader;
//       using Builder = capnproto::LogPosition::Builder;
//       using Fields = FieldList<Field<&LogPosition::term, &Reader::getTerm, &Builder::setTerm>,
//                                Field<&LogPosition::index, &Reader::getIndex, &Builder::setIndex>>;
//   };
//
// Fields are encoded in the order of their list. The order of texts, lists and structures decides where they
// stand in the encoded bytes, which are compared with those of earlier versions: it must not change.
//
// Only for the sources of this folder: it includes Cap'n Proto.
#pragma once

#include <capnp/list.h>
#include <capnp/message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace gannethold::cluster::mapping {

// Specialized for each structure that has a Cap'n Proto counterpart: Reader, Builder and Fields.
template <class Value>
struct Mapping;

// Specialized for each enumeration: kLast, its greatest value, and kUnknown, what a greater one is read as
// (nullopt: the message is malformed).
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

// False: an enumeration has a value that is unknown and has no substitute.
template <class Value>
[[nodiscard]] bool decode_fields(Value& value, typename Mapping<Value>::Reader from) {
    return Mapping<Value>::Fields::decode(value, from);
}

template <class Element, class List>
void encode_list(const std::vector<Element>& values, List to) {
    unsigned place = 0;
    for (const Element& value : values) {
        if constexpr (std::is_same_v<Element, std::string>)
            to.set(place, to_text(value));
        else
            encode_fields(value, to[place]);
        ++place;
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

// One field: Member of the plain structure, Get of the reader, and of the builder Set where the field is a
// number, a text or bytes, else Init.
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

// A field that is encoded only where IsSent says so of the structure.
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

// A structure that the plain one lacks: it is encoded empty, and not read.
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
