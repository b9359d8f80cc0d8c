// Writes the heads of HTTP/1.1 messages.
#pragma once

#include <string>
#include <string_view>

namespace gannethold::http {

class Writer {
  public:
    static Writer request(std::string_view method, std::string_view target);
    static Writer answer(int status);

    Writer& field(std::string_view name, std::string_view value);
    Writer& length(std::size_t body);
    std::string head() const { return text_ + "\r\n"; }

  private:
    explicit Writer(std::string first_line) : text_(std::move(first_line)) {}

    std::string text_;
};

}  // namespace gannethold::http
