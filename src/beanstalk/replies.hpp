// What beanstalkd's protocol answers: words, and the YAML of its figures as clients read it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gannethold::beanstalk {

inline std::string with_id(std::string_view word, std::uint64_t id) {
    return std::string(word) + " " + std::to_string(id) + "\r\n";
}

inline std::string with_body(std::string_view word, std::uint64_t id, std::string_view body) {
    std::string all;
    all.reserve(word.size() + body.size() + 40);
    all.append(word)
        .append(" ")
        .append(std::to_string(id))
        .append(" ")
        .append(std::to_string(body.size()))
        .append("\r\n");
    return all.append(body).append("\r\n");
}

// A map or a list, one line each. Names stand quoted in maps and bare in lists, as in the present server:
// clients that have no YAML reader cut a list's lines behind the dash.
class Yaml {
  public:
    Yaml& pair(std::string_view name, std::uint64_t value) {
        return line(std::string(name) + ": " + std::to_string(value));
    }
    Yaml& text(std::string_view name, std::string_view value) {
        return line(std::string(name) + ": \"" + std::string(value) + "\"");
    }
    Yaml& bare(std::string_view name, std::string_view value) {
        return line(std::string(name) + ": " + std::string(value));
    }
    Yaml& item(std::string_view value) { return line("- " + std::string(value)); }
    // As an answer: the word OK, the length, the text.
    std::string ok() const { return "OK " + std::to_string(text_.size()) + "\r\n" + text_ + "\r\n"; }

  private:
    Yaml& line(const std::string& one) {
        text_ += one + "\n";
        return *this;
    }
    std::string text_ = "---\n";
};

}  // namespace gannethold::beanstalk
