// The output of the sub-commands: tables that fit the terminal.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "json/json.hpp"

namespace gannethold::control {

// A table of text. Columns are as wide as their cells; if a row would not fit, the widest columns are cut.
class Table {
  public:
    explicit Table(std::vector<std::string> titles) : rows_{std::move(titles)} {}
    void add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
    void write(std::ostream& out, std::size_t width) const;

  private:
    std::vector<std::vector<std::string>> rows_;
};

std::size_t terminal_width();  // of standard output; 100 if it is no terminal

// Formats a time in milliseconds for reading: "340 ms", "12.3 s", "4 min".
std::string format_duration(double ms);

void write_status(std::ostream& out, const json::Value& answer);
void write_runners(std::ostream& out, const json::Value& answer, std::size_t width);
void write_tasks(std::ostream& out, const json::Value& answer, std::size_t width);
void write_failures(std::ostream& out, const json::Value& answer, std::size_t width);
std::string drain_line(const json::Value& drain);
std::string change_line(const json::Value& change);

}  // namespace gannethold::control
