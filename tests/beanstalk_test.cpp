// The beanstalk command parser, and the tube broker together with the balancer, without sockets and in
// virtual time: the state of each job when workers disconnect, miss a deadline or send unusual commands.
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

// The results of parsing `pieces`, one line each.
std::string parse_all(const std::vector<std::string_view>& pieces, std::size_t max_body_bytes = 32) {
    CommandParser parser(max_body_bytes);
    std::string all;
    for (std::string_view piece : pieces) {
        for (ParseResult found; !piece.empty() && (found = parser.parse(piece)) != ParseResult::incomplete;) {
            const Command& c = parser.command();
            all += found == ParseResult::command
                       ? std::string(name_of(c.verb)) + " " + std::to_string(c.id) + " " +
                             std::to_string(c.priority) + " " + std::to_string(c.delay_s) + " " +
                             std::to_string(c.time_to_run_s) + " " + std::to_string(c.seconds) + " " +
                             std::to_string(c.count) + " " + c.tube + " [" + c.body + "]"
                   : found == ParseResult::bad_format      ? "BAD_FORMAT"
                   : found == ParseResult::unknown_command ? "UNKNOWN_COMMAND"
                   : found == ParseResult::expected_crlf   ? "EXPECTED_CRLF"
                                                           : "JOB_TOO_BIG";
            all += "\n";
        }
    }
    return all;
}

}  // namespace

// ---- the parser ----

TEST_CASE("parser: the results, including errors, do not depend on how the input is split") {
    const std::string bytes =
        "put 1 2 3 5\r\nhello\r\nreserve\r\nreserve-with-timeout 4\r\ndelete 7\r\nrelease 8 1 2\r\nbury 9 "
        "3\r\ntouch 1\r\nwatch a.b-c\r\n"
        "put 1 2 3 4\r\nhello world\r\nput 1 0 1 40\r\n" +
        std::string(40, 'x') +
        "\r\nput 0 0 0 0\r\n\r\npause-tube t 5\r\nnonsense 1 2\r\n"
        "put 1 1 1 2\r\n\r\n\r\nkick -1\r\n" +
        std::string(300, 'y') + "\r\nstats-tube " + std::string(201, 'n') +
        "\r\nput 1 0 1 3\r\na\nb\r\nquit\r\n";
    const std::string whole = parse_all({bytes});
    CHECK(whole.find("put 0 1 2 3 0 0  [hello]") == 0);
    CHECK(whole.find("EXPECTED_CRLF\nJOB_TOO_BIG\nput 0 0 0 0 0 0  []\npause-tube 0 0 5 0 0 0 t "
                     "[]\nUNKNOWN_COMMAND\n") != std::string::npos);
    CHECK(whole.find("[\r\n]") != std::string::npos);  // a body may contain line ends
    CHECK(whole.find("[a\nb]\nquit") != std::string::npos);
    CHECK(std::count(whole.begin(), whole.end(), '\n') == 21);
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        const std::string_view all = bytes;
        CHECK(parse_all({all.substr(0, cut), all.substr(cut)}) == whole);
    }
    std::vector<std::string_view> single_bytes;
    for (const char& byte : bytes) single_bytes.emplace_back(&byte, 1);
    CHECK(parse_all(single_bytes) == whole);
}

TEST_CASE("parser: negative, oversized or missing numbers and invalid names are refused") {
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
        CHECK_MESSAGE(parse_all({std::string(line) + "\r\n"}) == "BAD_FORMAT\n", line);
    for (const char* const line : {"", " ", "RESERVE", "reserve-", "deletee 1", "\n"})
        CHECK_MESSAGE(parse_all({std::string(line) + "\r\n"}) == "UNKNOWN_COMMAND\n", line);
}

// ---- jobs that may have run ----

