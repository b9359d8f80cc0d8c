#include "log/log.hpp"

#include <doctest/doctest.h>

#include <sstream>

#include "json/json.hpp"

using namespace gannethold;

TEST_CASE("a line in the JSON format is one object with time, level, what and the named values") {
    std::ostringstream out;
    log::Log log(out, log::Level::info, log::Format::json);
    log.debug(0, "below the level");
    log.warning(0, "reload: ", log::field("setting", "a \"name\"\n"), " differs");
    const json::Value line = json::parse(out.str());
    CHECK(*line.find_string("level") == "warning");
    CHECK(*line.find_string("what") == "reload: a \"name\"\n differs");
    CHECK(*line.find_string("setting") == "a \"name\"\n");
    CHECK(line.find_string("time")->size() == 24);
    log.set_format(log::Format::plain);
    out.str("");
    log.info(0, "left after ", log::field("ms", 12), " ms");
    CHECK(out.str() == "info: left after 12 ms\n");
}

TEST_CASE("a burst of lines is limited, and the dropped lines are counted") {
    std::ostringstream out;
    log::Log log(out, log::Level::info);
    for (int i = 0; i < 50; ++i) log.info(0, "line");
    log.info(1'500'000, "later");
    CHECK(out.str().find("warning: 30 lines left out\ninfo: later\n") != std::string::npos);
}
