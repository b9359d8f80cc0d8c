#include "http/reader.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace gannethold::http {
namespace {

constexpr std::size_t kMaxTrailerBytes = 4096, kMaxLeadingBlanks = 16;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
               (c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c));
    });
}

// Whether all bytes may be part of a target: another parser could take any other byte for its end.
bool is_visible(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

// Whether there are no control characters, which could split the message when the value is forwarded.
bool is_plain(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

std::string_view trimmed(std::string_view text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && blank(text.front())) text.remove_prefix(1);
    while (!text.empty() && blank(text.back())) text.remove_suffix(1);
    return text;
}

bool has_list_element(std::string_view value, std::string_view element) {
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        if (equals_ignoring_case(trimmed(value.substr(0, comma)), element)) return true;
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return false;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view Head::field(std::string_view name) const {
    for (const Field& f : fields)
        if (equals_ignoring_case(f.name, name)) return f.value;
    return {};
}

bool Head::has_duplicate(std::string_view name) const {
    return std::count_if(fields.begin(), fields.end(),
                         [name](const Field& f) { return equals_ignoring_case(f.name, name); }) > 1;
}

void Reader::restart() {
    if (block_) pool_.release(std::exchange(block_, nullptr));
    head_bytes_ = leading_blanks_ = 0;
    state_ = State::head;
    error_ = ReadError::none;
    head_ = {};
    body_piece_ = {};
}

ReadResult Reader::fail(ReadError error) {
    error_ = error;
    state_ = State::broken;
    return ReadResult::error;
}

ReadResult Reader::read(std::string_view& bytes) {
    if (state_ == State::broken) return ReadResult::error;
    return state_ == State::head ? read_head(bytes) : read_body(bytes);
}

ReadResult Reader::read_head(std::string_view& bytes) {
    // Skips empty lines before a message, as RFC 9112 asks, up to a limit.
    while (head_bytes_ == 0 && !bytes.empty() && (bytes.front() == '\r' || bytes.front() == '\n')) {
        if (++leading_blanks_ > kMaxLeadingBlanks) return fail(ReadError::malformed);
        bytes.remove_prefix(1);
    }
    if (bytes.empty()) return ReadResult::nothing;
    if (!block_ && !(block_ = pool_.acquire())) return fail(ReadError::out_of_blocks);
    const std::size_t searched = head_bytes_ < 3 ? 0 : head_bytes_ - 3;
    const std::size_t n = std::min(bytes.size(), net::BlockPool::kBlockBytes - head_bytes_);
    std::memcpy(block_ + head_bytes_, bytes.data(), n);
    const std::string_view text(block_, head_bytes_ + n);
    const auto end = text.find("\r\n\r\n", searched);
    if (end == std::string_view::npos) {
        head_bytes_ += n;
        bytes.remove_prefix(n);
        return head_bytes_ == net::BlockPool::kBlockBytes ? fail(ReadError::too_large) : ReadResult::nothing;
    }
    bytes.remove_prefix(end + 4 - head_bytes_);
    head_bytes_ = end + 4;
    if (!parse_head(text.substr(0, end + 2)) || !parse_framing())
        return fail(error_ == ReadError::none ? ReadError::malformed : error_);
    if (kind_ == MessageKind::response && head_.status < 200) {
        // An interim response: the final one follows.
        restart();
        return read_head(bytes);
    }
    return ReadResult::head;
}

bool Reader::parse_head(std::string_view text) {
    const auto next_line = [&text] {
        const auto end = text.find("\r\n");
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end + 2);
        return line;
    };
    if (!parse_first_line(next_line())) return false;
    while (!text.empty()) {
        const std::string_view line = next_line();
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!is_plain(value)) return false;
        head_.fields.push_back({line.substr(0, colon), value});
    }
    return true;
}

bool Reader::parse_first_line(std::string_view line) {
    const auto first = line.find(' ');
    if (first == std::string_view::npos || !is_plain(line)) return false;
    std::string_view version;
    if (kind_ == MessageKind::request) {
        const auto second = line.find(' ', first + 1);
        if (second == std::string_view::npos) return false;
        head_.method = line.substr(0, first);
        head_.target = line.substr(first + 1, second - first - 1);
        version = line.substr(second + 1);
        if (!is_token(head_.method) || !head_.target.starts_with('/') || !is_visible(head_.target))
            return false;
    } else {
        version = line.substr(0, first);
        const std::string_view code = line.substr(first + 1, 3);
        const auto [end, wrong] = std::from_chars(code.data(), code.data() + code.size(), head_.status);
        if (code.size() < 3 || end != code.data() + 3 || wrong != std::errc()) return false;
        if (head_.status < 100 || head_.status > 599 || head_.status == 101) return false;
        if (line.size() > first + 4 && line[first + 4] != ' ') return false;
    }
    head_.is_keep_alive = version == "HTTP/1.1";
    if (version == "HTTP/1.1" || version == "HTTP/1.0") return true;
    if (version.starts_with("HTTP/")) error_ = ReadError::version;
    return false;
}

