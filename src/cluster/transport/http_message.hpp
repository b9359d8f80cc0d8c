// HTTP/1.1 messages as values: they are read completely before they are delivered, and written as a whole.
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

    /// Returns the value of the first header field with that name (case-insensitive), or an empty text. Valid
    /// until the message changes.
    std::string_view field(std::string_view name) const;
};

/// Copies a head that has been read; the body of the message is empty.
HttpMessage make_http_message(const http::Head& head);

/// Whether a header field applies to a single connection, or is set when the message is serialized.
/// Intermediaries do not forward such fields.
bool is_hop_by_hop(std::string_view field_name);

/// Returns the standard reason phrase of the statuses that the system uses, and "Status" for all others.
const char* reason_phrase(int status);

/// Returns the message as bytes, with a Content-Length wherever the protocol allows one, except in GET
/// requests without a body.
std::string serialize(const HttpMessage& message);

}  // namespace gannethold::cluster
