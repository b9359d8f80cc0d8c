#include "log/log.hpp"

#include <doctest/doctest.h>

#include <sstream>

#include "json/json.hpp"

using namespace gannethold;

TEST_CASE("a line in JSON form is one object with time, level, what and the named values") {
    std::ostringstream out;
    log::Log log(out, log::Level::info, log::Form::json);
    log.debug(0, "below the level");
    log.warning(0, "reload: ", log::as("setting", "a \"name\"\n"), " differs");
    const json::Value line = json::read(out.str());
    CHECK(*line.text("level") == "warning");
    CHECK(*line.text("what") == "reload: a \"name\"\n differs");
    CHECK(*line.text("setting") == "a \"name\"\n");
    CHECK(line.text("time")->size() == 24);
    log.use(log::Form::plain);
    out.str("");
    log.info(0, "left after ", log::as("ms", 12), " ms");
    CHECK(out.str() == "info: left after 12 ms\n");
}

TEST_CASE("a burst of lines is bounded, and what was left out is counted") {
    std::ostringstream out;
    log::Log log(out, log::Level::info);
    for (int i = 0; i < 50; ++i) log.info(0, "line");
    log.info(1'500'000, "later");
    CHECK(out.str().find("warning: 30 lines left out\ninfo: later\n") != std::string::npos);
}
