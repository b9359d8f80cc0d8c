// Producers and pulling workers: what becomes of each job when workers vanish, are late, or say too much.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "tube_fixture.hpp"

using namespace gannethold;
using namespace gannethold::beanstalk;

namespace {

constexpr Micros kSecond = 1'000'000;

std::string put(const std::string& body, const std::string& head = "1024 0 5") {
    return "put " + head + " " + std::to_string(body.size()) + "\r\n" + body;
}

// What a reader makes of bytes, in one line each.
std::string told(const std::vector<std::string_view>& pieces, std::size_t longest = 32) {
    Reader reader(longest);
    std::string all;
    for (std::string_view piece : pieces) {
        for (Found found; !piece.empty() && (found = reader.read(piece)) != Found::nothing;) {
            const Command& c = reader.command();
            all += found == Found::command
                       ? std::string(name_of(c.verb)) + " " + std::to_string(c.id) + " " +
                             std::to_string(c.priority) + " " + std::to_string(c.delay_s) + " " +
                             std::to_string(c.run_s) + " " + std::to_string(c.seconds) + " " +
                             std::to_string(c.bound) + " " + c.tube + " [" + c.body + "]"
                   : found == Found::bad_format      ? "BAD_FORMAT"
                   : found == Found::unknown_command ? "UNKNOWN_COMMAND"
                   : found == Found::expected_crlf   ? "EXPECTED_CRLF"
                                                     : "JOB_TOO_BIG";
            all += "\n";
        }
    }
    return all;
}

}  // namespace

// ---- the parser
// --------------------------------------------------------------------------------------------

TEST_CASE("the same bytes give the same commands wherever they are cut, faults among them") {
    const std::string bytes =
        "put 1 2 3 5\r\nhello\r\nreserve\r\nreserve-with-timeout 4\r\ndelete 7\r\nrelease 8 1 2\r\nbury 9 "
        "3\r\ntouch 1\r\nwatch a.b-c\r\n"
        "put 1 2 3 4\r\nhello world\r\nput 1 0 1 40\r\n" +
        std::string(40, 'x') +
        "\r\nput 0 0 0 0\r\n\r\npause-tube t 5\r\nnonsense 1 2\r\n"
        "put 1 1 1 2\r\n\r\n\r\nkick -1\r\n" +
        std::string(300, 'y') + "\r\nstats-tube " + std::string(201, 'n') +
        "\r\nput 1 0 1 3\r\na\nb\r\nquit\r\n";
    const std::string whole = told({bytes});
    CHECK(whole.find("put 0 1 2 3 0 0  [hello]") == 0);
    CHECK(whole.find("EXPECTED_CRLF\nJOB_TOO_BIG\nput 0 0 0 0 0 0  []\npause-tube 0 0 5 0 0 0 t "
                     "[]\nUNKNOWN_COMMAND\n") != std::string::npos);
    CHECK(whole.find("[\r\n]") != std::string::npos);  // a body may hold line ends
    CHECK(whole.find("[a\nb]\nquit") != std::string::npos);
    CHECK(std::count(whole.begin(), whole.end(), '\n') == 21);
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        const std::string_view all = bytes;
        CHECK(told({all.substr(0, cut), all.substr(cut)}) == whole);
    }
    std::vector<std::string_view> each;
    for (const char& c : bytes) each.emplace_back(&c, 1);
    CHECK(told(each) == whole);
}

TEST_CASE("numbers that are negative, huge or none, and names that are none, are refused one by one") {
    for (const char* const line : {"put -1 0 1 1",
                                   "put 4294967296 0 1 1",
                                   "put 1 99999999999999999999 1 1",
                                   "put 1 0 1 4294967296",
                                   "put 1 0 1",
                                   "put 1 0 1 1 1",
                                   "put  1 0 1 1",
                                   "delete",
                                   "delete -5",
                                   "delete 18446744073709551616",
                                   "delete 5x",
                                   "use",
                                   "use -a",
                                   "use a b",
                                   "use a\tb",
                                   "watch h\xc3\xa9",
                                   "reserve 1",
                                   "reserve-with-timeout",
                                   "reserve-with-timeout -1",
                                   "kick x",
                                   "pause-tube t",
                                   "pause-tube t -1",
                                   "stats x",
                                   "release 1 2",
                                   "bury 1",
                                   "touch"})
        CHECK_MESSAGE(told({std::string(line) + "\r\n"}) == "BAD_FORMAT\n", line);
    for (const char* const line : {"", " ", "RESERVE", "reserve-", "deletee 1", "\n"})
        CHECK_MESSAGE(told({std::string(line) + "\r\n"}) == "UNKNOWN_COMMAND\n", line);
}

