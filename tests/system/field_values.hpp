// Compares plain structures field by field, by reflection (Boost.PFR): fields that are added later are
// covered automatically.
#pragma once

#include <boost/pfr.hpp>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace gannethold::cluster::tests {

template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};
template <class T>
struct IsVariant : std::false_type {};
template <class... T>
struct IsVariant<std::variant<T...>> : std::true_type {};

template <class T, class Act, std::size_t... Index>
void for_each_pair([[maybe_unused]] const T& first, [[maybe_unused]] const T& second,
                   [[maybe_unused]] const Act& act, std::index_sequence<Index...>) {
// Boost.PFR accesses fields by offset, which the analyzer of clang-tidy 14 cannot follow. It reports each
// field as uninitialized inside Boost's header, where no NOLINT comment can be added.
#ifndef __clang_analyzer__
    (act(boost::pfr::get<Index>(first), boost::pfr::get<Index>(second)), ...);
#endif
}

// Calls act with each field of one structure and the corresponding field of the other.
template <class T, class Act>
void for_each_field_pair(const T& first, const T& second, const Act& act) {
    if constexpr (!std::is_empty_v<T>)
        for_each_pair(first, second, act, std::make_index_sequence<boost::pfr::tuple_size_v<T>>{});
}

// Whether two values are equal, comparing structures, lists and variants element by element.
template <class T>
bool fields_equal(const T& first, const T& second) {
    if constexpr (IsVariant<T>::value) {
        if (first.index() != second.index()) return false;
        return std::visit(
            [&](const auto& value) {
                return fields_equal(value, std::get<std::decay_t<decltype(value)>>(second));
            },
            first);
    } else if constexpr (IsVector<T>::value) {
        bool all = first.size() == second.size();
        for (std::size_t index = 0; all && index < first.size(); ++index)
            all = fields_equal(first[index], second[index]);
        return all;
    } else if constexpr (std::is_aggregate_v<T>) {
        bool all = true;
        for_each_field_pair(first, second, [&](const auto& left, const auto& right) {
            all = fields_equal(left, right) && all;
        });
        return all;
    } else {
        return first == second;
    }
}

// Fails for each field of value that equals the one in initial, and for each list with fewer than two
// elements.
template <class T>
void check_every_field_set(const T& value, const T& initial) {
    if constexpr (IsVector<T>::value) {
        BOOST_TEST(value.size() > 1);
        for (const auto& element : value) check_every_field_set(element, typename T::value_type{});
    } else if constexpr (std::is_aggregate_v<T>) {
        for_each_field_pair(value, initial, [](const auto& field, const auto& initial_field) {
            check_every_field_set(field, initial_field);
        });
    } else {
        BOOST_TEST((value != initial));
    }
}

}  // namespace gannethold::cluster::tests
