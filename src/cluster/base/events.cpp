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

log4cplus::LogLevel rank(Level level) {
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

// Set from open_log() to close_log().
std::unique_ptr<log4cplus::Initializer> initializer;
std::optional<log4cplus::Logger> logger;

}  // namespace

bool open_log(const std::string& level) {
    log4cplus::LogLevel least = 0;
    if (level == "debug")
        least = rank(Level::debug);
    else if (level == "info")
        least = rank(Level::info);
    else if (level == "warning")
        least = rank(Level::warning);
    else if (level == "error")
        least = rank(Level::error);
    else
        return false;
    if (!initializer) initializer = std::make_unique<log4cplus::Initializer>();
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(true, true));
    console->setLayout(
        std::unique_ptr<log4cplus::Layout>(new log4cplus::PatternLayout("time=%d{%q} level=%p %m%n")));
    root.removeAllAppenders();
    root.addAppender(console);
    root.setLogLevel(least);
    logger = std::move(root);
    return true;
}

void close_log() {
    if (!logger) return;
    logger->removeAllAppenders();
    logger.reset();
    initializer.reset();
}

Event::Event(std::string_view what, Level level)
    : level_(level), on_(logger && logger->isEnabledFor(rank(level))) {
    if (on_) line_.append("event=").append(what);
}

// A value that holds a blank, a quote or a line's end is quoted, so that a line stays one line.
Event& Event::add(std::string_view key, const std::string& value) {
    line_.append(" ").append(key).append("=");
    if (!value.empty() && value.find_first_of(" \"\r\n\t=") == std::string::npos) {
        line_.append(value);
        return *this;
    }
    line_ += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') line_ += '\\';
        line_ += c < ' ' && c >= 0 ? ' ' : c;
    }
    line_ += '"';
    return *this;
}

Event::~Event() {
    if (on_) logger->log(rank(level_), line_);
}

}  // namespace gannethold::cluster
