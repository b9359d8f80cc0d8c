// HTTP/1.1 messages as values: read completely before they are handed on, and written in one piece.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/reader.hpp"

namespace gannethold::cluster {

/// A request (status 0) or a response.
struct HttpMessage {
    std::string method;  // requests only
    std::string target;  // requests only
    int status = 0;      // responses only
    bool keeps_alive = true;
    bool responds_to_head = false;  // the request was HEAD: serialized without Content-Length and body
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// The first header field of that name, whatever its case; empty: there is none. Valid as long as the
    /// message is not changed.
    std::string_view field(std::string_view name) const;
};

/// Copies a head that was read. The body is still empty.
HttpMessage make_http_message(const http::Head& head);

/// Whether a header field concerns one connection only, or is set anew by whoever serializes the message.
/// An intermediary does not forward these.
bool is_hop_by_hop(std::string_view field_name);

/// The standard phrase of the statuses that the system uses.
const char* reason_phrase(int status);

/// The message's bytes, with a Content-Length wherever the protocol allows one.
std::string serialize(const HttpMessage& message);

}  // namespace gannethold::cluster