TEST_CASE(
    "a side-effecting job whose time to run has passed does not run again, and late commands are refused") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), slow = hall.connect(), other = hall.connect();
    const auto job = TubeFixture::number(hall.ask(producer, put("final-view")));
    CHECK(hall.ask(slow, "reserve").starts_with("RESERVED"));
    hall.ask(other, "reserve");
    hall.pass(30 * kSecond);
    CHECK(hall.runs["final-view"] == 1);
    CHECK(hall.state(job) == "buried");
    CHECK(hall.ask(slow, "delete " + std::to_string(job)) ==
          "DELETED\r\n");  // any session may delete a buried job
    CHECK(hall.state(job) == "none");
    // Commands of a worker on a job that it no longer holds do not end the job's run.
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
    // An operator may let the job run again, once.
    CHECK(hall.exchange.kick_may_have_run(second));
    CHECK_FALSE(hall.exchange.kick_may_have_run(second));
    CHECK(hall.ask(other, "reserve-with-timeout 1").find("second") != std::string::npos);
    CHECK(hall.ask(other, "delete " + std::to_string(second)) == "DELETED\r\n");
    CHECK(hall.answers_twice + hall.answers_late == 0);
}

TEST_CASE("after a worker disconnects, an idempotent job runs again and a side-effecting job is buried") {
    for (const bool is_idempotent : {true, false}) {
        TubeFixture hall(TubeFixture::trade(is_idempotent ? "idempotent" : "side-effecting"));
        const SessionId producer = hall.connect(), lost = hall.connect(), other = hall.connect();
        const auto job = TubeFixture::number(hall.ask(producer, put("view")));
        hall.ask(lost, "reserve");
        hall.hang_up(lost);
        hall.ask(other, "reserve-with-timeout 60");
        hall.pass(2 * kSecond);
        CHECK(hall.runs["view"] == (is_idempotent ? 2 : 1));
        CHECK(hall.state(job) == (is_idempotent ? "reserved" : "buried"));
        if (is_idempotent) CHECK(hall.ask(other, "delete " + std::to_string(job)) == "DELETED\r\n");
        CHECK(hall.answers_twice == 0);
    }
}

TEST_CASE("the only worker gets its idempotent job again after the time to run has passed") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId worker = hall.connect();
    const auto job = TubeFixture::number(hall.ask(worker, put("proof", "1 0 2")));
    CHECK(hall.ask(worker, "reserve-with-timeout 9").starts_with("RESERVED"));
    hall.pass(2 * kSecond + 1);
    CHECK(hall.ask(worker, "touch " + std::to_string(job)) == "NOT_FOUND\r\n");
    hall.ask(worker, "reserve-with-timeout 9");
    hall.pass(3 * kSecond);
    CHECK(hall.runs["proof"] == 2);
    CHECK(hall.ask(worker, "delete " + std::to_string(job)) == "DELETED\r\n");
}

TEST_CASE("touch extends the time to run until just before the deadline, and is refused at the deadline") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId worker = hall.connect();
    const auto first = TubeFixture::number(hall.ask(worker, put("a", "1 0 5")));
    hall.ask(worker, "reserve");
    hall.pass(5 * kSecond - 1);
    CHECK(hall.ask(worker, "touch " + std::to_string(first)) == "TOUCHED\r\n");
    hall.pass(5 * kSecond - 1);
    CHECK(hall.ask(worker, "delete " + std::to_string(first)) == "DELETED\r\n");
    const auto second = TubeFixture::number(hall.ask(worker, put("b", "1 0 5")));
    hall.ask(worker, "reserve");
    // Exactly at the deadline the expiry takes precedence over the command.
    hall.now += 5 * kSecond;
    CHECK(hall.ask(worker, "touch " + std::to_string(second)) == "NOT_FOUND\r\n");
    CHECK(hall.state(second) == "buried");
}

TEST_CASE("a worker holds ten jobs on one connection, and each ends on its own") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), worker = hall.connect();
    std::vector<std::string> numbers;
    for (int i = 0; i < 10; ++i) {
        numbers.push_back(
            std::to_string(TubeFixture::number(hall.ask(producer, put("j" + std::to_string(i), "1 0 60")))));
        CHECK(hall.ask(worker, "reserve").starts_with("RESERVED " + numbers.back() + " "));
    }
    for (int i = 0; i < 5; ++i)
        CHECK(hall.ask(worker, "delete " + numbers[static_cast<std::size_t>(i)]) == "DELETED\r\n");
    CHECK(hall.ask(worker, "release " + numbers[5] + " 1 0") == "RELEASED\r\n");
    CHECK(hall.ask(worker, "bury " + numbers[6] + " 1") == "BURIED\r\n");
    CHECK(hall.state(static_cast<std::uint64_t>(std::stoull(numbers[5]))) == "ready");
    hall.hang_up(worker);
    for (int i = 6; i < 10; ++i)
        CHECK(hall.state(std::stoull(numbers[static_cast<std::size_t>(i)])) == "buried");
    CHECK(hall.exchange.tasks_in_flight() == 0);
}

