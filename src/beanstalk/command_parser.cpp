#include "beanstalk/command_parser.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace gannethold::beanstalk {
namespace {

enum class Arguments { none, id, tube, count, seconds, id_priority_delay, id_priority, tube_seconds, put };

struct CommandSpec {
    std::string_view name;
    Verb verb;
    Arguments arguments;
};
constexpr std::array kCommands{
    CommandSpec{"put", Verb::put, Arguments::put},
    CommandSpec{"use", Verb::use, Arguments::tube},
    CommandSpec{"reserve", Verb::reserve, Arguments::none},
    CommandSpec{"reserve-with-timeout", Verb::reserve_with_timeout, Arguments::seconds},
    CommandSpec{"reserve-job", Verb::reserve_job, Arguments::id},
    CommandSpec{"delete", Verb::remove, Arguments::id},
    CommandSpec{"release", Verb::release, Arguments::id_priority_delay},
    CommandSpec{"bury", Verb::bury, Arguments::id_priority},
    CommandSpec{"touch", Verb::touch, Arguments::id},
    CommandSpec{"watch", Verb::watch, Arguments::tube},
    CommandSpec{"ignore", Verb::ignore, Arguments::tube},
    CommandSpec{"peek", Verb::peek, Arguments::id},
    CommandSpec{"peek-ready", Verb::peek_ready, Arguments::none},
    CommandSpec{"peek-delayed", Verb::peek_delayed, Arguments::none},
    CommandSpec{"peek-buried", Verb::peek_buried, Arguments::none},
    CommandSpec{"kick", Verb::kick, Arguments::count},
    CommandSpec{"kick-job", Verb::kick_job, Arguments::id},
    CommandSpec{"stats", Verb::stats, Arguments::none},
    CommandSpec{"stats-job", Verb::stats_job, Arguments::id},
    CommandSpec{"stats-tube", Verb::stats_tube, Arguments::tube},
    CommandSpec{"list-tubes", Verb::list_tubes, Arguments::none},
    CommandSpec{"list-tube-used", Verb::list_tube_used, Arguments::none},
    CommandSpec{"list-tubes-watched", Verb::list_tubes_watched, Arguments::none},
    CommandSpec{"pause-tube", Verb::pause_tube, Arguments::tube_seconds},
    CommandSpec{"quit", Verb::quit, Arguments::none},
};

// Parses a space and an unsigned decimal number from the front of `rest`. A sign or a value out of range is
// an error.
template <class T>
bool parse_number(std::string_view& rest, T& out) {
    if (rest.empty() || rest.front() != ' ') return false;
    rest.remove_prefix(1);
    if (rest.empty() || rest.front() < '0' || rest.front() > '9') return false;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), out);
    if (error != std::errc()) return false;
    rest.remove_prefix(static_cast<std::size_t>(end - rest.data()));
    return true;
}

bool is_tube_name(std::string_view name) {
    constexpr std::string_view kPunctuation = "-+/;.$_()";
    return !name.empty() && name.size() <= CommandParser::kMaxTubeNameBytes && name.front() != '-' &&
           std::all_of(name.begin(), name.end(), [&](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                      kPunctuation.find(c) != std::string_view::npos;
           });
}

bool parse_tube_name(std::string_view& rest, std::string& out) {
    if (rest.empty() || rest.front() != ' ') return false;
    rest.remove_prefix(1);
    const auto name = rest.substr(0, rest.find(' '));
    if (!is_tube_name(name)) return false;
    out = name;
    rest.remove_prefix(name.size());
    return true;
}

}  // namespace

const char* name_of(Verb verb) {
    for (const CommandSpec& spec : kCommands)
        if (spec.verb == verb) return spec.name.data();
    return "";
}