// Determines where the body ends. Anything ambiguous is rejected, against request smuggling: a request hidden
// in another one's body would reach a runner unchecked.
bool Reader::parse_framing() {
    bool has_length = false, is_chunked = false;
    std::uint64_t length = 0;
    for (const Field& f : head_.fields) {
        if (equals_ignoring_case(f.name, "Content-Length")) {
            const auto [end, wrong] =
                std::from_chars(f.value.data(), f.value.data() + f.value.size(), length);
            if (has_length || f.value.empty() || wrong != std::errc() ||
                end != f.value.data() + f.value.size())
                return false;
            has_length = true;
        } else if (equals_ignoring_case(f.name, "Transfer-Encoding")) {
            if (is_chunked || !equals_ignoring_case(f.value, "chunked") || !head_.is_keep_alive) return false;
            is_chunked = true;
        }
    }
    if (has_length && is_chunked) return false;
    for (const Field& f : head_.fields)
        if (equals_ignoring_case(f.name, "Connection") && has_list_element(f.value, "close"))
            head_.is_keep_alive = false;
    remaining_bytes_ = length;
    const bool has_no_body = kind_ == MessageKind::response &&
                             (is_response_to_head_ || head_.status == 204 || head_.status == 304);
    if (has_no_body)
        state_ = State::end;
    else if (is_chunked)
        state_ = State::chunk_size, remaining_bytes_ = 0, chunk_size_digits_ = 0;
    else if (has_length)
        state_ = length > 0 ? State::fixed_length : State::end;
    else
        state_ = kind_ == MessageKind::request ? State::end : State::until_close;
    if (state_ == State::until_close) head_.is_keep_alive = false;
    return true;
}

ReadResult Reader::read_body(std::string_view& bytes) {
    while (state_ != State::end) {
        if (bytes.empty()) return ReadResult::nothing;
        if (state_ == State::fixed_length || state_ == State::chunk || state_ == State::until_close) {
            std::size_t n = bytes.size();
            if (state_ != State::until_close) {
                n = static_cast<std::size_t>(std::min<std::uint64_t>(n, remaining_bytes_));
                remaining_bytes_ -= n;
                if (remaining_bytes_ == 0) state_ = state_ == State::chunk ? State::chunk_end_cr : State::end;
            }
            body_piece_ = bytes.substr(0, n);
            bytes.remove_prefix(n);
            return ReadResult::body;
        }
        const char c = bytes.front();
        bytes.remove_prefix(1);
        if (read_chunk_frame(c) == ReadResult::error) return ReadResult::error;
    }
    return ReadResult::end;
}

ReadResult Reader::read_chunk_frame(char c) {
    const auto malformed = [this] { return fail(ReadError::malformed); };
    switch (state_) {
        case State::chunk_size: {
            const std::size_t value = std::string_view("0123456789abcdef").find(lower(c));
            if (value != std::string_view::npos) {
                // More than seven hex digits are rejected, so that the size cannot overflow.
                if (++chunk_size_digits_ > 7) return fail(ReadError::too_large);
                remaining_bytes_ = remaining_bytes_ * 16 + value;
                return ReadResult::nothing;
            }
            if (chunk_size_digits_ == 0) return malformed();
            trailer_bytes_ = 0;
            if (c == '\r')
                state_ = State::chunk_lf;
            else if (c == ';' || c == ' ' || c == '\t')
                state_ = State::chunk_extension;
            else
                return malformed();
            return ReadResult::nothing;
        }
        case State::chunk_extension:
            if (c == '\r') state_ = State::chunk_lf;
            if (c == '\n' || ++trailer_bytes_ > kMaxTrailerBytes) return malformed();
            return ReadResult::nothing;
        case State::chunk_lf:
            if (c != '\n') return malformed();
            state_ = remaining_bytes_ > 0 ? State::chunk : State::trailer;
            trailer_line_bytes_ = trailer_bytes_ = 0;
            return ReadResult::nothing;
        case State::chunk_end_cr:
            if (c != '\r') return malformed();
            state_ = State::chunk_end_lf;
            return ReadResult::nothing;
        case State::chunk_end_lf:
            if (c != '\n') return malformed();
            state_ = State::chunk_size;
            remaining_bytes_ = chunk_size_digits_ = 0;
            return ReadResult::nothing;
        case State::trailer:
            if (c == '\n' || ++trailer_bytes_ > kMaxTrailerBytes) return malformed();
            if (c == '\r')
                state_ = State::trailer_lf;
            else
                ++trailer_line_bytes_;
            return ReadResult::nothing;
        case State::trailer_lf:
            if (c != '\n') return malformed();
            state_ = trailer_line_bytes_ == 0 ? State::end : State::trailer;
            trailer_line_bytes_ = 0;
            return ReadResult::nothing;
        default:
            return malformed();
    }
}

}  // namespace gannethold::http
