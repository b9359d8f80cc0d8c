// One line of a scenario file, as words.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "simulation/event_queue.hpp"

namespace gannethold::cluster::simulation {

/// Words are separated by spaces; a # starts a comment. Access to a word that isn't there throws
/// std::out_of_range, a number that is none std::invalid_argument.
class ScenarioLine {
  public:
    explicit ScenarioLine(const std::string& text);

    bool empty() const { return words_.empty(); }
    std::size_t size() const { return words_.size(); }
    const std::string& word(std::size_t index) const { return words_.at(index); }
    const std::string& last_word() const { return words_.back(); }
    std::size_t count(std::size_t index) const { return std::stoul(word(index)); }
    double number(std::size_t index) const { return std::stod(word(index)); }
    /// A number of seconds as microseconds.
    Micros seconds(std::size_t index) const;
    /// The number after that word, or `otherwise` if the word isn't there.
    double value_of(const std::string& key, double otherwise) const;
    /// The word after that word, or an empty one.
    std::string text_of(const std::string& key) const;
    /// This line without its first words.
    ScenarioLine from(std::size_t index) const;
    /// The text after the first occurrence of that word, as it stands in the file.
    std::string text_after(const std::string& word) const;

  private:
    std::string text_;
    std::vector<std::string> words_;
};

/// Seconds as microseconds.
Micros to_micros(double seconds);

}  // namespace gannethold::cluster::simulation
