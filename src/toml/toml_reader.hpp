// Reads the settings of a TOML file by name, each with its bounds. Errors state file, line and name. Names
// that were never read are rejected, with a suggestion, so that no misspelt setting is silently ignored.
//
//   const TomlReader file = TomlReader::read_file("operator.toml");
//   const TomlReader log = file.get_table("log");
//   form = log.get_one_of("form", {"plain", "json"}, "plain");
//   file.reject_unread_names();
//
// Every function may throw TomlError. Not thread-safe: reading a name also marks it as known.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace gannethold::toml {

// One line, "file:line: what is wrong".
class TomlError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// One table of a file; it keeps the whole file in memory. Copies share the same table.
class TomlReader {
  public:
    static TomlReader read_file(const std::string& path);
    static TomlReader read(const std::string& text,
                           const std::string& source);  // source: the file's name in errors

    bool has(const std::string& name) const;

    // Each of these returns the default if the name is missing, and throws if its value has another type or
    // is out of bounds.
    double get_number(const std::string& name, double default_value, double min, double max) const;
    std::int64_t get_integer(const std::string& name, std::int64_t default_value, std::int64_t min,
                             std::int64_t max) const;
    bool get_bool(const std::string& name, bool default_value) const;
    std::string get_string(const std::string& name, const std::string& default_value) const;
    std::string get_one_of(const std::string& name, std::initializer_list<const char*> choices,
                           const std::string& default_value) const;

    // Empty if the name is missing.
    std::vector<std::string> get_strings(const std::string& name) const;
    std::vector<double> get_numbers(const std::string& name, double min, double max) const;
    TomlReader get_table(const std::string& name) const;
    std::vector<TomlReader> get_tables(const std::string& name) const;  // of a [[name]]

    // If the file has `old_name`, reads `name` from it and adds one of warnings(). A table with both names is
    // rejected. Later errors state the old name. REQUIRES: `name` has not been read yet.
    void accept_old_name(const std::string& name, const std::string& old_name) const;
    // One line for each old name in the tables that were read, "file:line: ...".
    const std::vector<std::string>& warnings() const;

    // Throws if a name in this table, or in any table obtained from it, was never read.
    void reject_unread_names() const;
    // For checks by the caller: throws with the line of that name, or of the table.
    [[noreturn]] void reject(const std::string& name, const std::string& reason) const;

  private:
    struct Table;  // of the TOML library, which is not included here

    explicit TomlReader(std::shared_ptr<Table> table) : table_(std::move(table)) {}

    std::shared_ptr<Table> table_;
};

// The most similar of the known names, if it is similar enough to be a misspelling; else "".
std::string closest_name(const std::string& name, const std::vector<std::string>& known);

}  // namespace gannethold::toml