// ---- what may have run
// -------------------------------------------------------------------------------------

TEST_CASE(
    "time to run is over for a side-effecting job: no second run, one final state, and the late delete finds "
    "nothing") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), slow = hall.connect(), other = hall.connect();
    const auto job = TubeFixture::number(hall.ask(producer, put("final-view")));
    CHECK(hall.ask(slow, "reserve").starts_with("RESERVED"));
    hall.ask(other, "reserve");
    hall.pass(30 * kSecond);
    CHECK(hall.runs["final-view"] == 1);
    CHECK(hall.state(job) == "buried");
    CHECK(hall.ask(slow, "delete " + std::to_string(job)) ==
          "DELETED\r\n");  // anybody may throw away what lies buried
    CHECK(hall.state(job) == "none");
    // Not its end as a run: a worker's word on a job that is no longer its own.
    const auto second = TubeFixture::number(hall.ask(producer, put("second")));
    hall.pass(kSecond);
    CHECK(hall.runs["second"] == 1);
    hall.pass(30 * kSecond);
    for (const char* const late : {"release ", "bury ", "touch "})
        CHECK(hall.ask(other, late + std::to_string(second) +
                                  (std::string(late) == "release " ? " 1 0"
                                   : std::string(late) == "bury "  ? " 1"
                                                                   : "")) == "NOT_FOUND\r\n");
    CHECK(hall.ask(producer, "kick 10") == "KICKED 0\r\n");
    CHECK(hall.ask(producer, "kick-job " + std::to_string(second)) == "NOT_FOUND\r\n");
    CHECK(hall.ask(slow, "reserve-job " + std::to_string(second)) == "NOT_FOUND\r\n");
    CHECK(hall.runs["second"] == 1);
    // An operator's explicit word, once.
    CHECK(hall.exchange.kick_for_good(second));
    CHECK_FALSE(hall.exchange.kick_for_good(second));
    CHECK(hall.ask(other, "reserve-with-timeout 1").find("second") != std::string::npos);
    CHECK(hall.ask(other, "delete " + std::to_string(second)) == "DELETED\r\n");
    CHECK(hall.answers_twice + hall.answers_late == 0);
}

TEST_CASE("a worker that vanishes with a job: harmless ones run again, others lie buried") {
    for (const bool harmless : {true, false}) {
        TubeFixture hall(TubeFixture::trade(harmless ? "idempotent" : "side-effecting"));
        const SessionId producer = hall.connect(), lost = hall.connect(), other = hall.connect();
        const auto job = TubeFixture::number(hall.ask(producer, put("view")));
        hall.ask(lost, "reserve");
        hall.hang_up(lost);
        hall.ask(other, "reserve-with-timeout 60");
        hall.pass(2 * kSecond);
        CHECK(hall.runs["view"] == (harmless ? 2 : 1));
        CHECK(hall.state(job) == (harmless ? "reserved" : "buried"));
        if (harmless) CHECK(hall.ask(other, "delete " + std::to_string(job)) == "DELETED\r\n");
        CHECK(hall.answers_twice == 0);
    }
}

TEST_CASE("one worker alone gets its harmless job again after its time was over") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId one = hall.connect();
    const auto job = TubeFixture::number(hall.ask(one, put("proof", "1 0 2")));
    CHECK(hall.ask(one, "reserve-with-timeout 9").starts_with("RESERVED"));
    hall.pass(2 * kSecond + 1);
    CHECK(hall.ask(one, "touch " + std::to_string(job)) == "NOT_FOUND\r\n");
    hall.ask(one, "reserve-with-timeout 9");
    hall.pass(3 * kSecond);
    CHECK(hall.runs["proof"] == 2);
    CHECK(hall.ask(one, "delete " + std::to_string(job)) == "DELETED\r\n");
}

