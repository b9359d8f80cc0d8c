#include "operator_settings/operator_settings.hpp"

#include <doctest/doctest.h>

#include "toml/toml_reader.hpp"

using namespace gannethold;
using operator_settings::OperatorSettings;

namespace {

std::string error_of(const std::string& text) {
    try {
        OperatorSettings::read(text, "operator.toml");
    } catch (const toml::TomlError& error) {
        return error.what();
    }
    return "nothing";
}

}  // namespace

TEST_CASE("an empty or missing operators' file gives the defaults") {
    CHECK(OperatorSettings::read("", "x").log_form == log::Format::plain);
    CHECK(OperatorSettings::read_file("").log_form == log::Format::plain);
    CHECK(OperatorSettings::read("[log]\nform = \"json\"\n", "x").log_form == log::Format::json);
}

TEST_CASE("a misspelt name is rejected with its line and a suggestion") {
    CHECK(error_of("[log]\nfrom = \"json\"\n") ==
          "operator.toml:2: no such name: log.from; did you mean form?");
    CHECK(error_of("# first\n[lgo]\nform = \"json\"\n") ==
          "operator.toml:2: no such name: lgo; did you mean log?");
    CHECK(error_of("[log]\nform = \"xml\"\n") ==
          "operator.toml:2: log.form is \"xml\", it may be one of plain, json");
    CHECK(error_of("[log]\nform = 3\n") == "operator.toml:2: log.form is not a text in quotes");
    CHECK(error_of("log = 3\n") == "operator.toml:1: log is not a table");
    CHECK(error_of("[log\n").find("operator.toml:1: ") == 0);
    CHECK_THROWS_AS(OperatorSettings::read_file("/nowhere/operator.toml"), toml::TomlError);
}

TEST_CASE("an old name is read with one warning, and rejected together with the new one") {
    const OperatorSettings old_name =
        OperatorSettings::read("[log]\n[keepsake]\nfolder = \"f\"\nhalf_life_h = 1\n", "operator.toml");
    CHECK(old_name.snapshot.folder == "f");
    CHECK(old_name.snapshot.decay.half_life_ms == 3'600'000);
    CHECK(
        old_name.warnings ==
        std::vector<std::string>{"operator.toml:2: keepsake is the old name of snapshot, and is still read"});
    const OperatorSettings new_name = OperatorSettings::read("[snapshot]\nfolder = \"f\"\n", "operator.toml");
    CHECK(new_name.snapshot.folder == "f");
    CHECK(new_name.warnings.empty());
    const OperatorSettings retries = OperatorSettings::read(
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
    CHECK(error_of("[snapshot]\n[keepsake]\n") ==
          "operator.toml:2: keepsake is the old name of snapshot, which stands here too: take one out");
    CHECK(error_of("[keepsake]\nfolder = 3\n") == "operator.toml:2: keepsake.folder is not a text in quotes");
    CHECK(error_of("[keepsake]\nfoldr = \"f\"\n") ==
          "operator.toml:2: no such name: keepsake.foldr; did you mean folder?");
}