ParseResult CommandParser::parse(std::string_view& bytes) {
    while (!bytes.empty()) {
        switch (stage_) {
            case Stage::line: {
                const auto end = bytes.find('\n');
                const std::string_view piece = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
                const std::size_t fits = std::min(piece.size(), kMaxLineBytes - line_.size());
                line_ += piece.substr(0, fits);
                bytes.remove_prefix(fits);
                const bool is_complete = line_.size() >= 2 && line_.ends_with("\r\n");
                if (!is_complete && line_.size() >= kMaxLineBytes) {
                    // Discards a line that exceeds the limit, so that a line without an end cannot exhaust
                    // memory.
                    last_byte_ = line_.back();
                    line_.clear();
                    stage_ = Stage::skip_line, after_skip_ = ParseResult::bad_format;
                    continue;
                }
                if (!is_complete) continue;
                line_.resize(line_.size() - 2);
                const ParseResult found = parse_line();
                line_.clear();
                if (found != ParseResult::incomplete) return found;
                continue;
            }
            case Stage::body: {
                const auto taken =
                    static_cast<std::size_t>(std::min<std::uint64_t>(remaining_bytes_, bytes.size()));
                command_.body += bytes.substr(0, taken);
                bytes.remove_prefix(taken);
                if ((remaining_bytes_ -= taken) == 0) stage_ = Stage::body_end, body_end_.clear();
                continue;
            }
            case Stage::body_end:
                body_end_ += bytes.front();
                bytes.remove_prefix(1);
                if (body_end_ == "\r") continue;
                if (body_end_ == "\r\n") return stage_ = Stage::line, ParseResult::command;
                // The body is longer than its announced size: the rest of the line must not be read as a
                // command.
                command_.body.clear();
                last_byte_ = body_end_.back();
                stage_ = Stage::skip_line, after_skip_ = ParseResult::expected_crlf;
                continue;
            case Stage::skip_body: {
                const auto taken =
                    static_cast<std::size_t>(std::min<std::uint64_t>(remaining_bytes_, bytes.size()));
                bytes.remove_prefix(taken);
                if ((remaining_bytes_ -= taken) == 0) return stage_ = Stage::line, ParseResult::job_too_big;
                continue;
            }
            case Stage::skip_line: {
                const char c = bytes.front();
                bytes.remove_prefix(1);
                if (std::exchange(last_byte_, c) == '\r' && c == '\n')
                    return stage_ = Stage::line, after_skip_;
                continue;
            }
        }
    }
    return ParseResult::incomplete;
}

ParseResult CommandParser::parse_line() {
    command_ = {};
    std::string_view rest = line_;
    const std::string_view name = rest.substr(0, rest.find(' '));
    const auto spec = std::find_if(kCommands.begin(), kCommands.end(),
                                   [&](const CommandSpec& w) { return w.name == name; });
    if (spec == kCommands.end()) return ParseResult::unknown_command;
    rest.remove_prefix(name.size());
    command_.verb = spec->verb;
    bool is_valid = true;
    switch (spec->arguments) {
        case Arguments::none:
            break;
        case Arguments::id:
            is_valid = parse_number(rest, command_.id);
            break;
        case Arguments::tube:
            is_valid = parse_tube_name(rest, command_.tube);
            break;
        case Arguments::count:
            is_valid = parse_number(rest, command_.count);
            break;
        case Arguments::seconds:
            is_valid = parse_number(rest, command_.seconds);
            break;
        case Arguments::id_priority_delay:
            is_valid = parse_number(rest, command_.id) && parse_number(rest, command_.priority) &&
                       parse_number(rest, command_.delay_s);
            break;
        case Arguments::id_priority:
            is_valid = parse_number(rest, command_.id) && parse_number(rest, command_.priority);
            break;
        case Arguments::tube_seconds:
            is_valid = parse_tube_name(rest, command_.tube) && parse_number(rest, command_.delay_s);
            break;
        case Arguments::put:
            return parse_put(rest);
    }
    return is_valid && rest.empty() ? ParseResult::command : ParseResult::bad_format;
}

ParseResult CommandParser::parse_put(std::string_view rest) {
    std::uint64_t size = 0;
    if (!parse_number(rest, command_.priority) || !parse_number(rest, command_.delay_s) ||
        !parse_number(rest, command_.time_to_run_s) || !parse_number(rest, size) || !rest.empty() ||
        size > UINT32_MAX)
        return ParseResult::bad_format;
    if (size > max_body_bytes_) {
        remaining_bytes_ = size + 2;
        stage_ = Stage::skip_body;
        return ParseResult::incomplete;
    }
    remaining_bytes_ = size;
    command_.body.reserve(size);
    stage_ = size > 0 ? Stage::body : Stage::body_end;
    body_end_.clear();
    return ParseResult::incomplete;
}

}  // namespace gannethold::beanstalk
