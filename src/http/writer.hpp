// Writes the heads of HTTP/1.1 messages.
#pragma once

#include <string>
#include <string_view>

namespace gannethold::http {

// Builds one head: the first line, then the fields in the order of the calls.
class Writer {
  public:
    static Writer request(std::string_view method, std::string_view target);
    static Writer response(int status);

    Writer& field(std::string_view name, std::string_view value);
    Writer& content_length(std::size_t body_bytes);
    // The whole head, with the empty line after it.
    std::string head() const { return text_ + "\r\n"; }

  private:
    explicit Writer(std::string first_line) : text_(std::move(first_line)) {}

    std::string text_;
};

}  // namespace gannethold::http
