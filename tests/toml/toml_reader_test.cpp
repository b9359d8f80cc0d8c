#include "toml/toml_reader.hpp"

#include <doctest/doctest.h>

using namespace gannethold::toml;

namespace {

TomlReader read(const std::string& text) { return TomlReader::read(text, "f.toml"); }

template <class Function>
std::string error_of(Function function) {
    try {
        function();
    } catch (const TomlError& error) {
        return error.what();
    }
    return "";
}

}  // namespace

TEST_CASE("missing names have their defaults, also in missing tables") {
    const TomlReader file = read("");
    CHECK(file.get_number("n", 1.5, 0, 2) == 1.5);
    CHECK(file.get_table("t").get_integer("i", 7, 0, 9) == 7);
    CHECK(file.get_table("t").get_bool("b", true));
    CHECK(file.get_string("s", "x") == "x");
    CHECK(file.get_strings("list").empty());
    CHECK(file.get_numbers("list", 0, 1).empty());
    CHECK(file.get_tables("tables").empty());
    CHECK_FALSE(file.has("n"));
}

TEST_CASE("a value of another type or out of bounds is rejected with file, line and full name") {
    const TomlReader file = read("[t]\nn = 3\nlist = [1, 9]\nb = 1\n");
    const TomlReader table = file.get_table("t");
    CHECK(table.get_number("n", 0, 0, 3) == 3);
    CHECK(error_of([&] { table.get_number("n", 0, 0, 2); }) == "f.toml:2: t.n is 3, it may be from 0 to 2");
    CHECK(error_of([&] { table.get_numbers("list", 0, 5); }) ==
          "f.toml:3: t.list holds what is not a number in its bounds");
    CHECK(error_of([&] { table.get_strings("n"); }) == "f.toml:2: t.n is not a list of texts");
    CHECK(error_of([&] { table.get_bool("b", false); }) == "f.toml:4: t.b is neither true nor false");
    CHECK(error_of([&] { file.get_tables("t"); }) == "f.toml:1: t is not a list of tables, [[t]]");
}

TEST_CASE("names that were never read are rejected, in nested tables as well") {
    const TomlReader file = read("[[t]]\nname = \"a\"\n[[t]]\nnmae = \"b\"\n");
    for (const TomlReader& table : file.get_tables("t")) table.get_string("name", "");
    CHECK(error_of([&] { file.reject_unread_names(); }) ==
          "f.toml:4: no such name: t.nmae; did you mean name?");
    CHECK(closest_name("entirely", {"other", "words"}).empty());
}

TEST_CASE("an old name is read in place of the present one, and errors state the old name") {
    const TomlReader file = read("[old]\nless = 4\n");
    file.accept_old_name("now", "old");
    file.accept_old_name("unused", "absent");
    const TomlReader table = file.get_table("now");
    table.accept_old_name("min", "less");
    CHECK(table.get_number("min", 0, 0, 9) == 4);
    CHECK(error_of([&] { table.get_number("min", 0, 5, 9); }) ==
          "f.toml:2: old.less is 4, it may be from 5 to 9");
    CHECK(error_of([&] { file.reject_unread_names(); }).empty());
    CHECK(file.warnings() ==
          std::vector<std::string>{"f.toml:1: old is the old name of now, and is still read",
                                   "f.toml:2: old.less is the old name of old.min, and is still read"});
    CHECK(error_of([] { read("a = 1\nb = 2\n").accept_old_name("b", "a"); }) ==
          "f.toml:1: a is the old name of b, which stands here too: take one out");
}
