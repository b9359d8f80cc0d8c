#include "toml/toml_reader.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace gannethold::toml {
namespace {

// The Levenshtein distance of two names.
std::size_t edit_distance(const std::string& from, const std::string& to) {
    std::vector<std::size_t> row(to.size() + 1);
    for (std::size_t j = 0; j < row.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= from.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j < row.size(); ++j) {
            const std::size_t substituted = diagonal + (from[i - 1] != to[j - 1] ? 1 : 0);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

}  // namespace

std::string closest_name(const std::string& name, const std::vector<std::string>& known) {
    std::string closest;
    std::size_t min_distance = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string& candidate : known) {
        const std::size_t distance = edit_distance(name, candidate);
        if (distance >= min_distance) continue;
        min_distance = distance;
        closest = candidate;
    }
    return closest;
}

struct TomlReader::Table {
    std::shared_ptr<const ::toml::table> root;           // owns what `nodes` points into
    const ::toml::table* nodes = nullptr;                // nullptr: the file has no such table
    std::string source;                                  // the file's name
    std::string path;                                    // of this table in the file; "" for the root
    std::shared_ptr<std::vector<std::string>> warnings;  // of the file
    mutable std::set<std::string> read_names;
    mutable std::map<std::string, std::string> old_names;  // in the file, by their present name
    mutable std::vector<std::shared_ptr<Table>> children;  // obtained from this one

    const ::toml::node* find(const std::string& name) const {
        read_names.insert(name);
        return nodes ? nodes->get(name_in_file(name)) : nullptr;
    }
    const std::string& name_in_file(const std::string& name) const {
        const auto old_name = old_names.find(name);
        return old_name == old_names.end() ? name : old_name->second;
    }
    std::string full_name(const std::string& name) const {
        return path.empty() ? name_in_file(name) : path + "." + name_in_file(name);
    }
    // "file:line: message", by the line of the node, or of this table.
    std::string with_line(const ::toml::node* node, const std::string& message) const {
        const ::toml::node* const located = node ? node : nodes;
        const auto line = located ? located->source().begin.line : 0;
        return source + ":" + std::to_string(line) + ": " + message;
    }
    [[noreturn]] void reject(const ::toml::node* node, const std::string& message) const {
        throw TomlError(with_line(node, message));
    }
    std::shared_ptr<Table> add_child(const ::toml::table* child_nodes, const std::string& name) const {
        auto child = std::make_shared<Table>();
        child->root = root;
        child->nodes = child_nodes;
        child->source = source;
        child->path = full_name(name);
        child->warnings = warnings;
        children.push_back(child);
        return child;
    }
    bool is_known(const std::string& name_of_file) const {
        if (read_names.contains(name_of_file)) return true;
        return std::any_of(old_names.begin(), old_names.end(),
                           [&](const auto& entry) { return entry.second == name_of_file; });
    }
    void reject_unread_names() const {
        if (nodes) {
            for (const auto& [key, node] : *nodes) {
                const std::string name(key.str());
                if (!is_known(name)) reject_unread(node, name);
            }
        }
        for (const auto& child : children) child->reject_unread_names();
    }
    [[noreturn]] void reject_unread(const ::toml::node& node, const std::string& name) const {
        const std::string closest = closest_name(name, {read_names.begin(), read_names.end()});
        reject(&node, "no such name: " + full_name(name) +
                          (closest.empty() ? "" : "; did you mean " + closest + "?"));
    }
    // The array of that name; nullptr: missing. `elements` describes its elements in errors.
    const ::toml::array* find_array(const std::string& name, const std::string& elements) const {
        const ::toml::node* const node = find(name);
        if (!node) return nullptr;
        if (!node->is_array()) reject(node, full_name(name) + " is not a list of " + elements);
        return node->as_array();
    }
};

TomlReader TomlReader::read(const std::string& text, const std::string& source) {
    auto table = std::make_shared<Table>();
    table->source = source;
    table->warnings = std::make_shared<std::vector<std::string>>();
    try {
        table->root = std::make_shared<::toml::table>(::toml::parse(text, source));
        table->nodes = table->root.get();
    } catch (const ::toml::parse_error& error) {
        throw TomlError(source + ":" + std::to_string(error.source().begin.line) + ": " +
                        std::string(error.description()));
    }
    return TomlReader(std::move(table));
}

TomlReader TomlReader::read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw TomlError(path + ":0: cannot be read");
    return read({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}, path);
}

bool TomlReader::has(const std::string& name) const { return table_->find(name) != nullptr; }