TEST_CASE("touch in the last instant: before the end it lengthens, after it finds nothing") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId one = hall.connect();
    const auto first = TubeFixture::number(hall.ask(one, put("a", "1 0 5")));
    hall.ask(one, "reserve");
    hall.pass(5 * kSecond - 1);
    CHECK(hall.ask(one, "touch " + std::to_string(first)) == "TOUCHED\r\n");
    hall.pass(5 * kSecond - 1);
    CHECK(hall.ask(one, "delete " + std::to_string(first)) == "DELETED\r\n");
    const auto second = TubeFixture::number(hall.ask(one, put("b", "1 0 5")));
    hall.ask(one, "reserve");
    // In the very instant the time was over first, whoever is heard first.
    hall.now += 5 * kSecond;
    CHECK(hall.ask(one, "touch " + std::to_string(second)) == "NOT_FOUND\r\n");
    CHECK(hall.state(second) == "buried");
}

TEST_CASE("a worker holds ten jobs on one connection, each with its own end") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), one = hall.connect();
    std::vector<std::string> numbers;
    for (int i = 0; i < 10; ++i) {
        numbers.push_back(
            std::to_string(TubeFixture::number(hall.ask(producer, put("j" + std::to_string(i), "1 0 60")))));
        CHECK(hall.ask(one, "reserve").starts_with("RESERVED " + numbers.back() + " "));
    }
    for (int i = 0; i < 5; ++i)
        CHECK(hall.ask(one, "delete " + numbers[static_cast<std::size_t>(i)]) == "DELETED\r\n");
    CHECK(hall.ask(one, "release " + numbers[5] + " 1 0") == "RELEASED\r\n");
    CHECK(hall.ask(one, "bury " + numbers[6] + " 1") == "BURIED\r\n");
    CHECK(hall.state(static_cast<std::uint64_t>(std::stoull(numbers[5]))) == "ready");
    hall.hang_up(one);
    for (int i = 6; i < 10; ++i)
        CHECK(hall.state(std::stoull(numbers[static_cast<std::size_t>(i)])) == "buried");
    CHECK(hall.exchange.tasks_out() == 0);
}

// ---- reserves
// ----------------------------------------------------------------------------------------------

TEST_CASE("a reserve that times out loses no job, and the next one gets it") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), one = hall.connect();
    hall.ask(one, "reserve-with-timeout 2");
    hall.pass(2 * kSecond + 1);
    CHECK(hall.said[one] == "TIMED_OUT\r\n");
    hall.ask(one, "reserve-with-timeout 0");
    hall.pass(10'000);
    CHECK(hall.said[one] == "TIMED_OUT\r\n");
    hall.ask(producer, put("x"));
    CHECK(hall.ask(one, "reserve-with-timeout 0").starts_with("RESERVED"));
    CHECK(hall.runs["x"] == 1);
}

TEST_CASE("who has a job whose time is nearly over is told so instead of getting another") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId one = hall.connect();
    hall.ask(one, put("x", "1 0 3"));
    hall.ask(one, "reserve");
    hall.ask(one, "reserve");
    hall.pass(2 * kSecond);
    CHECK(hall.said[one] == "DEADLINE_SOON\r\n");
    CHECK(hall.ask(one, "reserve") == "DEADLINE_SOON\r\n");
}

TEST_CASE(
    "two waiting workers are split by fractions, not by who came first; urgent jobs go before, then older "
    "ones") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId producer = hall.connect(), a = hall.connect(), b = hall.connect();
    int to_a = 0;
    hall.ask(a, "reserve"), hall.ask(b, "reserve");
    for (int i = 0; i < 400; ++i) {
        hall.ask(producer, put("j" + std::to_string(i)));
        const bool got_a = hall.said[a].starts_with("RESERVED");
        CHECK(got_a != hall.said[b].starts_with("RESERVED"));
        to_a += got_a;
        const SessionId who = got_a ? a : b;
        hall.ask(who, "delete " + std::to_string(TubeFixture::number(hall.said[who])));
        hall.ask(who, "reserve");
        hall.pass(10'000);
    }
    CHECK(to_a > 100);
    CHECK(to_a < 300);
    const SessionId late = hall.connect();
    hall.hang_up(a), hall.hang_up(b);
    for (const char* const head : {"5 0 9", "1 0 9", "5 0 9", "0 0 9"}) hall.ask(producer, put(head, head));
    std::string order;
    for (int i = 0; i < 4; ++i) {
        const std::string got = hall.ask(late, "reserve-with-timeout 0");
        order += got.substr(got.find('\n') + 1, 1);
    }
    CHECK(order == "0155");
}

