// Reads HTTP/1.1 messages from bytes that come in any pieces. No I/O: the caller feeds it and asks what it
// found.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "net/block_pool.hpp"

namespace gannethold::http {

struct Field {
    std::string_view name, value;
};

// Views into the reader's block: good until the reader starts anew.
struct Head {
    std::string_view method, target;  // of a request
    int status = 0;                   // of an answer
    bool keeps_alive = true;
    std::vector<Field> fields;

    std::string_view field(std::string_view name) const;  // the first; empty where there is none
    bool repeats(std::string_view name) const;
    std::string_view path() const { return target.substr(0, target.find('?')); }
};

enum class Kind { request, answer };
enum class Found { nothing, head, body, end, fault };
enum class Fault { none, malformed, too_large, version, out_of_blocks };

class Reader {
  public:
    Reader(Kind kind, net::BlockPool& pool) : kind_(kind), pool_(pool) {}
    ~Reader() { restart(); }
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // Takes from the front of bytes. Call until it has found nothing; then it wants more bytes. After an end
    // it takes none until restart().
    Found read(std::string_view& bytes);
    // Whether the answers that are read from here on are to a HEAD request: whatever length they state, no
    // body follows.
    void answers_head(bool head) { answers_head_ = head; }
    // The peer will send no more. True if that is a proper end of the message.
    bool ends_by_close() const { return state_ == State::until_close; }
    void restart();

    const Head& head() const { return head_; }
    std::string_view piece() const { return piece_; }
    Fault fault() const { return fault_; }
    bool begun() const { return block_ != nullptr; }
    std::uint64_t length() const { return left_; }  // after a head: of the body, 0 if it is not counted

  private:
    enum class State {
        head,
        counted,
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

    Found fail(Fault fault);
    Found read_head(std::string_view& bytes);
    Found read_body(std::string_view& bytes);
    Found read_chunk_frame(char c);
    bool understand(std::string_view text);
    bool first_line(std::string_view line);
    bool framing();

    const Kind kind_;
    net::BlockPool& pool_;
    char* block_ = nullptr;
    std::size_t used_ = 0;
    bool answers_head_ = false;
    State state_ = State::head;
    Fault fault_ = Fault::none;
    Head head_;
    std::string_view piece_;
    std::uint64_t left_ = 0;
    std::size_t digits_ = 0, trailer_line_ = 0, trailer_bytes_ = 0, blanks_ = 0;
};

bool same_word(std::string_view a, std::string_view b);  // whatever the case of its letters

}  // namespace gannethold::http
