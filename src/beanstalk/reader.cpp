#include "beanstalk/reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace gannethold::beanstalk {
namespace {

enum class Form { nothing, id, tube, count, seconds, id_priority_delay, id_priority, tube_seconds, put };

struct Word {
    std::string_view name;
    Verb verb;
    Form form;
};
constexpr std::array kWords{
    Word{"put", Verb::put, Form::put},
    Word{"use", Verb::use, Form::tube},
    Word{"reserve", Verb::reserve, Form::nothing},
    Word{"reserve-with-timeout", Verb::reserve_with_timeout, Form::seconds},
    Word{"reserve-job", Verb::reserve_job, Form::id},
    Word{"delete", Verb::remove, Form::id},
    Word{"release", Verb::release, Form::id_priority_delay},
    Word{"bury", Verb::bury, Form::id_priority},
    Word{"touch", Verb::touch, Form::id},
    Word{"watch", Verb::watch, Form::tube},
    Word{"ignore", Verb::ignore, Form::tube},
    Word{"peek", Verb::peek, Form::id},
    Word{"peek-ready", Verb::peek_ready, Form::nothing},
    Word{"peek-delayed", Verb::peek_delayed, Form::nothing},
    Word{"peek-buried", Verb::peek_buried, Form::nothing},
    Word{"kick", Verb::kick, Form::count},
    Word{"kick-job", Verb::kick_job, Form::id},
    Word{"stats", Verb::stats, Form::nothing},
    Word{"stats-job", Verb::stats_job, Form::id},
    Word{"stats-tube", Verb::stats_tube, Form::tube},
    Word{"list-tubes", Verb::list_tubes, Form::nothing},
    Word{"list-tube-used", Verb::list_tube_used, Form::nothing},
    Word{"list-tubes-watched", Verb::list_tubes_watched, Form::nothing},
    Word{"pause-tube", Verb::pause_tube, Form::tube_seconds},
    Word{"quit", Verb::quit, Form::nothing},
};

// Numbers are plain digits: a sign, or a value that does not fit, is as wrong as a letter.
template <class T>
bool take_number(std::string_view& rest, T& into) {
    if (rest.empty() || rest.front() != ' ') return false;
    rest.remove_prefix(1);
    if (rest.empty() || rest.front() < '0' || rest.front() > '9') return false;
    const auto [end, wrong] = std::from_chars(rest.data(), rest.data() + rest.size(), into);
    if (wrong != std::errc()) return false;
    rest.remove_prefix(static_cast<std::size_t>(end - rest.data()));
    return true;
}

bool is_name(std::string_view name) {
    constexpr std::string_view kSigns = "-+/;.$_()";
    return !name.empty() && name.size() <= Reader::kLongestName && name.front() != '-' &&
           std::all_of(name.begin(), name.end(), [&](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                      kSigns.find(c) != std::string_view::npos;
           });
}

bool take_name(std::string_view& rest, std::string& into) {
    if (rest.empty() || rest.front() != ' ') return false;
    rest.remove_prefix(1);
    const auto name = rest.substr(0, rest.find(' '));
    if (!is_name(name)) return false;
    into = name;
    rest.remove_prefix(name.size());
    return true;
}

}  // namespace

const char* name_of(Verb verb) {
    for (const Word& w : kWords)
        if (w.verb == verb) return w.name.data();
    return "";
}

Found Reader::read(std::string_view& bytes) {
    while (!bytes.empty()) {
        switch (stage_) {
            case Stage::line: {
                const auto end = bytes.find('\n');
                const std::string_view piece = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
                const std::size_t fits = std::min(piece.size(), kLongestLine - line_.size());
                line_ += piece.substr(0, fits);
                bytes.remove_prefix(fits);
                const bool whole = line_.size() >= 2 && line_.ends_with("\r\n");
                if (!whole && line_.size() >= kLongestLine) {
                    // Against a line without an end: nothing of it is kept.
                    last_ = line_.back();
                    line_.clear();
                    stage_ = Stage::skip_line, after_skip_ = Found::bad_format;
                    continue;
                }
                if (!whole) continue;
                line_.resize(line_.size() - 2);
                const Found found = read_line();
                line_.clear();
                if (found != Found::nothing) return found;
                continue;
            }
            case Stage::body: {
                const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
                command_.body += bytes.substr(0, n);
                bytes.remove_prefix(n);
                if ((left_ -= n) == 0) stage_ = Stage::body_end, end_.clear();
                continue;
            }
            case Stage::body_end:
                end_ += bytes.front();
                bytes.remove_prefix(1);
                if (end_ == "\r") continue;
                if (end_ == "\r\n") return stage_ = Stage::line, Found::command;
                // A body that is longer than said: the rest of it is no command.
                command_.body.clear();
                last_ = end_.back();
                stage_ = Stage::skip_line, after_skip_ = Found::expected_crlf;
                continue;
            case Stage::skip_body: {
                const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
                bytes.remove_prefix(n);
                if ((left_ -= n) == 0) return stage_ = Stage::line, Found::job_too_big;
                continue;
            }
            case Stage::skip_line: {
                const char c = bytes.front();
                bytes.remove_prefix(1);
                if (std::exchange(last_, c) == '\r' && c == '\n') return stage_ = Stage::line, after_skip_;
                continue;
            }
        }
    }
    return Found::nothing;
}

Found Reader::read_line() {
    command_ = {};
    std::string_view rest = line_;
    const std::string_view name = rest.substr(0, rest.find(' '));
    const auto word =
        std::find_if(kWords.begin(), kWords.end(), [&](const Word& w) { return w.name == name; });
    if (word == kWords.end()) return Found::unknown_command;
    rest.remove_prefix(name.size());
    command_.verb = word->verb;
    bool right = true;
    switch (word->form) {
        case Form::nothing:
            break;
        case Form::id:
            right = take_number(rest, command_.id);
            break;
        case Form::tube:
            right = take_name(rest, command_.tube);
            break;
        case Form::count:
            right = take_number(rest, command_.bound);
            break;
        case Form::seconds:
            right = take_number(rest, command_.seconds);
            break;
        case Form::id_priority_delay:
            right = take_number(rest, command_.id) && take_number(rest, command_.priority) &&
                    take_number(rest, command_.delay_s);
            break;
        case Form::id_priority:
            right = take_number(rest, command_.id) && take_number(rest, command_.priority);
            break;
        case Form::tube_seconds:
            right = take_name(rest, command_.tube) && take_number(rest, command_.delay_s);
            break;
        case Form::put:
            return put_head(rest);
    }
    return right && rest.empty() ? Found::command : Found::bad_format;
}

Found Reader::put_head(std::string_view rest) {
    std::uint64_t size = 0;
    if (!take_number(rest, command_.priority) || !take_number(rest, command_.delay_s) ||
        !take_number(rest, command_.run_s) || !take_number(rest, size) || !rest.empty() || size > UINT32_MAX)
        return Found::bad_format;
    if (size > longest_body_) {
        left_ = size + 2;
        stage_ = Stage::skip_body;
        return Found::nothing;
    }
    left_ = size;
    command_.body.reserve(size);
    stage_ = size > 0 ? Stage::body : Stage::body_end;
    end_.clear();
    return Found::nothing;
}

}  // namespace gannethold::beanstalk