TEST_CASE("a paused tube gives nothing to those who wait, and gives again when the pause is over") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), one = hall.connect();
    hall.ask(one, "reserve");
    CHECK(hall.ask(producer, "pause-tube default 3") == "PAUSED\r\n");
    CHECK(hall.ask(producer, "pause-tube nowhere 3") == "NOT_FOUND\r\n");
    hall.ask(producer, put("x"));
    hall.pass(2 * kSecond);
    CHECK(hall.said[one].empty());
    hall.pass(kSecond + 1'000);
    CHECK(hall.said[one].starts_with("RESERVED"));
}

TEST_CASE("a job by its number is the module's to give, and one that is not given lies as it lay") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId producer = hall.connect(), one = hall.connect(), other = hall.connect();
    const auto first = std::to_string(TubeFixture::number(hall.ask(producer, put("first"))));
    const auto second = std::to_string(TubeFixture::number(hall.ask(producer, put("second"))));
    const auto late = std::to_string(TubeFixture::number(hall.ask(producer, put("late", "1 600 5"))));
    CHECK(hall.ask(one, "reserve-job " + second).find("second") != std::string::npos);
    CHECK(hall.ask(other, "reserve-job " + second) == "NOT_FOUND\r\n");
    CHECK(hall.ask(one, "reserve-job 999") == "NOT_FOUND\r\n");
    CHECK(hall.ask(other, "reserve-job " + late).find("late") != std::string::npos);
    CHECK(hall.ask(other, "reserve").find("first") != std::string::npos);
    // One whom an operator holds back gets nothing, whatever it asks for.
    CHECK(hall.ask(one, "release " + second + " 1 0") == "RELEASED\r\n");
    for (const auto& [id, entry] : hall.entries) hall.state_of(id, RunnerState::draining);
    hall.ask(one, "reserve-job " + second);
    hall.pass(2 * kSecond);
    CHECK(hall.said[one] == "NOT_FOUND\r\n");
    CHECK(hall.state(std::stoull(second)) == "ready");
    CHECK(hall.state(std::stoull(first)) == "reserved");
}

// ---- drains, bounds
// ----------------------------------------------------------------------------------------

TEST_CASE("in a drain nothing is put, what is in hands ends as its worker says, and what waits stays") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), one = hall.connect();
    const auto a = std::to_string(TubeFixture::number(hall.ask(producer, put("a", "1 0 60"))));
    const auto b = TubeFixture::number(hall.ask(producer, put("b", "1 0 60")));
    hall.ask(one, "reserve");
    hall.exchange.turn_away(true);
    CHECK(hall.ask(producer, put("c")) == "DRAINING\r\n");
    CHECK(hall.ask(producer, "put 1 0 60 1\r\nd\r\nlist-tube-used") == "DRAINING\r\nUSING default\r\n");
    hall.exchange.hand_out(false);
    CHECK(hall.ask(one, "bury " + a + " 5") == "BURIED\r\n");
    hall.ask(one, "reserve");
    hall.pass(kSecond);
    CHECK(hall.said[one].empty());
    CHECK(hall.state(b) == "ready");
    CHECK(hall.state(std::stoull(a)) == "buried");
    // The last call finds nobody who waits; undone, the next job goes to who stood in its reserve all the
    // while.
    hall.balancer.apply(hall.now, DrainDeadline{});
    hall.settle();
    hall.exchange.hand_out(true);
    hall.exchange.turn_away(false);
    hall.settle();
    hall.pass(kSecond);
    CHECK(hall.said[one].find("b") != std::string::npos);
    CHECK(hall.runs["b"] == 1);
    CHECK(hall.answers_twice == 0);
}

TEST_CASE("a last call with a job in hands: one honest state, and the worker's word comes too late") {
    for (const bool harmless : {true, false}) {
        TubeFixture hall(TubeFixture::trade(harmless ? "idempotent" : "side-effecting"));
        const SessionId one = hall.connect();
        const auto job = TubeFixture::number(hall.ask(one, put("x", "1 0 60")));
        hall.ask(one, "reserve");
        hall.exchange.hand_out(false);
        hall.balancer.apply(hall.now, DrainDeadline{});
        hall.settle();
        CHECK(hall.exchange.tasks_out() == 0);
        CHECK(hall.ask(one, "bury " + std::to_string(job) + " 1") == "NOT_FOUND\r\n");
        hall.pass(2 * kSecond);
        CHECK(hall.state(job) == (harmless ? "ready" : "buried"));
        CHECK(hall.runs["x"] == 1);
    }
}

