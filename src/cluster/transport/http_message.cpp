#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kTypicalHeadBytes = 256;  // reserved for the head, to avoid reallocations

// True if the message is sent without a Content-Length and a body.
bool omits_length_and_body(const HttpMessage& message) {
    if (message.status == 0) return message.body.empty() && message.method == "GET";
    return message.responds_to_head || message.status == 204 || message.status == 304;
}

}  // namespace

std::string_view HttpMessage::field(std::string_view name) const {
    for (const auto& [key, value] : fields)
        if (http::equals_ignoring_case(key, name)) return value;
    return {};
}

HttpMessage make_http_message(const http::Head& head) {
    HttpMessage message;
    message.method = std::string(head.method);
    message.target = std::string(head.target);
    message.status = head.status;
    message.keeps_alive = head.is_keep_alive;
    message.fields.reserve(head.fields.size());
    for (const http::Field& field : head.fields) message.fields.emplace_back(field.name, field.value);
    return message;
}

bool is_hop_by_hop(std::string_view field_name) {
    for (const std::string_view name : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
                                        "TE", "Trailer", "Upgrade", "Proxy-Connection", "Expect"})
        if (http::equals_ignoring_case(field_name, name)) return true;
    return false;
}

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 307:
            return "Temporary Redirect";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 408:
            return "Request Timeout";
        case 413:
            return "Content Too Large";
        case 422:
            return "Unprocessable Content";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

std::string serialize(const HttpMessage& message) {
    std::string text;
    text.reserve(kTypicalHeadBytes + message.body.size());
    if (message.status > 0)
        text.append("HTTP/1.1 ")
            .append(std::to_string(message.status))
            .append(" ")
            .append(reason_phrase(message.status))
            .append("\r\n");
    else
        text.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : message.fields)
        text.append(name).append(": ").append(value).append("\r\n");
    const bool omits_body = omits_length_and_body(message);
    if (!omits_body)
        text.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n");
    if (!message.keeps_alive) text.append("Connection: close\r\n");
    text.append("\r\n");
    return omits_body ? text : text.append(message.body);
}

}  // namespace gannethold::cluster
