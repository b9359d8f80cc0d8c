// Incremental parser for the beanstalkd protocol: command lines of at most 224 bytes, and a body after `put`.
// The resulting commands do not depend on how the byte stream is split into pieces. Does no I/O. The
// protocol's keywords appear only here and in replies.hpp.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gannethold::beanstalk {

enum class Verb {
    put,
    use,
    reserve,
    reserve_with_timeout,
    reserve_job,
    remove,
    release,
    bury,
    touch,
    watch,
    ignore,
    peek,
    peek_ready,
    peek_delayed,
    peek_buried,
    kick,
    kick_job,
    stats,
    stats_job,
    stats_tube,
    list_tubes,
    list_tube_used,
    list_tubes_watched,
    pause_tube,
    quit
};
// The keyword of a verb in the protocol.
const char* name_of(Verb verb);

// One parsed command. Fields that its verb does not use are zero or empty.
struct Command {
    Verb verb{};
    std::uint64_t id = 0;
    std::uint32_t priority = 0, delay_s = 0, time_to_run_s = 0, seconds = 0, count = 0;
    std::string tube, body;
};

// The outcome of a parse step: a complete command, or one of the protocol's errors.
enum class ParseResult { incomplete, command, bad_format, unknown_command, expected_crlf, job_too_big };

// Splits the byte stream of one connection into commands.
class CommandParser {
  public:
    static constexpr std::size_t kMaxLineBytes = 224;  // including CRLF
    static constexpr std::size_t kMaxTubeNameBytes = 200;

    explicit CommandParser(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

    // Consumes `bytes` up to the end of one command or error. `incomplete`: all bytes were consumed and more
    // are needed. After an error, parsing resumes at the line after the faulty input.
    ParseResult parse(std::string_view& bytes);
    Command& command() { return command_; }
    // Whether part of a command has been received.
    bool has_partial_command() const { return stage_ != Stage::line || !line_.empty(); }

  private:
    enum class Stage { line, body, body_end, skip_body, skip_line };
    ParseResult parse_line();
    ParseResult parse_put(std::string_view rest);

    const std::size_t max_body_bytes_;
    Stage stage_ = Stage::line;
    ParseResult after_skip_ = ParseResult::incomplete;
    std::string line_, body_end_;
    std::uint64_t remaining_bytes_ = 0;  // of the current body
    char last_byte_ = 0;                 // of a line that is skipped
    Command command_;
};

}  // namespace gannethold::beanstalk
