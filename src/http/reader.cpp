#include "http/reader.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace gannethold::http {
namespace {

constexpr std::size_t kMostTrailer = 4096, kMostBlanks = 16;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
               (c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c));
    });
}

// What may stand in a target: against bytes that another reader takes for its end.
bool is_visible(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

// No control characters: against a value that splits a message when it is written again.
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

bool lists(std::string_view value, std::string_view word) {
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        if (same_word(trimmed(value.substr(0, comma)), word)) return true;
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return false;
}

}  // namespace

bool same_word(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view Head::field(std::string_view name) const {
    for (const Field& f : fields)
        if (same_word(f.name, name)) return f.value;
    return {};
}

bool Head::repeats(std::string_view name) const {
    return std::count_if(fields.begin(), fields.end(),
                         [name](const Field& f) { return same_word(f.name, name); }) > 1;
}

void Reader::restart() {
    if (block_) pool_.give_back(std::exchange(block_, nullptr));
    used_ = blanks_ = 0;
    state_ = State::head;
    fault_ = Fault::none;
    head_ = {};
    piece_ = {};
}

Found Reader::fail(Fault fault) {
    fault_ = fault;
    state_ = State::broken;
    return Found::fault;
}

Found Reader::read(std::string_view& bytes) {
    if (state_ == State::broken) return Found::fault;
    return state_ == State::head ? read_head(bytes) : read_body(bytes);
}

Found Reader::read_head(std::string_view& bytes) {
    // Empty lines before a message are passed over, as the standard asks; but not without end.
    while (used_ == 0 && !bytes.empty() && (bytes.front() == '\r' || bytes.front() == '\n')) {
        if (++blanks_ > kMostBlanks) return fail(Fault::malformed);
        bytes.remove_prefix(1);
    }
    if (bytes.empty()) return Found::nothing;
    if (!block_ && !(block_ = pool_.take())) return fail(Fault::out_of_blocks);
    const std::size_t searched = used_ < 3 ? 0 : used_ - 3;
    const std::size_t n = std::min(bytes.size(), net::BlockPool::kBytes - used_);
    std::memcpy(block_ + used_, bytes.data(), n);
    const std::string_view text(block_, used_ + n);
    const auto end = text.find("\r\n\r\n", searched);
    if (end == std::string_view::npos) {
        used_ += n;
        bytes.remove_prefix(n);
        return used_ == net::BlockPool::kBytes ? fail(Fault::too_large) : Found::nothing;
    }
    bytes.remove_prefix(end + 4 - used_);
    used_ = end + 4;
    if (!understand(text.substr(0, end + 2)) || !framing())
        return fail(fault_ == Fault::none ? Fault::malformed : fault_);
    if (kind_ == Kind::answer && head_.status < 200) {
        // An interim answer: the real one is still to come.
        restart();
        return read_head(bytes);
    }
    return Found::head;
}

bool Reader::understand(std::string_view text) {
    const auto line = [&text] {
        const auto end = text.find("\r\n");
        const std::string_view one = text.substr(0, end);
        text.remove_prefix(end + 2);
        return one;
    };
    if (!first_line(line())) return false;
    while (!text.empty()) {
        const std::string_view one = line();
        const auto colon = one.find(':');
        if (colon == std::string_view::npos || !is_token(one.substr(0, colon))) return false;
        const std::string_view value = trimmed(one.substr(colon + 1));
        if (!is_plain(value)) return false;
        head_.fields.push_back({one.substr(0, colon), value});
    }
    return true;
}

bool Reader::first_line(std::string_view line) {
    const auto first = line.find(' ');
    if (first == std::string_view::npos || !is_plain(line)) return false;
    std::string_view version;
    if (kind_ == Kind::request) {
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
    head_.keeps_alive = version == "HTTP/1.1";
    if (version == "HTTP/1.1" || version == "HTTP/1.0") return true;
    if (version.starts_with("HTTP/")) fault_ = Fault::version;
    return false;
}

// Where the body ends. Whatever two readers could take differently is refused: a request that hides in
// another one's body would be sent to a runner unseen.
bool Reader::framing() {
    bool counted = false, chunked = false;
    std::uint64_t length = 0;
    for (const Field& f : head_.fields) {
        if (same_word(f.name, "Content-Length")) {
            const auto [end, wrong] =
                std::from_chars(f.value.data(), f.value.data() + f.value.size(), length);
            if (counted || f.value.empty() || wrong != std::errc() || end != f.value.data() + f.value.size())
                return false;
            counted = true;
        } else if (same_word(f.name, "Transfer-Encoding")) {
            if (chunked || !same_word(f.value, "chunked") || !head_.keeps_alive) return false;
            chunked = true;
        }
    }
    if (counted && chunked) return false;
    for (const Field& f : head_.fields)
        if (same_word(f.name, "Connection") && lists(f.value, "close")) head_.keeps_alive = false;
    left_ = length;
    const bool bodiless =
        kind_ == Kind::answer && (answers_head_ || head_.status == 204 || head_.status == 304);
    if (bodiless)
        state_ = State::end;
    else if (chunked)
        state_ = State::chunk_size, left_ = 0, digits_ = 0;
    else if (counted)
        state_ = length > 0 ? State::counted : State::end;
    else
        state_ = kind_ == Kind::request ? State::end : State::until_close;
    if (state_ == State::until_close) head_.keeps_alive = false;
    return true;
}

Found Reader::read_body(std::string_view& bytes) {
    while (state_ != State::end) {
        if (bytes.empty()) return Found::nothing;
        if (state_ == State::counted || state_ == State::chunk || state_ == State::until_close) {
            std::size_t n = bytes.size();
            if (state_ != State::until_close) {
                n = static_cast<std::size_t>(std::min<std::uint64_t>(n, left_));
                left_ -= n;
                if (left_ == 0) state_ = state_ == State::chunk ? State::chunk_end_cr : State::end;
            }
            piece_ = bytes.substr(0, n);
            bytes.remove_prefix(n);
            return Found::body;
        }
        const char c = bytes.front();
        bytes.remove_prefix(1);
        if (read_chunk_frame(c) == Found::fault) return Found::fault;
    }
    return Found::end;
}

Found Reader::read_chunk_frame(char c) {
    const auto bad = [this] { return fail(Fault::malformed); };
    switch (state_) {
        case State::chunk_size: {
            const std::size_t value = std::string_view("0123456789abcdef").find(lower(c));
            if (value != std::string_view::npos) {
                // Nobody here sends chunks of more than seven digits: against sizes that overflow.
                if (++digits_ > 7) return fail(Fault::too_large);
                left_ = left_ * 16 + value;
                return Found::nothing;
            }
            if (digits_ == 0) return bad();
            trailer_bytes_ = 0;
            if (c == '\r')
                state_ = State::chunk_lf;
            else if (c == ';' || c == ' ' || c == '\t')
                state_ = State::chunk_extension;
            else
                return bad();
            return Found::nothing;
        }
        case State::chunk_extension:
            if (c == '\r') state_ = State::chunk_lf;
            if (c == '\n' || ++trailer_bytes_ > kMostTrailer) return bad();
            return Found::nothing;
        case State::chunk_lf:
            if (c != '\n') return bad();
            state_ = left_ > 0 ? State::chunk : State::trailer;
            trailer_line_ = trailer_bytes_ = 0;
            return Found::nothing;
        case State::chunk_end_cr:
            if (c != '\r') return bad();
            state_ = State::chunk_end_lf;
            return Found::nothing;
        case State::chunk_end_lf:
            if (c != '\n') return bad();
            state_ = State::chunk_size;
            left_ = digits_ = 0;
            return Found::nothing;
        case State::trailer:
            if (c == '\n' || ++trailer_bytes_ > kMostTrailer) return bad();
            if (c == '\r')
                state_ = State::trailer_lf;
            else
                ++trailer_line_;
            return Found::nothing;
        case State::trailer_lf:
            if (c != '\n') return bad();
            state_ = trailer_line_ == 0 ? State::end : State::trailer;
            trailer_line_ = 0;
            return Found::nothing;
        default:
            return bad();
    }
}

}  // namespace gannethold::http
