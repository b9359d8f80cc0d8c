// The operators' own file and the log's two forms.
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "operator_settings/operator_settings.hpp"
#include "json/json.hpp"
#include "toml/toml_reader.hpp"

using namespace gannethold;
using house::HouseRules;

namespace {

std::string wrong(const std::string& text) {
    try {
        HouseRules::read(text, "operator.toml");
    } catch (const sheets::SheetError& e) {
        return e.what();
    }
    return "nothing";
}

}  // namespace

TEST_CASE("an operators' file that is empty or missing from the command line changes nothing") {
    CHECK(HouseRules::read("", "x").log_form == log::Form::plain);
    CHECK(HouseRules::read_file("").log_form == log::Form::plain);
    CHECK(HouseRules::read("[log]\nform = \"json\"\n", "x").log_form == log::Form::json);
}

TEST_CASE("a name that is misspelt is refused with its line and a near one") {
    CHECK(wrong("[log]\nfrom = \"json\"\n") == "operator.toml:2: no such name: log.from; did you mean form?");
    CHECK(wrong("# first\n[lgo]\nform = \"json\"\n") ==
          "operator.toml:2: no such name: lgo; did you mean log?");
    CHECK(wrong("[log]\nform = \"xml\"\n") ==
          "operator.toml:2: log.form is \"xml\", it may be one of plain, json");
    CHECK(wrong("[log]\nform = 3\n") == "operator.toml:2: log.form is not a text in quotes");
    CHECK(wrong("log = 3\n") == "operator.toml:1: log is not a table");
    CHECK(wrong("[log\n").find("operator.toml:1: ") == 0);
    CHECK_THROWS_AS(HouseRules::read_file("/nowhere/operator.toml"), sheets::SheetError);
}

TEST_CASE("an old name of a table is read with one warning, and refused beside the new one") {
    const HouseRules old_name =
        HouseRules::read("[log]\n[keepsake]\nfolder = \"f\"\nhalf_life_h = 1\n", "operator.toml");
    CHECK(old_name.snapshot.folder == "f");
    CHECK(old_name.snapshot.decay.half_life_ms == 3'600'000);
    CHECK(
        old_name.warnings ==
        std::vector<std::string>{"operator.toml:2: keepsake is the old name of snapshot, and is still read"});
    const HouseRules new_name = HouseRules::read("[snapshot]\nfolder = \"f\"\n", "operator.toml");
    CHECK(new_name.snapshot.folder == "f");
    CHECK(new_name.warnings.empty());
    const HouseRules retries = HouseRules::read(
        "[repeats]\nremember = true\nkeep_s = 5\nmost = 6\nmost_mb = 1\nlongest_result = 7\n",
        "operator.toml");
    CHECK(retries.deduplication.is_enabled);
    CHECK(retries.deduplication.retention == 5'000'000);
    CHECK(retries.deduplication.max_entries == 6);
    CHECK(retries.deduplication.max_bytes == 1 << 20);
    CHECK(retries.deduplication.max_result_bytes == 7);
    REQUIRE(retries.warnings.size() == 6);
    CHECK(retries.warnings[0] == "operator.toml:1: repeats is the old name of retries, and is still read");
    CHECK(retries.warnings[1] ==
          "operator.toml:2: repeats.remember is the old name of repeats.deduplicate, and is still read");
    CHECK(wrong("[snapshot]\n[keepsake]\n") ==
          "operator.toml:2: keepsake is the old name of snapshot, which stands here too: take one out");
    CHECK(wrong("[keepsake]\nfolder = 3\n") == "operator.toml:2: keepsake.folder is not a text in quotes");
    CHECK(wrong("[keepsake]\nfoldr = \"f\"\n") ==
          "operator.toml:2: no such name: keepsake.foldr; did you mean folder?");
}

TEST_CASE("a line in JSON form is one object with time, level, what and the values that were named") {
    std::ostringstream out;
    log::Log log(out, log::Level::info, log::Form::json);
    log.debug(0, "not said");
    log.warning(0, "reload: ", log::as("setting", "a \"name\"\n"), " differs");
    const json::Value said = json::read(out.str());
    CHECK(*said.text("level") == "warning");
    CHECK(*said.text("what") == "reload: a \"name\"\n differs");
    CHECK(*said.text("setting") == "a \"name\"\n");
    CHECK(said.text("time")->size() == 24);
    log.use(log::Form::plain);
    out.str("");
    log.info(0, "left after ", log::as("ms", 12), " ms");
    CHECK(out.str() == "info: left after 12 ms\n");
}

TEST_CASE("a storm of lines is bounded, and what was left out is counted") {
    std::ostringstream out;
    log::Log log(out, log::Level::info);
    for (int i = 0; i < 50; ++i) log.info(0, "line");
    log.info(1'500'000, "later");
    CHECK(out.str().find("warning: 30 lines left out\ninfo: later\n") != std::string::npos);
}
