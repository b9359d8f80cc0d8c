// A TOML file as its readers need it: each asks for the names that it knows, with the bounds that it accepts,
// and what is wrong is told with file, line and name. Names that nobody asked for are refused with a near
// one, against a setting that is misspelt and silently does nothing.
//
//   Sheet sheet = Sheet::read_file("operator.toml");
//   auto log = sheet.table("log");
//   form = log.one_of("form", {"plain", "json"}, "plain");
//   sheet.done();    // throws if anything in it, or in its tables, was never asked for
//
// Errors: every call may throw SheetError, whose text is one line, "file:line: what is wrong".
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace gannethold::sheets {

class SheetError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

class Sheet {
  public:
    static Sheet read_file(const std::string& path);
    static Sheet read(const std::string& text, const std::string& source);

    bool has(const std::string& name) const;
    double number(const std::string& name, double otherwise, double least, double most) const;
    std::int64_t whole(const std::string& name, std::int64_t otherwise, std::int64_t least,
                       std::int64_t most) const;
    bool yes(const std::string& name, bool otherwise) const;
    std::string word(const std::string& name, const std::string& otherwise) const;
    std::string one_of(const std::string& name, std::initializer_list<const char*> choices,
                       const std::string& otherwise) const;
    std::vector<std::string> words(const std::string& name) const;
    std::vector<double> numbers(const std::string& name, double least, double most) const;
    Sheet table(const std::string& name) const;                // empty where there is none
    std::vector<Sheet> tables(const std::string& name) const;  // of a [[list]]

    // Reads `name` from `old_name` where the file has that still, with one of warnings(). A file with both is
    // refused. Call it before the name is read; the old one is then the one in messages.
    void accept_old_name(const std::string& name, const std::string& old_name) const;
    // One line for each old name in the file, "file:line: ...", of all its tables.
    const std::vector<std::string>& warnings() const;

    void done() const;
    // For what only the reader can judge: throws with the line of that name, or of the table.
    [[noreturn]] void wrong(const std::string& name, const std::string& why) const;

    struct Held;  // the parser's own; nobody else needs it

  private:
    explicit Sheet(std::shared_ptr<Held> held) : held_(std::move(held)) {}
    std::shared_ptr<Held> held_;
};

// The closest of the names, if it is close enough to be a misspelling; else empty.
std::string near_name(const std::string& name, const std::vector<std::string>& known);

}  // namespace gannethold::sheets
