#include "toml/toml_reader.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace gannethold::sheets {

struct Sheet::Held {
    std::shared_ptr<const toml::table> root;  // keeps what table points into
    const toml::table* table = nullptr;       // none: there is no such table in the file
    std::string source, path;
    mutable std::set<std::string> asked;
    mutable std::map<std::string, std::string> old_names;  // that the file has, by the present name
    std::shared_ptr<std::vector<std::string>> warnings;    // of the file, shared by its tables
    mutable std::vector<std::shared_ptr<Held>> inner;

    const toml::node* node(const std::string& name) const {
        asked.insert(name);
        return table ? table->get(name_in_file(name)) : nullptr;
    }
    const std::string& name_in_file(const std::string& name) const {
        const auto old_name = old_names.find(name);
        return old_name == old_names.end() ? name : old_name->second;
    }
    std::string full(const std::string& name) const {
        return path.empty() ? name_in_file(name) : path + "." + name_in_file(name);
    }
    std::string located(const toml::node* at, const std::string& what) const {
        const auto line = at ? at->source().begin.line : table ? table->source().begin.line : 0;
        return source + ":" + std::to_string(line) + ": " + what;
    }
    [[noreturn]] void complain(const toml::node* at, const std::string& what) const {
        throw SheetError(located(at, what));
    }
    std::shared_ptr<Held> child(const toml::table* t, const std::string& name) const {
        auto held = std::make_shared<Held>();
        held->root = root, held->table = t, held->source = source, held->path = full(name);
        held->warnings = warnings;
        inner.push_back(held);
        return held;
    }
    bool is_accepted_old_name(const std::string& name) const {
        return std::any_of(old_names.begin(), old_names.end(),
                           [&](const auto& entry) { return entry.second == name; });
    }
    void check_all_asked() const {
        if (table) {
            for (const auto& [key, value] : *table) {
                const std::string name(key.str());
                if (asked.contains(name) || is_accepted_old_name(name)) continue;
                const std::string near = near_name(name, {asked.begin(), asked.end()});
                complain(&value, "no such name: " + full(name) +
                                     (near.empty() ? "" : "; did you mean " + near + "?"));
            }
        }
        for (const auto& one : inner) one->check_all_asked();
    }
};

std::string near_name(const std::string& name, const std::vector<std::string>& known) {
    std::string best;
    std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string& other : known) {
        // Levenshtein's distance, one row at a time.
        std::vector<std::size_t> row(other.size() + 1);
        for (std::size_t j = 0; j < row.size(); ++j) row[j] = j;
        for (std::size_t i = 1; i <= name.size(); ++i) {
            std::size_t corner = std::exchange(row[0], i);
            for (std::size_t j = 1; j < row.size(); ++j) {
                const std::size_t changed = corner + (name[i - 1] != other[j - 1]);
                corner = row[j];
                row[j] = std::min({row[j] + 1, row[j - 1] + 1, changed});
            }
        }
        if (row.back() < least) least = row.back(), best = other;
    }
    return best;
}

Sheet Sheet::read(const std::string& text, const std::string& source) {
    auto held = std::make_shared<Held>();
    held->source = source;
    held->warnings = std::make_shared<std::vector<std::string>>();
    try {
        auto root = std::make_shared<toml::table>(toml::parse(text, source));
        held->root = root;
        held->table = root.get();
    } catch (const toml::parse_error& e) {
        throw SheetError(source + ":" + std::to_string(e.source().begin.line) + ": " +
                         std::string(e.description()));
    }
    return Sheet(std::move(held));
}

Sheet Sheet::read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw SheetError(path + ":0: cannot be read");
    return read({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}, path);
}

bool Sheet::has(const std::string& name) const { return held_->node(name) != nullptr; }

double Sheet::number(const std::string& name, double otherwise, double least, double most) const {
    const toml::node* const node = held_->node(name);
    if (!node) return otherwise;
    const auto value = node->value<double>();
    if (!value || node->is_boolean()) held_->complain(node, held_->full(name) + " is not a number");
    if (!(*value >= least && *value <= most)) {
        std::ostringstream range;
        range << held_->full(name) << " is " << *value << ", it may be from " << least << " to " << most;
        held_->complain(node, range.str());
    }
    return *value;
}

