// beanstalkd's protocol from a byte stream, by its public description: lines of at most 224 bytes, and bodies
// after `put`. Incremental: the same bytes give the same commands wherever they are cut. No I/O. The
// protocol's names end here and in replies.hpp.
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
const char* name_of(Verb verb);

// What a command says; what its verb has no use for is zero.
struct Command {
    Verb verb{};
    std::uint64_t id = 0;
    std::uint32_t priority = 0, delay_s = 0, run_s = 0, seconds = 0, bound = 0;
    std::string tube, body;
};

enum class Found { nothing, command, bad_format, unknown_command, expected_crlf, job_too_big };

class Reader {
  public:
    static constexpr std::size_t kLongestLine = 224;  // with its end
    static constexpr std::size_t kLongestName = 200;

    explicit Reader(std::size_t longest_body) : longest_body_(longest_body) {}

    // Takes from the front of `bytes` up to the end of one command or fault. `nothing`: all was taken, and
    // more must come. After a fault the reader stands behind what was wrong, at the next line.
    Found read(std::string_view& bytes);
    Command& command() { return command_; }
    // Whether something has been said that is not whole yet.
    bool half_said() const { return stage_ != Stage::line || !line_.empty(); }

  private:
    enum class Stage { line, body, body_end, skip_body, skip_line };
    Found read_line();
    Found put_head(std::string_view rest);

    const std::size_t longest_body_;
    Stage stage_ = Stage::line;
    Found after_skip_ = Found::nothing;
    std::string line_, end_;
    std::uint64_t left_ = 0;  // of the body
    char last_ = 0;           // of a line that is passed over
    Command command_;
};

}  // namespace gannethold::beanstalk
