// Days: what is wrong in a file is told with its line and name; and the lanes play what it says.
#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "results/report.hpp"
#include "toml/toml_reader.hpp"
#include "sockets/child.hpp"
#include "sockets/lane.hpp"
#include "virtual/world.hpp"

using namespace gannethold;
using namespace gannethold::rehearsal;

namespace {

const std::string kSmall =
    "length_s = 4\nseeds = [1]\n[[runners]]\nname = \"r\"\ncount = 3\n[[workloads]]\nwork_ms = 30\nexpiry_ms "
    "= 2000\n"
    "[clients]\nrate = 40\n";

std::string wrong(const std::string& text) {
    try {
        read_day(text, "x.toml");
    } catch (const toml::TomlError& e) {
        return e.what();
    }
    return "nothing";
}

}  // namespace

TEST_CASE("what is wrong in a day is told with line and name, and a near one") {
    CHECK(wrong(kSmall) == "nothing");
    CHECK(wrong("lenght_s = 4\n" + kSmall.substr(13)) ==
          "x.toml:1: no such name: lenght_s; did you mean length_s?");
    CHECK(wrong(kSmall + "connection = 4\n") ==
          "x.toml:11: no such name: clients.connection; did you mean connections?");
    CHECK(wrong(kSmall + "[[fault]]\nwhat = \"crush\"\n") ==
          "x.toml:12: fault.what is no fault: \"crush\"; did you mean crash?");
    CHECK(wrong(kSmall + "[[fault]]\nwhat = \"crash\"\non = \"r-9\"\n")
              .find("x.toml:13: fault.on is no runner") == 0);
    CHECK(wrong(kSmall + "[[fault]]\nwhat = \"crash\"\n").find("fault.on is missing") != std::string::npos);
    CHECK(wrong(kSmall + "[[fault]]\nwhat = \"crash\"\non = \"all\"\nat_s = 9\n")
              .find("x.toml:14: fault.at_s is after") == 0);
    CHECK(wrong(kSmall + "tries = \"two\"\n") == "x.toml:11: clients.tries is not a whole number");
    CHECK(wrong("length_s = 4\n").find("runners is missing") != std::string::npos);
    CHECK(wrong(kSmall.substr(0, kSmall.find("rate")) + "rate = 0\n").find("no load shows nothing") !=
          std::string::npos);
    CHECK(wrong("length_s = \n").find("x.toml:1:") == 0);
}

TEST_CASE("every day that comes with it can be read") {
    int days = 0;
    for (const auto& entry : std::filesystem::directory_iterator(REHEARSAL_DAYS)) {
        CHECK_NOTHROW(read_day_file(entry.path().string()));
        ++days;
    }
    CHECK(days >= 16);
}

TEST_CASE("the same seed gives the same result byte for byte, another seed another") {
    const Day day =
        read_day(kSmall + "[[fault]]\nwhat = \"crash\"\non = \"1 of all\"\nat_s = 1\nfor_s = 1\n", "x.toml");
    const std::string one = to_json(play_virtual(day, 5, "own"), false),
                      two = to_json(play_virtual(day, 5, "own"), false);
    CHECK(one == two);
    CHECK(one != to_json(play_virtual(day, 6, "own"), false));
    CHECK(one != to_json(play_virtual(day, 5, "random"), false));
}

TEST_CASE("a result goes to a file and back, and a comparison with itself finds nothing") {
    const Day day = read_day(kSmall, "x.toml");
    const auto folder =
        std::filesystem::temp_directory_path() / ("rehearsal-stories-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    std::vector<Result> all;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        all.push_back(play_virtual(day, seed, "own"));
        std::ofstream(folder / (std::to_string(seed) + ".json")) << to_json(all.back(), false);
    }
    const std::vector<Result> back = read_folder(folder.string());
    REQUIRE(back.size() == 3);
    CHECK(to_json(back[1], false) == to_json(all[1], false));
    std::ostringstream said;
    CHECK_FALSE(write_comparison(said, all, back));
    CHECK(said.str().find("no difference beyond noise") != std::string::npos);
    std::vector<Result> worse = all;
    for (Result& r : worse) r.in_time /= 2;
    CHECK(write_comparison(said, all, worse));
    const std::string page = to_html(all);
    CHECK(page.find("<polyline") != std::string::npos);
    CHECK(page.find("http") == std::string::npos);  // needs nothing else
    std::filesystem::remove_all(folder);
}

TEST_CASE("a baseline and one that sees all play the same calls") {
    const Day day = read_day(kSmall, "x.toml");
    for (const std::string& policy : policy_names()) {
        const Result r = play_virtual(day, 1, policy);
        CHECK(r.rules_held());
        CHECK(r.offered == play_virtual(day, 1, "own").offered);
        CHECK(r.share(r.in_time) > 0.9);
    }
}