std::int64_t Sheet::whole(const std::string& name, std::int64_t otherwise, std::int64_t least,
                          std::int64_t most) const {
    const toml::node* const node = held_->node(name);
    if (node && !node->is_integer()) held_->complain(node, held_->full(name) + " is not a whole number");
    return static_cast<std::int64_t>(
        number(name, static_cast<double>(otherwise), static_cast<double>(least), static_cast<double>(most)));
}

bool Sheet::yes(const std::string& name, bool otherwise) const {
    const toml::node* const node = held_->node(name);
    if (!node) return otherwise;
    if (!node->is_boolean()) held_->complain(node, held_->full(name) + " is neither true nor false");
    return *node->value<bool>();
}

std::string Sheet::word(const std::string& name, const std::string& otherwise) const {
    const toml::node* const node = held_->node(name);
    if (!node) return otherwise;
    if (!node->is_string()) held_->complain(node, held_->full(name) + " is not a text in quotes");
    return *node->value<std::string>();
}

std::string Sheet::one_of(const std::string& name, std::initializer_list<const char*> choices,
                          const std::string& otherwise) const {
    const std::string said = word(name, otherwise);
    std::string all;
    for (const char* const choice : choices) {
        if (said == choice) return said;
        all += (all.empty() ? "" : ", ") + std::string(choice);
    }
    wrong(name, "is \"" + said + "\", it may be one of " + all);
}

std::vector<std::string> Sheet::words(const std::string& name) const {
    const toml::node* const node = held_->node(name);
    std::vector<std::string> all;
    if (!node) return all;
    const toml::array* const list = node->as_array();
    if (!list) held_->complain(node, held_->full(name) + " is not a list of texts");
    for (const toml::node& one : *list) {
        if (!one.is_string())
            held_->complain(&one, held_->full(name) + " holds what is not a text in quotes");
        all.push_back(*one.value<std::string>());
    }
    return all;
}

std::vector<double> Sheet::numbers(const std::string& name, double least, double most) const {
    const toml::node* const node = held_->node(name);
    std::vector<double> all;
    if (!node) return all;
    const toml::array* const list = node->as_array();
    if (!list) held_->complain(node, held_->full(name) + " is not a list of numbers");
    for (const toml::node& one : *list) {
        const auto value = one.value<double>();
        if (!value || !(*value >= least && *value <= most))
            held_->complain(&one, held_->full(name) + " holds what is not a number in its bounds");
        all.push_back(*value);
    }
    return all;
}

Sheet Sheet::table(const std::string& name) const {
    const toml::node* const node = held_->node(name);
    if (node && !node->is_table()) held_->complain(node, held_->full(name) + " is not a table");
    return Sheet(held_->child(node ? node->as_table() : nullptr, name));
}

std::vector<Sheet> Sheet::tables(const std::string& name) const {
    const toml::node* const node = held_->node(name);
    std::vector<Sheet> all;
    if (!node) return all;
    const toml::array* const list = node->as_array();
    if (!list)
        held_->complain(node, held_->full(name) + " is not a list of tables, [[" + held_->full(name) + "]]");
    for (const toml::node& one : *list) {
        if (!one.is_table()) held_->complain(&one, held_->full(name) + " holds what is not a table");
        all.push_back(Sheet(held_->child(one.as_table(), name)));
    }
    return all;
}

void Sheet::accept_old_name(const std::string& name, const std::string& old_name) const {
    const toml::node* const old_node = held_->table ? held_->table->get(old_name) : nullptr;
    if (!old_node) return;
    const std::string old_full = held_->full(old_name);
    if (held_->table->get(name))
        held_->complain(old_node, old_full + " is the old name of " + held_->full(name) +
                                      ", which stands here too: take one out");
    held_->warnings->push_back(held_->located(
        old_node, old_full + " is the old name of " + held_->full(name) + ", and is still read"));
    held_->old_names[name] = old_name;
}

const std::vector<std::string>& Sheet::warnings() const { return *held_->warnings; }

void Sheet::done() const { held_->check_all_asked(); }

void Sheet::wrong(const std::string& name, const std::string& why) const {
    held_->complain(held_->node(name), held_->full(name) + " " + why);
}

}  // namespace gannethold::sheets