// ---- reserves ----

TEST_CASE("a reserve that times out loses no job: the next reserve gets it") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), worker = hall.connect();
    hall.ask(worker, "reserve-with-timeout 2");
    hall.pass(2 * kSecond + 1);
    CHECK(hall.said[worker] == "TIMED_OUT\r\n");
    hall.ask(worker, "reserve-with-timeout 0");
    hall.pass(10'000);
    CHECK(hall.said[worker] == "TIMED_OUT\r\n");
    hall.ask(producer, put("x"));
    CHECK(hall.ask(worker, "reserve-with-timeout 0").starts_with("RESERVED"));
    CHECK(hall.runs["x"] == 1);
}

TEST_CASE("a worker that holds a job close to its deadline gets DEADLINE_SOON instead of another job") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId worker = hall.connect();
    hall.ask(worker, put("x", "1 0 3"));
    hall.ask(worker, "reserve");
    hall.ask(worker, "reserve");
    hall.pass(2 * kSecond);
    CHECK(hall.said[worker] == "DEADLINE_SOON\r\n");
    CHECK(hall.ask(worker, "reserve") == "DEADLINE_SOON\r\n");
}

TEST_CASE(
    "jobs are split between waiting workers by their fractions; jobs are ordered by priority, then by age") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId producer = hall.connect(), first = hall.connect(), second = hall.connect();
    int jobs_of_first = 0;
    hall.ask(first, "reserve"), hall.ask(second, "reserve");
    for (int i = 0; i < 400; ++i) {
        hall.ask(producer, put("j" + std::to_string(i)));
        const bool first_got_it = hall.said[first].starts_with("RESERVED");
        CHECK(first_got_it != hall.said[second].starts_with("RESERVED"));
        jobs_of_first += first_got_it;
        const SessionId winner = first_got_it ? first : second;
        hall.ask(winner, "delete " + std::to_string(TubeFixture::number(hall.said[winner])));
        hall.ask(winner, "reserve");
        hall.pass(10'000);
    }
    CHECK(jobs_of_first > 100);
    CHECK(jobs_of_first < 300);
    const SessionId late = hall.connect();
    hall.hang_up(first), hall.hang_up(second);
    for (const char* const head : {"5 0 9", "1 0 9", "5 0 9", "0 0 9"}) hall.ask(producer, put(head, head));
    std::string order;
    for (int i = 0; i < 4; ++i) {
        const std::string got = hall.ask(late, "reserve-with-timeout 0");
        order += got.substr(got.find('\n') + 1, 1);
    }
    CHECK(order == "0155");
}

TEST_CASE("a paused tube assigns no jobs to waiting workers until the pause ends") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), worker = hall.connect();
    hall.ask(worker, "reserve");
    CHECK(hall.ask(producer, "pause-tube default 3") == "PAUSED\r\n");
    CHECK(hall.ask(producer, "pause-tube nowhere 3") == "NOT_FOUND\r\n");
    hall.ask(producer, put("x"));
    hall.pass(2 * kSecond);
    CHECK(hall.said[worker].empty());
    hall.pass(kSecond + 1'000);
    CHECK(hall.said[worker].starts_with("RESERVED"));
}