TEST_CASE("a day on sockets with a crash and a rolling restart of two dispatchers keeps the rules") {
    Day day = read_day(
        "length_s = 7\nwarm_s = 1\n[[runners]]\nname = \"r\"\ncount = 4\nqueue = 8\n"
        "[[workloads]]\nname = \"proof\"\nwork_ms = 40\ndue_ms = 500\nexpiry_ms = 2000\nshare = 0.7\n"
        "[[workloads]]\nname = \"final\"\neffect = \"side-effecting\"\nwork_ms = 60\ndue_ms = 600\nexpiry_ms "
        "= 2000\nshare = 0.3\n"
        "[clients]\nrate = 60\n[dispatchers]\ncount = 2\n"
        "[[fault]]\nwhat = \"crash\"\non = \"r-2\"\nat_s = 1.5\nfor_s = 1.5\n"
        "[[fault]]\nwhat = \"restart\"\non = \"all\"\nat_s = 3\napart_s = 2.5\n[goals]\nin_time = 0.8\n",
        "story");
    const auto folder =
        std::filesystem::temp_directory_path() / ("rehearsal-sockets-" + std::to_string(getpid()));
    const Result r = play_on_sockets(day, 1, {DISPATCHER_PROGRAM, folder.string(), {}});
    std::ostringstream stories;
    write_stories(stories, r);
    INFO(stories.str());
    for (const std::string& m : r.missed) MESSAGE(m);
    CHECK(r.rules_held());
    CHECK(r.missed.empty());
    CHECK(r.offered > 300);
    CHECK(r.effects >= r.in_time);
    std::filesystem::remove_all(folder);
}

TEST_CASE("a dispatcher that does not come up is told with its own words, and nothing is left running") {
    const Day day = read_day(kSmall, "story");
    const auto folder =
        std::filesystem::temp_directory_path() / ("rehearsal-dies-" + std::to_string(getpid()));
    CHECK_THROWS_WITH_AS(play_on_sockets(day, 1, {"/bin/false", folder.string(), {}}),
                         doctest::Contains("did not come up: it ended with status 1"), std::runtime_error);
    CHECK_THROWS_WITH_AS(play_on_sockets(day, 1, {"/nowhere/gannethold", folder.string(), {}}),
                         doctest::Contains("cannot start"), std::runtime_error);
    std::filesystem::remove_all(folder);
}

TEST_CASE("kill -9 of the rehearsal leaves no dispatcher running") {
    const auto log =
        std::filesystem::temp_directory_path() / ("rehearsal-orphan-" + std::to_string(getpid()));
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    const pid_t rehearsal = fork();
    if (rehearsal == 0) {
        // Its child holds the write end until it is gone.
        Child child({"/bin/sleep", "30"}, log.string());
        for (;;) pause();
    }
    close(ends[1]);
    usleep(200'000);
    kill(rehearsal, SIGKILL);
    waitpid(rehearsal, nullptr, 0);
    char byte;
    alarm(10);
    CHECK(read(ends[0], &byte, 1) == 0);  // the end comes once nobody holds the pipe
    alarm(0);
    close(ends[0]);
    std::filesystem::remove(log);
}

// Orders drawn at random for one of three dispatchers under load, in virtual time, where a hundred days cost
// seconds.
TEST_CASE("a hundred days of drains, deadlines moved and taken back keep the rules") {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Chance chance(seed, 5);
        std::string text =
            "length_s = 5\nhalls = [\"a\", \"b\"]\n[[runners]]\nname = \"r\"\ncount = 3\n[[runners]]\nname = "
            "\"s\"\nhall = \"b\"\ncount = 2\n"
            "[[workloads]]\nname = \"p\"\nwork_ms = 60\nexpiry_ms = 1500\n"
            "[[workloads]]\nname = \"f\"\neffect = \"side-effecting\"\nwork_ms = 200\nexpiry_ms = "
            "1500\n[clients]\nrate = 40\n"
            "[dispatchers]\ncount = 3\n[goals]\ndrained_in_time = true\n";
        std::ostringstream faults;
        for (int i = 0; i < 4; ++i) {
            faults << "[[fault]]\nwhat = \"" << (chance.happens(0.8) ? "drain-dispatcher" : "restart")
                   << "\"\nat_s = " << 0.2 + 4 * chance.uniform() << "\non = \""
                   << (chance.happens(0.2) ? "hall:a" : "d-" + std::to_string(1 + chance.below(3))) << "\"\n";
            const std::string so_far = faults.str();
            if (so_far.rfind("drain-dispatcher") == so_far.rfind("what = \"") + 8)
                faults << "amount = " << 2 * chance.uniform() << "\nfor_s = " << 0.1 + 2 * chance.uniform()
                       << "\n";
        }
        if (chance.happens(0.5))
            faults << "[[fault]]\nwhat = \"hold\"\nat_s = 1\nfor_s = 2\non = \"2 of all\"\n";
        if (chance.happens(0.3))
            faults << "[[fault]]\nwhat = \"crash\"\nat_s = 2\nfor_s = 1\non = \"1 of all\"\n";
        text += faults.str();
        INFO("seed ", seed, "\n", faults.str());
        const Result r = play_virtual(read_day(text, "story"), seed, "own");
        std::ostringstream stories;
        write_stories(stories, r);
        INFO(stories.str());
        CHECK(r.rules_held());
        CHECK(r.missed.empty());
        CHECK(r.offered > 100);
    }
}