TEST_CASE("bounds hold: jobs, bytes, tubes, and a place that is given back is used again") {
    Trade trade = TubeFixture::trade("idempotent");
    trade.bounds.max_jobs = 3, trade.bounds.max_bytes = 2'000;
    trade.other_tubes = 2;
    TubeFixture hall(trade);
    const SessionId one = hall.connect();
    for (int i = 0; i < 3; ++i) CHECK(hall.ask(one, put("x")).starts_with("INSERTED"));
    CHECK(hall.ask(one, put("x")) == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(one, "delete 1") == "DELETED\r\n");
    CHECK(hall.ask(one, put(std::string(1'500, 'b'))) == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(one, put("x")).starts_with("INSERTED"));
    CHECK(hall.ask(one, "watch a") == "WATCHING 2\r\n");
    CHECK(hall.ask(one, "watch b") == "WATCHING 3\r\n");
    CHECK(hall.ask(one, "watch c") == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(one, "use c") == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(one, "ignore b") == "WATCHING 2\r\n");
    CHECK(hall.ask(one, "use c") == "USING c\r\n");
    for (int i = 0; i < 100; ++i) {
        CHECK(hall.ask(one, "use default") == "USING default\r\n");
        CHECK(hall.ask(one, "use t" + std::to_string(i)).starts_with("USING"));
    }
    CHECK(hall.ask(one, "ignore a") == "WATCHING 1\r\n");
    CHECK(hall.ask(one, "ignore default") == "NOT_IGNORED\r\n");
}

TEST_CASE("a cold worker gets its part of a budget only, as any runner does") {
    for (const bool cold : {true, false}) {
        TubeFixture hall(TubeFixture::trade("idempotent", cold));
        const SessionId producer = hall.connect(), one = hall.connect();
        int got = 0;
        hall.ask(one, "reserve");
        for (int i = 0; i < 200; ++i) {
            hall.ask(producer, put("x"));
            hall.pass(1'000);
            if (!hall.said[one].starts_with("RESERVED")) continue;
            ++got;
            hall.ask(one, "delete " + std::to_string(TubeFixture::number(hall.said[one])));
            hall.ask(one, "reserve");
        }
        CHECK((got < 200) == cold);
        Micros waited = 0;
        for (; waited < 60 * kSecond && !hall.said[one].starts_with("RESERVED") && cold; waited += 10'000)
            hall.pass(10'000);
        MESSAGE((cold ? "cold: " : "warm: "), got, " of 200 within 0.2 s; the next after ", waited / 1000,
                " ms");
    }
}

// ---- all at once
// -------------------------------------------------------------------------------------------

TEST_CASE(
    "drawn days: whatever producers and workers do, no side-effecting job runs twice by itself and none is "
    "lost") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::ranlux24_base chance(static_cast<std::uint32_t>(seed));
        const auto drawn = [&](unsigned n) { return static_cast<unsigned>(chance() % n); };
        const bool harmless = seed % 2 == 0;
        TubeFixture hall(TubeFixture::trade(harmless ? "idempotent" : "side-effecting", seed % 3 == 0), seed);
        std::vector<SessionId> all;
        std::map<std::string, std::uint64_t> put_jobs;  // by body
        std::map<SessionId, std::vector<std::uint64_t>> hands;
        std::set<std::string> deleted;
        std::map<std::string, int> handed_back;
        std::map<std::uint64_t, std::string> body_of;
        const auto waits = [&](SessionId s) { return hall.exchange.waits(s); };
        const auto gather = [&] {
            for (const SessionId s : all) {
                std::string& words = hall.said[s];
                if (!words.starts_with("RESERVED ")) continue;
                hands[s].push_back(TubeFixture::number(words));
                words.clear();
            }
        };
        for (int step = 0; step < 1'500; ++step) {
            gather();
            if (all.size() < 3 || (all.size() < 12 && drawn(10) == 0)) all.push_back(hall.connect());
            const SessionId s = all[drawn(static_cast<unsigned>(all.size()))];
            const unsigned what = drawn(16);
            if (what == 0) {
                hall.pass(static_cast<Micros>(drawn(3'000'000)));
            } else if (what == 1 && drawn(4) == 0) {
                hands.erase(s);
                hall.hang_up(s);
                std::erase(all, s);
            } else if (waits(s)) {
                hall.pass(drawn(5'000));
            } else if (what < 7) {
                const std::string body = "j" + std::to_string(step);
                // Drawn one after the other: the order in which operands are evaluated is the compiler's
                // choice.
                const std::string run_s = std::to_string(1 + drawn(4));
                const std::string delay_s = drawn(5) ? "0" : "2";
                const std::string priority = std::to_string(drawn(9));
                const auto id = TubeFixture::number(hall.ask(s, put(body, priority + " " + delay_s + " " + run_s)));
                if (id > 0) put_jobs[body] = id, body_of[id] = body;
            } else if (what < 11) {
                hall.ask(s, "reserve-with-timeout " + std::to_string(drawn(4)));
            } else if (!hands[s].empty()) {
                const std::uint64_t id = hands[s].back();
                const std::string number = std::to_string(id);
                if (what == 11) {
                    hall.ask(s, "touch " + number);
                    continue;
                }
                hands[s].pop_back();
                if (what == 12)
                    handed_back[body_of[id]] +=
                        hall.ask(s, "release " + number + " 1 " + std::to_string(drawn(2))) == "RELEASED\r\n";
                else if (what == 13)
                    hall.ask(s, "bury " + number + " 1");
                else if (hall.ask(s, "delete " + number) == "DELETED\r\n")
                    deleted.insert(body_of[id]);
            }
        }
        for (const SessionId s : all) hall.hang_up(s);
        hall.pass(10 * kSecond);
        CHECK(hall.exchange.tasks_out() == 0);
        for (const auto& [body, id] : put_jobs) {
            // One final state: thrown away or done, or still there in one place.
            const std::string state = hall.state(id);
            CHECK_MESSAGE((state == "none") == deleted.contains(body), "seed ", seed, ", ", body, " is ",
                          state);
            if (state != "none")
                CHECK_MESSAGE((state == "ready" || state == "buried" || state == "delayed"), "seed ", seed,
                              ", ", body, " is ", state);
            if (!harmless)
                CHECK_MESSAGE(hall.runs[body] <= 1 + handed_back[body], "seed ", seed, ", ", body, " ran ",
                              hall.runs[body], " times");
        }
        CHECK(hall.answers_twice == 0);
        CHECK(hall.answers_late == 0);
        CHECK(put_jobs.size() > 200);
    }
}

TEST_CASE("every command and every error word, as the protocol's page has them") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId a = hall.connect();
    const auto says = [&](const std::string& words, const std::string& wanted) {
        CHECK_MESSAGE(hall.ask(a, words) == wanted, words);
    };
    const auto yaml = [&](const std::string& words, const std::string& part) {
        const std::string got = hall.ask(a, words);
        REQUIRE(got.starts_with("OK "));
        const auto end = got.find("\r\n");
        CHECK(std::stoul(got.substr(3)) == got.size() - end - 4);
        CHECK(got.substr(end + 2).starts_with("---\n"));
        CHECK_MESSAGE(got.find(part) != std::string::npos, words, ": ", got);
    };
    says("use paint", "USING paint\r\n");
    says("list-tube-used", "USING paint\r\n");
    says("watch paint", "WATCHING 2\r\n");
    says("watch paint", "WATCHING 2\r\n");
    says("ignore default", "WATCHING 1\r\n");
    says("ignore paint", "NOT_IGNORED\r\n");
    yaml("list-tubes", "\n- default\n- paint\n");
    yaml("list-tubes-watched", "---\n- paint\n");
    says("peek-ready", "NOT_FOUND\r\n");
    says("peek-delayed", "NOT_FOUND\r\n");
    says("peek-buried", "NOT_FOUND\r\n");
    says("put 9 0 60 2\r\nhi", "INSERTED 1\r\n");
    says("put 2000 30 60 2\r\nyo", "INSERTED 2\r\n");
    says("put 1 0 60 2\r\nhi!", "EXPECTED_CRLF\r\n");
    says("put 1 0 60 70000\r\n" + std::string(70'000, 'x'), "JOB_TOO_BIG\r\n");
    says("put 1 0 60", "BAD_FORMAT\r\n");
    says("paint", "UNKNOWN_COMMAND\r\n");
    says("peek 1", "FOUND 1 2\r\nhi\r\n");
    says("peek 3", "NOT_FOUND\r\n");
    says("peek-ready", "FOUND 1 2\r\nhi\r\n");
    says("peek-delayed", "FOUND 2 2\r\nyo\r\n");
    yaml("stats-tube paint",
         "current-jobs-urgent: 1\ncurrent-jobs-ready: 1\ncurrent-jobs-reserved: 0\ncurrent-jobs-delayed: "
         "1\ncurrent-jobs-buried: 0\ntotal-jobs: 2\n");
    says("stats-tube none", "NOT_FOUND\r\n");
    says("reserve", "RESERVED 1 2\r\nhi\r\n");
    yaml("stats-job 1",
         "id: 1\ntube: \"paint\"\nstate: reserved\npri: 9\nage: 0\ndelay: 0\nttr: 60\ntime-left: 60\n");
    says("stats-job 3", "NOT_FOUND\r\n");
    says("touch 1", "TOUCHED\r\n");
    says("touch 2", "NOT_FOUND\r\n");
    says("release 1 4 0", "RELEASED\r\n");
    says("release 1 4 0", "NOT_FOUND\r\n");
    says("reserve-job 1", "RESERVED 1 2\r\nhi\r\n");
    says("bury 1 5", "BURIED\r\n");
    says("bury 1 5", "NOT_FOUND\r\n");
    says("peek-buried", "FOUND 1 2\r\nhi\r\n");
    yaml("stats-job 1", "reserves: 2\ntimeouts: 0\nreleases: 1\nburies: 1\nkicks: 0\n");
    says("kick 5", "KICKED 1\r\n");
    says("kick 5", "KICKED 1\r\n");  // nothing is buried any more, so the delayed one
    says("kick-job 1", "NOT_FOUND\r\n");
    says("delete 1", "DELETED\r\n");
    says("delete 1", "NOT_FOUND\r\n");
    says("pause-tube paint 1", "PAUSED\r\n");
    says("pause-tube none 1", "NOT_FOUND\r\n");
    hall.ask(a, "reserve-with-timeout 0");
    hall.pass(20'000);
    CHECK(hall.said[a] == "TIMED_OUT\r\n");
    hall.pass(kSecond);
    says("reserve-with-timeout 0", "RESERVED 2 2\r\nyo\r\n");
    says("bury 2 1", "BURIED\r\n");
    says("kick-job 2", "KICKED\r\n");
    yaml("stats", "current-jobs-ready: 1\n");
    yaml("stats", "cmd-put: 2\n");
    hall.ask(a, "quit");
    CHECK(hall.exchange.sessions() == 0);
}

TEST_CASE(
    "a worker back on a new connection while its old one stands silent: the job is in one pair of hands at a "
    "time") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), old_one = hall.connect();
    const auto job = std::to_string(TubeFixture::number(hall.ask(producer, put("view", "1 0 3"))));
    hall.ask(old_one, "reserve");
    const SessionId new_one = hall.connect();
    hall.ask(new_one, "reserve-with-timeout 1");
    CHECK(hall.ask(producer, "delete " + job) == "NOT_FOUND\r\n");
    hall.pass(2 * kSecond);
    CHECK(hall.ask(new_one, "delete " + job) == "NOT_FOUND\r\n");
    CHECK(hall.ask(new_one, "reserve-job " + job) == "NOT_FOUND\r\n");
    hall.pass(10 * kSecond);
    CHECK(hall.runs["view"] == 1);
    CHECK(hall.state(std::stoull(job)) == "buried");
}

TEST_CASE(
    "a worker that an operator holds back and that says nothing: its job ends by its time, and it gets no "
    "other") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), one = hall.connect();
    const auto job = TubeFixture::number(hall.ask(producer, put("a", "1 0 3")));
    hall.ask(one, "reserve");
    for (const auto& [id, entry] : hall.entries) hall.state_of(id, RunnerState::draining);
    hall.ask(producer, put("b"));
    hall.ask(one, "reserve");
    hall.pass(10 * kSecond);
    CHECK(hall.state(job) == "buried");
    CHECK(hall.said[one] == "DEADLINE_SOON\r\n");
    hall.ask(one, "reserve");
    hall.pass(10 * kSecond);
    CHECK(hall.runs["b"] == 0);
    for (const auto& [id, entry] : hall.entries) hall.state_of(id, RunnerState::ready);
    hall.pass(kSecond);
    CHECK(hall.runs["b"] == 1);
}
