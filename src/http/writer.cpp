#include "http/writer.hpp"

namespace gannethold::http {
namespace {

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 505:
            return "HTTP Version Not Supported";
        default:
            return "Status";
    }
}

}  // namespace

Writer Writer::request(std::string_view method, std::string_view target) {
    return Writer(std::string(method) + " " + std::string(target) + " HTTP/1.1\r\n");
}

Writer Writer::response(int status) {
    return Writer("HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n");
}

Writer& Writer::field(std::string_view name, std::string_view value) {
    text_.append(name).append(": ").append(value).append("\r\n");
    return *this;
}

Writer& Writer::content_length(std::size_t body_bytes) {
    return field("Content-Length", std::to_string(body_bytes));
}

}  // namespace gannethold::http
