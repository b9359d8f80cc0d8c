// A whole HTTP message, read or to be written.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/reader.hpp"

namespace gannethold::cluster {

struct HttpMessage {
    std::string method, target;  // of a request
    int status = 0;              // of an answer
    bool keeps_alive = true;
    bool answers_head = false;  // of an answer to a HEAD request: written without a body and its length
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string_view field(std::string_view name) const {
        for (const auto& [key, value] : fields)
            if (http::same_word(key, name)) return value;
        return {};
    }
};

inline HttpMessage copy_of(const http::Head& head) {
    HttpMessage m;
    m.method = std::string(head.method);
    m.target = std::string(head.target);
    m.status = head.status;
    m.keeps_alive = head.keeps_alive;
    m.fields.reserve(head.fields.size());
    for (const auto& f : head.fields) m.fields.emplace_back(f.name, f.value);
    return m;
}

// Fields that concern one connection only, or that whoever writes the message sets anew.
inline bool of_one_connection(std::string_view name) {
    for (const std::string_view one : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
                                       "TE", "Trailer", "Upgrade", "Proxy-Connection", "Expect"})
        if (http::same_word(name, one)) return true;
    return false;
}

const char* reason_of(int status);
// A whole message's bytes; a length is always stated.
std::string bytes_of(const HttpMessage& message);

}  // namespace gannethold::cluster
