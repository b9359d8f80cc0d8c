// Looks names up in what the operators state; a value that cannot be read fails the start with its name.
#pragma once

#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold {

class StandingOrders {
  public:
    explicit StandingOrders(StatedOrders stated) : stated_(std::move(stated)) {}

    std::string word(const std::string& name, const std::string& otherwise) const {
        const auto found = stated_.find(name);
        return found == stated_.end() ? otherwise : found->second;
    }
    bool yes(const std::string& name) const {
        const std::string text = word(name, "false");
        if (text != "true" && text != "false")
            throw std::runtime_error("standing order " + name + " is neither true nor false: " + text);
        return text == "true";
    }
    double number(const std::string& name, double otherwise) const {
        const std::string text = word(name, "");
        return text.empty() ? otherwise : read(name, text);
    }
    Micros micros(const std::string& name, Micros otherwise) const {
        return static_cast<Micros>(number(name, static_cast<double>(otherwise)));
    }
    // For lists over the workloads; short lists stand for the rest with their last item.
    double number_in(const std::string& name, std::size_t place, double otherwise) const {
        const auto list = words(name);
        return list.empty() ? otherwise : read(name, list[std::min(place, list.size() - 1)]);
    }
    std::vector<std::string> words(const std::string& name) const {
        std::vector<std::string> list;
        std::string text = word(name, "");
        while (!text.empty()) {
            const auto comma = std::min(text.find(','), text.size());
            list.push_back(text.substr(0, comma));
            text.erase(0, comma + 1);
        }
        return list;
    }

  private:
    static double read(const std::string& name, const std::string& text) {
        std::size_t end = 0;
        double value = 0;
        try {
            value = std::stod(text, &end);
        } catch (const std::exception&) {
            end = 0;
        }
        if (end != text.size() || !std::isfinite(value))
            throw std::runtime_error("standing order " + name + " is not a number: " + text);
        return value;
    }

    StatedOrders stated_;
};

}  // namespace gannethold
