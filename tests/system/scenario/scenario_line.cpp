#include "scenario_line.hpp"

#include <sstream>

namespace gannethold::cluster::simulation {

Micros to_micros(double seconds) {
    return static_cast<Micros>(seconds * static_cast<double>(kMicrosPerSecond));
}

ScenarioLine::ScenarioLine(const std::string& text) : text_(text) {
    std::istringstream words(text.substr(0, text.find('#')));
    for (std::string word; words >> word;) words_.push_back(word);
}

Micros ScenarioLine::seconds(std::size_t index) const { return to_micros(number(index)); }

double ScenarioLine::value_of(const std::string& key, double otherwise) const {
    const std::string text = text_of(key);
    return text.empty() ? otherwise : std::stod(text);
}

std::string ScenarioLine::text_of(const std::string& key) const {
    for (std::size_t index = 0; index + 1 < words_.size(); ++index)
        if (words_[index] == key) return words_[index + 1];
    return {};
}

ScenarioLine ScenarioLine::from(std::size_t index) const {
    ScenarioLine rest = *this;
    rest.words_.erase(rest.words_.begin(), rest.words_.begin() + static_cast<std::ptrdiff_t>(index));
    return rest;
}

std::string ScenarioLine::text_after(const std::string& word) const {
    return text_.substr(text_.find(word) + word.size());
}

}  // namespace gannethold::cluster::simulation
