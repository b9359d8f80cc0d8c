// An incremental parser of HTTP/1.1 messages, for bytes that arrive in pieces of any size. No I/O: the caller
// passes the bytes in and gets back what was found in them.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "net/block_pool.hpp"

namespace gannethold::http {

// A header field.
struct Field {
    std::string_view name, value;
};

// The first line and the fields of a message. Views into the reader's block, valid until restart().
struct Head {
    std::string_view method, target;  // of a request
    int status = 0;                   // of a response
    bool is_keep_alive = true;
    std::vector<Field> fields;

    std::string_view field(std::string_view name) const;  // the first of that name; empty: none
    bool has_duplicate(std::string_view name) const;
    std::string_view path() const { return target.substr(0, target.find('?')); }
};

enum class MessageKind { request, response };
enum class ReadResult { nothing, head, body, end, error };
enum class ReadError { none, malformed, too_large, version, out_of_blocks };

// Parses the messages of one direction of a connection, one after the other.
class Reader {
  public:
    Reader(MessageKind kind, net::BlockPool& pool) : kind_(kind), pool_(pool) {}
    ~Reader() { restart(); }
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // Consumes bytes from the front. To be called until it returns nothing, which means that it needs more
    // bytes. After an end it consumes none until restart().
    ReadResult read(std::string_view& bytes);
    // Whether the next responses are to a HEAD request: no body follows, whatever length they state.
    void set_response_to_head(bool is_response_to_head) { is_response_to_head_ = is_response_to_head; }
    // Whether a close by the peer at this point is the regular end of the message.
    bool is_complete_at_close() const { return state_ == State::until_close; }
    void restart();

    const Head& head() const { return head_; }
    std::string_view body_piece() const { return body_piece_; }
    ReadError error() const { return error_; }
    bool has_started() const { return block_ != nullptr; }
    std::uint64_t body_length() const {
        return remaining_bytes_;
    }  // after a head: the stated length of the body; 0: none stated

  private:
    enum class State {
        head,
        fixed_length,
        until_close,
        chunk_size,
        chunk_extension,
        chunk_lf,
        chunk,
        chunk_end_cr,
        chunk_end_lf,
        trailer,
        trailer_lf,
        end,
        broken
    };

    ReadResult fail(ReadError error);
    ReadResult read_head(std::string_view& bytes);
    ReadResult read_body(std::string_view& bytes);
    ReadResult read_chunk_frame(char c);
    bool parse_head(std::string_view text);
    bool parse_first_line(std::string_view line);
    bool parse_framing();

    const MessageKind kind_;
    net::BlockPool& pool_;
    char* block_ = nullptr;
    std::size_t head_bytes_ = 0;
    bool is_response_to_head_ = false;
    State state_ = State::head;
    ReadError error_ = ReadError::none;
    Head head_;
    std::string_view body_piece_;
    std::uint64_t remaining_bytes_ = 0;
    std::size_t chunk_size_digits_ = 0, trailer_line_bytes_ = 0, trailer_bytes_ = 0, leading_blanks_ = 0;
};

bool equals_ignoring_case(std::string_view a, std::string_view b);  // ASCII only

}  // namespace gannethold::http
