// Formatting of the beanstalkd protocol's replies: keyword replies, and the YAML of statistics and lists.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gannethold::beanstalk {

// A reply that consists of a keyword and a number.
inline std::string with_id(std::string_view keyword, std::uint64_t id) {
    return std::string(keyword) + " " + std::to_string(id) + "\r\n";
}

// A reply that consists of a keyword, a job's id and the job's body.
inline std::string with_body(std::string_view keyword, std::uint64_t id, std::string_view body) {
    std::string reply;
    reply.reserve(keyword.size() + body.size() + 40);
    reply.append(keyword)
        .append(" ")
        .append(std::to_string(id))
        .append(" ")
        .append(std::to_string(body.size()))
        .append("\r\n");
    return reply.append(body).append("\r\n");
}

// A YAML map or list with one line per entry. Names are quoted in maps and unquoted in lists, as in
// beanstalkd: clients without a YAML parser take the text after the dash of a list entry.
class Yaml {
  public:
    Yaml& number(std::string_view name, std::uint64_t value) {
        return add_line(std::string(name) + ": " + std::to_string(value));
    }
    Yaml& string(std::string_view name, std::string_view value) {
        return add_line(std::string(name) + ": \"" + std::string(value) + "\"");
    }
    Yaml& bare(std::string_view name, std::string_view value) {
        return add_line(std::string(name) + ": " + std::string(value));
    }
    Yaml& item(std::string_view value) { return add_line("- " + std::string(value)); }
    // The complete reply: the keyword OK, the length, and the text.
    std::string to_reply() const { return "OK " + std::to_string(text_.size()) + "\r\n" + text_ + "\r\n"; }

  private:
    Yaml& add_line(const std::string& line) {
        text_ += line + "\n";
        return *this;
    }
    std::string text_ = "---\n";
};

}  // namespace gannethold::beanstalk
