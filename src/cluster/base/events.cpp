#include "cluster/base/events.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>
#include <optional>
#include <utility>

namespace gannethold::cluster {
namespace {

constexpr bool kToStandardError = true;
constexpr bool kFlushEachLine = true;

log4cplus::LogLevel log4cplus_level(Level level) {
    switch (level) {
        case Level::debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case Level::info:
            return log4cplus::INFO_LOG_LEVEL;
        case Level::warning:
            return log4cplus::WARN_LOG_LEVEL;
        case Level::error:
            return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::optional<Level> level_named(const std::string& name) {
    if (name == "debug") return Level::debug;
    if (name == "info") return Level::info;
    if (name == "warning") return Level::warning;
    if (name == "error") return Level::error;
    return std::nullopt;
}

// Set from open_log() to close_log().
std::unique_ptr<log4cplus::Initializer> initializer;
std::optional<log4cplus::Logger> open_logger;

}  // namespace

bool open_log(const std::string& level) {
    const auto min_level = level_named(level);
    if (!min_level) return false;
    if (!initializer) initializer = std::make_unique<log4cplus::Initializer>();
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%d{%q} level=%p %m%n"));
    root.removeAllAppenders();
    root.addAppender(console);
    root.setLogLevel(log4cplus_level(*min_level));
    open_logger = std::move(root);
    return true;
}

void close_log() {
    if (!open_logger) return;
    open_logger->removeAllAppenders();
    open_logger.reset();
    initializer.reset();
}

Event::Event(std::string_view name, Level level)
    : level_(level), is_enabled_(open_logger && open_logger->isEnabledFor(log4cplus_level(level))) {
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
        const bool is_control = character < ' ' && character >= 0;  // the bytes of UTF-8 may be negative
        line_ += is_control ? ' ' : character;
    }
    line_ += '"';
    return *this;
}

Event::~Event() {
    if (is_enabled_) open_logger->log(log4cplus_level(level_), line_);
}

}  // namespace gannethold::cluster
