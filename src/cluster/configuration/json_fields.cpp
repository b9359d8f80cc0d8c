#include "cluster/configuration/json_fields.hpp"

#include <string_view>

namespace gannethold::cluster {
namespace {

constexpr double kMaxNumber = 1e15;  // a double counts whole microseconds up to here

}  // namespace

leaf::error_id invalid(const std::string& where, const std::string& what) {
    return make_error(ErrorCode::configuration_invalid, where + ": " + what);
}

leaf::result<std::string> required_text(const simdjson::dom::object& object, const char* field,
                                        const std::string& where) {
    std::string_view text;
    if (object[field].get(text) || text.empty())
        return invalid(where, std::string(field) + " is not a non-empty string");
    return std::string(text);
}

leaf::result<double> number_or(double fallback, const simdjson::dom::object& object, const char* field,
                               const std::string& where, double min) {
    simdjson::dom::element element;
    if (object[field].get(element) || element.is_null()) return fallback;
    double value = 0;
    const bool is_number = !element.get(value);
    const bool in_range = value >= min && value <= kMaxNumber;  // false for NaN
    if (!is_number || !in_range)
        return invalid(where, std::string(field) + " is not a number of at least " +
                                  std::to_string(static_cast<long>(min)));
    return value;
}

}  // namespace gannethold::cluster