TEST_CASE("reserve-job goes through the balancer, and a job that is not assigned keeps its state") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId producer = hall.connect(), worker = hall.connect(), other = hall.connect();
    const auto first = std::to_string(TubeFixture::number(hall.ask(producer, put("first"))));
    const auto second = std::to_string(TubeFixture::number(hall.ask(producer, put("second"))));
    const auto late = std::to_string(TubeFixture::number(hall.ask(producer, put("late", "1 600 5"))));
    CHECK(hall.ask(worker, "reserve-job " + second).find("second") != std::string::npos);
    CHECK(hall.ask(other, "reserve-job " + second) == "NOT_FOUND\r\n");
    CHECK(hall.ask(worker, "reserve-job 999") == "NOT_FOUND\r\n");
    CHECK(hall.ask(other, "reserve-job " + late).find("late") != std::string::npos);
    CHECK(hall.ask(other, "reserve").find("first") != std::string::npos);
    // A worker that an operator drains gets no job, not even by its id.
    CHECK(hall.ask(worker, "release " + second + " 1 0") == "RELEASED\r\n");
    for (const auto& [id, entry] : hall.entries) hall.state_of(id, RunnerState::draining);
    hall.ask(worker, "reserve-job " + second);
    hall.pass(2 * kSecond);
    CHECK(hall.said[worker] == "NOT_FOUND\r\n");
    CHECK(hall.state(std::stoull(second)) == "ready");
    CHECK(hall.state(std::stoull(first)) == "reserved");
}

// ---- drains, bounds ----

TEST_CASE("during a drain put is refused, reserved jobs can end normally, and queued jobs are kept") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), worker = hall.connect();
    const auto job_a = std::to_string(TubeFixture::number(hall.ask(producer, put("a", "1 0 60"))));
    const auto job_b = TubeFixture::number(hall.ask(producer, put("b", "1 0 60")));
    hall.ask(worker, "reserve");
    hall.exchange.set_rejects_puts(true);
    CHECK(hall.ask(producer, put("c")) == "DRAINING\r\n");
    CHECK(hall.ask(producer, "put 1 0 60 1\r\nd\r\nlist-tube-used") == "DRAINING\r\nUSING default\r\n");
    hall.exchange.set_dispatches_jobs(false);
    CHECK(hall.ask(worker, "bury " + job_a + " 5") == "BURIED\r\n");
    hall.ask(worker, "reserve");
    hall.pass(kSecond);
    CHECK(hall.said[worker].empty());
    CHECK(hall.state(job_b) == "ready");
    CHECK(hall.state(std::stoull(job_a)) == "buried");
    // The drain deadline affects no queued job. After the drain is cancelled, the next job goes to the worker
    // that has been waiting in its reserve.
    hall.balancer.apply(hall.now, DrainDeadline{});
    hall.settle();
    hall.exchange.set_dispatches_jobs(true);
    hall.exchange.set_rejects_puts(false);
    hall.settle();
    hall.pass(kSecond);
    CHECK(hall.said[worker].find("b") != std::string::npos);
    CHECK(hall.runs["b"] == 1);
    CHECK(hall.answers_twice == 0);
}

TEST_CASE("at the drain deadline a reserved job ends in one state, and later commands are refused") {
    for (const bool is_idempotent : {true, false}) {
        TubeFixture hall(TubeFixture::trade(is_idempotent ? "idempotent" : "side-effecting"));
        const SessionId worker = hall.connect();
        const auto job = TubeFixture::number(hall.ask(worker, put("x", "1 0 60")));
        hall.ask(worker, "reserve");
        hall.exchange.set_dispatches_jobs(false);
        hall.balancer.apply(hall.now, DrainDeadline{});
        hall.settle();
        CHECK(hall.exchange.tasks_in_flight() == 0);
        CHECK(hall.ask(worker, "bury " + std::to_string(job) + " 1") == "NOT_FOUND\r\n");
        hall.pass(2 * kSecond);
        CHECK(hall.state(job) == (is_idempotent ? "ready" : "buried"));
        CHECK(hall.runs["x"] == 1);
    }
}

