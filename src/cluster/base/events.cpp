#include "cluster/base/events.hpp"

#include <log4cpp/Category.hh>
#include <log4cpp/OstreamAppender.hh>
#include <log4cpp/PatternLayout.hh>
#include <log4cpp/Priority.hh>

#include <iostream>
#include <memory>
#include <optional>
#include <utility>

namespace gannethold::cluster {
namespace {

log4cpp::Priority::Value log4cpp_priority(Level level) {
    switch (level) {
        case Level::debug:
            return log4cpp::Priority::DEBUG;
        case Level::info:
            return log4cpp::Priority::INFO;
        case Level::warning:
            return log4cpp::Priority::WARN;
        case Level::error:
            return log4cpp::Priority::ERROR;
    }
    return log4cpp::Priority::ERROR;
}

std::optional<Level> parse_level(const std::string& name) {
    if (name == "debug") return Level::debug;
    if (name == "info") return Level::info;
    if (name == "warning") return Level::warning;
    if (name == "error") return Level::error;
    return std::nullopt;
}

// std::cerr is unbuffered, so there is nothing to flush when the process ends.
std::unique_ptr<log4cpp::Appender> make_stderr_appender() {
    auto layout = std::make_unique<log4cpp::PatternLayout>();
    layout->setConversionPattern("time=%d{%Y-%m-%dT%H:%M:%S.%l} level=%p %m%n");
    auto appender = std::make_unique<log4cpp::OstreamAppender>("stderr", &std::cerr);
    appender->setLayout(layout.release());  // the appender takes ownership
    return appender;
}

// nullptr until open_log() has been called. Owned by log4cpp.
log4cpp::Category* open_logger = nullptr;

}  // namespace

bool open_log(const std::string& level) {
    const auto min_level = parse_level(level);
    if (!min_level) return false;
    log4cpp::Category& root = log4cpp::Category::getRoot();
    root.removeAllAppenders();
    root.addAppender(make_stderr_appender().release());  // the category takes ownership
    root.setPriority(log4cpp_priority(*min_level));
    open_logger = &root;
    return true;
}

Event::Event(std::string_view name, Level level)
    : level_(level), is_enabled_(open_logger && open_logger->isPriorityEnabled(log4cpp_priority(level))) {
    if (is_enabled_) line_.append("event=").append(name);
}

Event& Event::add(std::string_view key, const std::string& value) {
    line_.append(" ").append(key).append("=");
    if (!value.empty() && value.find_first_of(" \"\r\n\t=") == std::string::npos) {
        line_.append(value);
        return *this;
    }
    line_ += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') line_ += '\\';
        const bool is_control =
            character < ' ' && character >= 0;  // bytes of UTF-8 sequences may be negative
        line_ += is_control ? ' ' : character;
    }
    line_ += '"';
    return *this;
}

Event::~Event() {
    if (is_enabled_) open_logger->log(log4cpp_priority(level_), line_);
}

}  // namespace gannethold::cluster
