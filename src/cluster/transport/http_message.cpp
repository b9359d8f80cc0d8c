#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

const char* reason_of(int status) {
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

std::string bytes_of(const HttpMessage& m) {
    std::string text;
    text.reserve(256 + m.body.size());
    if (m.status > 0)
        text.append("HTTP/1.1 ")
            .append(std::to_string(m.status))
            .append(" ")
            .append(reason_of(m.status))
            .append("\r\n");
    else
        text.append(m.method).append(" ").append(m.target).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : m.fields) text.append(name).append(": ").append(value).append("\r\n");
    const bool lengthless = m.status == 0 ? m.body.empty() && m.method == "GET"
                                          : m.answers_head || m.status == 204 || m.status == 304;
    if (!lengthless) text.append("Content-Length: ").append(std::to_string(m.body.size())).append("\r\n");
    if (!m.keeps_alive) text.append("Connection: close\r\n");
    text.append("\r\n");
    return lengthless ? text : text.append(m.body);
}

}  // namespace gannethold::cluster