TEST_CASE("the limits on jobs, bytes and tubes hold, and the workload of a removed tube is reused") {
    BrokerSettings trade = TubeFixture::trade("idempotent");
    trade.queue_limits.max_jobs = 3, trade.queue_limits.max_bytes = 2'000;
    trade.max_other_tubes = 2;
    TubeFixture hall(trade);
    const SessionId worker = hall.connect();
    for (int i = 0; i < 3; ++i) CHECK(hall.ask(worker, put("x")).starts_with("INSERTED"));
    CHECK(hall.ask(worker, put("x")) == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(worker, "delete 1") == "DELETED\r\n");
    CHECK(hall.ask(worker, put(std::string(1'500, 'b'))) == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(worker, put("x")).starts_with("INSERTED"));
    CHECK(hall.ask(worker, "watch a") == "WATCHING 2\r\n");
    CHECK(hall.ask(worker, "watch b") == "WATCHING 3\r\n");
    CHECK(hall.ask(worker, "watch c") == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(worker, "use c") == "OUT_OF_MEMORY\r\n");
    CHECK(hall.ask(worker, "ignore b") == "WATCHING 2\r\n");
    CHECK(hall.ask(worker, "use c") == "USING c\r\n");
    for (int i = 0; i < 100; ++i) {
        CHECK(hall.ask(worker, "use default") == "USING default\r\n");
        CHECK(hall.ask(worker, "use t" + std::to_string(i)).starts_with("USING"));
    }
    CHECK(hall.ask(worker, "ignore a") == "WATCHING 1\r\n");
    CHECK(hall.ask(worker, "ignore default") == "NOT_IGNORED\r\n");
}

TEST_CASE("slow start limits a cold worker's share of the jobs, as for any runner") {
    for (const bool cold : {true, false}) {
        TubeFixture hall(TubeFixture::trade("idempotent", cold));
        const SessionId producer = hall.connect(), worker = hall.connect();
        int got = 0;
        hall.ask(worker, "reserve");
        for (int i = 0; i < 200; ++i) {
            hall.ask(producer, put("x"));
            hall.pass(1'000);
            if (!hall.said[worker].starts_with("RESERVED")) continue;
            ++got;
            hall.ask(worker, "delete " + std::to_string(TubeFixture::number(hall.said[worker])));
            hall.ask(worker, "reserve");
        }
        CHECK((got < 200) == cold);
        Micros waited = 0;
        for (; waited < 60 * kSecond && !hall.said[worker].starts_with("RESERVED") && cold; waited += 10'000)
            hall.pass(10'000);
        MESSAGE((cold ? "cold: " : "warm: "), got, " of 200 within 0.2 s; the next after ", waited / 1000,
                " ms");
    }
}

// ---- random and complete command sequences ----

TEST_CASE("random commands: no side-effecting job runs twice without an operator, and no job is lost") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::ranlux24_base random(static_cast<std::uint32_t>(seed));
        const auto random_below = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
        const bool is_idempotent = seed % 2 == 0;
        TubeFixture hall(TubeFixture::trade(is_idempotent ? "idempotent" : "side-effecting", seed % 3 == 0),
                         seed);
        std::vector<SessionId> sessions;
        std::map<std::string, std::uint64_t> put_jobs;  // by body
        std::map<SessionId, std::vector<std::uint64_t>> held;
        std::set<std::string> deleted;
        std::map<std::string, int> releases;
        std::map<std::uint64_t, std::string> body_of;
        const auto waits = [&](SessionId session) { return hall.exchange.is_waiting(session); };
        const auto collect_reserved = [&] {
            for (const SessionId session : sessions) {
                std::string& reply = hall.said[session];
                if (!reply.starts_with("RESERVED ")) continue;
                held[session].push_back(TubeFixture::number(reply));
                reply.clear();
            }
        };
        for (int step = 0; step < 1'500; ++step) {
            collect_reserved();
            if (sessions.size() < 3 || (sessions.size() < 12 && random_below(10) == 0))
                sessions.push_back(hall.connect());
            const SessionId session = sessions[random_below(static_cast<unsigned>(sessions.size()))];
            const unsigned action = random_below(16);
            if (action == 0) {
                hall.pass(static_cast<Micros>(random_below(3'000'000)));
            } else if (action == 1 && random_below(4) == 0) {
                held.erase(session);
                hall.hang_up(session);
                std::erase(sessions, session);
            } else if (waits(session)) {
                hall.pass(random_below(5'000));
            } else if (action < 7) {
                const std::string body = "j" + std::to_string(step);
                // Drawn in separate statements, since the evaluation order of operands is unspecified.
                const std::string run_s = std::to_string(1 + random_below(4));
                const std::string delay_s = random_below(5) ? "0" : "2";
                const std::string priority = std::to_string(random_below(9));
                const auto id =
                    TubeFixture::number(hall.ask(session, put(body, priority + " " + delay_s + " " + run_s)));
                if (id > 0) put_jobs[body] = id, body_of[id] = body;
            } else if (action < 11) {
                hall.ask(session, "reserve-with-timeout " + std::to_string(random_below(4)));
            } else if (!held[session].empty()) {
                const std::uint64_t id = held[session].back();
                const std::string number = std::to_string(id);
                if (action == 11) {
                    hall.ask(session, "touch " + number);
                    continue;
                }
                held[session].pop_back();
                if (action == 12)
                    releases[body_of[id]] +=
                        hall.ask(session, "release " + number + " 1 " + std::to_string(random_below(2))) ==
                        "RELEASED\r\n";
                else if (action == 13)
                    hall.ask(session, "bury " + number + " 1");
                else if (hall.ask(session, "delete " + number) == "DELETED\r\n")
                    deleted.insert(body_of[id]);
            }
        }
        for (const SessionId session : sessions) hall.hang_up(session);
        hall.pass(10 * kSecond);
        CHECK(hall.exchange.tasks_in_flight() == 0);
        for (const auto& [body, id] : put_jobs) {
            // Exactly one final state: deleted or finished, or still present in one state.
            const std::string state = hall.state(id);
            CHECK_MESSAGE((state == "none") == deleted.contains(body), "seed ", seed, ", ", body, " is ",
                          state);
            if (state != "none")
                CHECK_MESSAGE((state == "ready" || state == "buried" || state == "delayed"), "seed ", seed,
                              ", ", body, " is ", state);
            if (!is_idempotent)
                CHECK_MESSAGE(hall.runs[body] <= 1 + releases[body], "seed ", seed, ", ", body, " ran ",
                              hall.runs[body], " times");
        }
        CHECK(hall.answers_twice == 0);
        CHECK(hall.answers_late == 0);
        CHECK(put_jobs.size() > 200);
    }
}

TEST_CASE("every command and every error reply matches the protocol's description") {
    TubeFixture hall(TubeFixture::trade("idempotent"));
    const SessionId client = hall.connect();
    const auto check_reply = [&](const std::string& command, const std::string& reply) {
        CHECK_MESSAGE(hall.ask(client, command) == reply, command);
    };
    const auto check_yaml = [&](const std::string& command, const std::string& part) {
        const std::string got = hall.ask(client, command);
        REQUIRE(got.starts_with("OK "));
        const auto end = got.find("\r\n");
        CHECK(std::stoul(got.substr(3)) == got.size() - end - 4);
        CHECK(got.substr(end + 2).starts_with("---\n"));
        CHECK_MESSAGE(got.find(part) != std::string::npos, command, ": ", got);
    };
    check_reply("use paint", "USING paint\r\n");
    check_reply("list-tube-used", "USING paint\r\n");
    check_reply("watch paint", "WATCHING 2\r\n");
    check_reply("watch paint", "WATCHING 2\r\n");
    check_reply("ignore default", "WATCHING 1\r\n");
    check_reply("ignore paint", "NOT_IGNORED\r\n");
    check_yaml("list-tubes", "\n- default\n- paint\n");
    check_yaml("list-tubes-watched", "---\n- paint\n");
    check_reply("peek-ready", "NOT_FOUND\r\n");
    check_reply("peek-delayed", "NOT_FOUND\r\n");
    check_reply("peek-buried", "NOT_FOUND\r\n");
    check_reply("put 9 0 60 2\r\nhi", "INSERTED 1\r\n");
    check_reply("put 2000 30 60 2\r\nyo", "INSERTED 2\r\n");
    check_reply("put 1 0 60 2\r\nhi!", "EXPECTED_CRLF\r\n");
    check_reply("put 1 0 60 70000\r\n" + std::string(70'000, 'x'), "JOB_TOO_BIG\r\n");
    check_reply("put 1 0 60", "BAD_FORMAT\r\n");
    check_reply("paint", "UNKNOWN_COMMAND\r\n");
    check_reply("peek 1", "FOUND 1 2\r\nhi\r\n");
    check_reply("peek 3", "NOT_FOUND\r\n");
    check_reply("peek-ready", "FOUND 1 2\r\nhi\r\n");
    check_reply("peek-delayed", "FOUND 2 2\r\nyo\r\n");
    check_yaml(
        "stats-tube paint",
        "current-jobs-urgent: 1\ncurrent-jobs-ready: 1\ncurrent-jobs-reserved: 0\ncurrent-jobs-delayed: "
        "1\ncurrent-jobs-buried: 0\ntotal-jobs: 2\n");
    check_reply("stats-tube none", "NOT_FOUND\r\n");
    check_reply("reserve", "RESERVED 1 2\r\nhi\r\n");
    check_yaml("stats-job 1",
               "id: 1\ntube: \"paint\"\nstate: reserved\npri: 9\nage: 0\ndelay: 0\nttr: 60\ntime-left: 60\n");
    check_reply("stats-job 3", "NOT_FOUND\r\n");
    check_reply("touch 1", "TOUCHED\r\n");
    check_reply("touch 2", "NOT_FOUND\r\n");
    check_reply("release 1 4 0", "RELEASED\r\n");
    check_reply("release 1 4 0", "NOT_FOUND\r\n");
    check_reply("reserve-job 1", "RESERVED 1 2\r\nhi\r\n");
    check_reply("bury 1 5", "BURIED\r\n");
    check_reply("bury 1 5", "NOT_FOUND\r\n");
    check_reply("peek-buried", "FOUND 1 2\r\nhi\r\n");
    check_yaml("stats-job 1", "reserves: 2\ntimeouts: 0\nreleases: 1\nburies: 1\nkicks: 0\n");
    check_reply("kick 5", "KICKED 1\r\n");
    check_reply("kick 5", "KICKED 1\r\n");  // no job is buried any more, so the delayed job is kicked
    check_reply("kick-job 1", "NOT_FOUND\r\n");
    check_reply("delete 1", "DELETED\r\n");
    check_reply("delete 1", "NOT_FOUND\r\n");
    check_reply("pause-tube paint 1", "PAUSED\r\n");
    check_reply("pause-tube none 1", "NOT_FOUND\r\n");
    hall.ask(client, "reserve-with-timeout 0");
    hall.pass(20'000);
    CHECK(hall.said[client] == "TIMED_OUT\r\n");
    hall.pass(kSecond);
    check_reply("reserve-with-timeout 0", "RESERVED 2 2\r\nyo\r\n");
    check_reply("bury 2 1", "BURIED\r\n");
    check_reply("kick-job 2", "KICKED\r\n");
    check_yaml("stats", "current-jobs-ready: 1\n");
    check_yaml("stats", "cmd-put: 2\n");
    hall.ask(client, "quit");
    CHECK(hall.exchange.session_count() == 0);
}

TEST_CASE("a worker that reconnects while its old connection is silent does not get the job a second time") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), old_worker = hall.connect();
    const auto job = std::to_string(TubeFixture::number(hall.ask(producer, put("view", "1 0 3"))));
    hall.ask(old_worker, "reserve");
    const SessionId new_worker = hall.connect();
    hall.ask(new_worker, "reserve-with-timeout 1");
    CHECK(hall.ask(producer, "delete " + job) == "NOT_FOUND\r\n");
    hall.pass(2 * kSecond);
    CHECK(hall.ask(new_worker, "delete " + job) == "NOT_FOUND\r\n");
    CHECK(hall.ask(new_worker, "reserve-job " + job) == "NOT_FOUND\r\n");
    hall.pass(10 * kSecond);
    CHECK(hall.runs["view"] == 1);
    CHECK(hall.state(std::stoull(job)) == "buried");
}

TEST_CASE("a silent worker that an operator drains: its job ends at the deadline, and it gets no other job") {
    TubeFixture hall(TubeFixture::trade("side-effecting"));
    const SessionId producer = hall.connect(), worker = hall.connect();
    const auto job = TubeFixture::number(hall.ask(producer, put("a", "1 0 3")));
    hall.ask(worker, "reserve");
    for (const auto& [id, entry] : hall.entries) hall.state_of(id, RunnerState::draining);
    hall.ask(producer, put("b"));
    hall.ask(worker, "reserve");
    hall.pass(10 * kSecond);
    CHECK(hall.state(job) == "buried");
    CHECK(hall.said[worker] == "DEADLINE_SOON\r\n");
    hall.ask(worker, "reserve");
    hall.pass(10 * kSecond);
    CHECK(hall.runs["b"] == 0);
    for (const auto& [id, entry] : hall.entries) hall.state_of(id, RunnerState::ready);
    hall.pass(kSecond);
    CHECK(hall.runs["b"] == 1);
}