double TomlReader::get_number(const std::string& name, double default_value, double min, double max) const {
    const ::toml::node* const node = table_->find(name);
    if (!node) return default_value;
    const auto value = node->value<double>();
    if (!value || node->is_boolean()) table_->reject(node, table_->full_name(name) + " is not a number");
    if (!(*value >= min && *value <= max)) {
        std::ostringstream message;
        message << table_->full_name(name) << " is " << *value << ", it may be from " << min << " to " << max;
        table_->reject(node, message.str());
    }
    return *value;
}

std::int64_t TomlReader::get_integer(const std::string& name, std::int64_t default_value, std::int64_t min,
                                     std::int64_t max) const {
    const ::toml::node* const node = table_->find(name);
    if (node && !node->is_integer()) table_->reject(node, table_->full_name(name) + " is not a whole number");
    return static_cast<std::int64_t>(get_number(name, static_cast<double>(default_value),
                                                static_cast<double>(min), static_cast<double>(max)));
}

bool TomlReader::get_bool(const std::string& name, bool default_value) const {
    const ::toml::node* const node = table_->find(name);
    if (!node) return default_value;
    const auto value = node->value<bool>();
    if (!node->is_boolean() || !value)
        table_->reject(node, table_->full_name(name) + " is neither true nor false");
    return *value;
}

std::string TomlReader::get_string(const std::string& name, const std::string& default_value) const {
    const ::toml::node* const node = table_->find(name);
    if (!node) return default_value;
    auto value = node->value<std::string>();
    if (!node->is_string() || !value)
        table_->reject(node, table_->full_name(name) + " is not a text in quotes");
    return *std::move(value);
}

std::string TomlReader::get_one_of(const std::string& name, std::initializer_list<const char*> choices,
                                   const std::string& default_value) const {
    std::string value = get_string(name, default_value);
    std::string list;
    for (const char* const choice : choices) {
        if (value == choice) return value;
        list.append(list.empty() ? "" : ", ").append(choice);
    }
    reject(name, "is \"" + value + "\", it may be one of " + list);
}

std::vector<std::string> TomlReader::get_strings(const std::string& name) const {
    std::vector<std::string> values;
    const ::toml::array* const array = table_->find_array(name, "texts");
    if (!array) return values;
    for (const ::toml::node& element : *array) {
        const auto value = element.value<std::string>();
        if (!element.is_string() || !value)
            table_->reject(&element, table_->full_name(name) + " holds what is not a text in quotes");
        values.push_back(*value);
    }
    return values;
}

std::vector<double> TomlReader::get_numbers(const std::string& name, double min, double max) const {
    std::vector<double> values;
    const ::toml::array* const array = table_->find_array(name, "numbers");
    if (!array) return values;
    for (const ::toml::node& element : *array) {
        const auto value = element.value<double>();
        if (!value || !(*value >= min && *value <= max))
            table_->reject(&element, table_->full_name(name) + " holds what is not a number in its bounds");
        values.push_back(*value);
    }
    return values;
}

TomlReader TomlReader::get_table(const std::string& name) const {
    const ::toml::node* const node = table_->find(name);
    if (node && !node->is_table()) table_->reject(node, table_->full_name(name) + " is not a table");
    return TomlReader(table_->add_child(node ? node->as_table() : nullptr, name));
}

std::vector<TomlReader> TomlReader::get_tables(const std::string& name) const {
    std::vector<TomlReader> tables;
    const ::toml::array* const array =
        table_->find_array(name, "tables, [[" + table_->full_name(name) + "]]");
    if (!array) return tables;
    for (const ::toml::node& element : *array) {
        if (!element.is_table())
            table_->reject(&element, table_->full_name(name) + " holds what is not a table");
        tables.push_back(TomlReader(table_->add_child(element.as_table(), name)));
    }
    return tables;
}

void TomlReader::accept_old_name(const std::string& name, const std::string& old_name) const {
    const ::toml::node* const old_node = table_->nodes ? table_->nodes->get(old_name) : nullptr;
    if (!old_node) return;
    const std::string message =
        table_->full_name(old_name) + " is the old name of " + table_->full_name(name);
    if (table_->nodes->get(name)) table_->reject(old_node, message + ", which stands here too: take one out");
    table_->warnings->push_back(table_->with_line(old_node, message + ", and is still read"));
    table_->old_names[name] = old_name;
}

const std::vector<std::string>& TomlReader::warnings() const { return *table_->warnings; }

void TomlReader::reject_unread_names() const { table_->reject_unread_names(); }

void TomlReader::reject(const std::string& name, const std::string& reason) const {
    table_->reject(table_->find(name), table_->full_name(name) + " " + reason);
}

}  // namespace gannethold::toml
