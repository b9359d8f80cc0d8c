// The command line of the rehearsal.
#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

#include <unistd.h>

#include "ceiling/ceiling.hpp"
#include "ceiling/keeping.hpp"
#include "day/day.hpp"
#include "results/report.hpp"
#include "toml/toml_reader.hpp"
#include "sockets/lane.hpp"
#include "tubes/tube_benchmark.hpp"
#include "tubes/mixed_rehearsal.hpp"
#include "virtual/cost.hpp"
#include "virtual/world.hpp"

namespace options = boost::program_options;
namespace files = std::filesystem;
using namespace gannethold;
using namespace gannethold::rehearsal;

namespace {

constexpr int kGood = 0, kBad = 1, kUsage = 2, kVoid = 3, kInterrupted = 130;

volatile std::sig_atomic_t interrupted = 0;

struct Wishes {
    std::string command, lane = "virtual", out, program, listen = "127.0.0.1:5000", keepsake;
    std::vector<std::string> words, policies;
    std::size_t seeds = 0;
    std::uint64_t seed = 0;
};

std::string days_folder() {
    return files::is_directory("rehearsal/days") ? "rehearsal/days" : REHEARSAL_DAYS;
}

Day find_day(const std::string& named) {
    if (files::exists(named)) return read_day_file(named);
    const std::string shipped = days_folder() + "/" + named + ".toml";
    if (files::exists(shipped)) return read_day_file(shipped);
    std::vector<std::string> names;
    for (const auto& entry : files::directory_iterator(days_folder()))
        names.push_back(entry.path().stem().string());
    const std::string near = toml::closest_name(named, names);
    throw options::error("there is no day " + named + (near.empty() ? "" : "; did you mean " + near + "?") +
                         " (gannethold_rehearse list shows them)");
}

std::string beside_us(const char* name) {
    return files::read_symlink("/proc/self/exe").parent_path().string() + "/" + name;
}

// One line that is written over, on a terminal only.
class Progress {
  public:
    Progress(const Day& day, std::uint64_t seed) : day_(day), seed_(seed), shown_(isatty(STDERR_FILENO)) {}
    ~Progress() {
        if (shown_) std::cerr << "\r\033[K" << std::flush;
    }
    bool operator()(Micros now) {
        if (shown_ && now / 500'000 != last_) {
            last_ = now / 500'000;
            std::cerr << "\r\033[K" << day_.name << ", seed " << seed_ << ": second "
                      << std::min(now, day_.length) / 1'000'000 << " of " << day_.length / 1'000'000
                      << std::flush;
        }
        return interrupted != 0;
    }

  private:
    const Day& day_;
    const std::uint64_t seed_;
    const bool shown_;
    Micros last_ = -1;
};

void write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
    if (!file.flush()) throw std::runtime_error("cannot write " + path);
}

int verdict(const std::vector<Result>& results) {
    if (interrupted) return kInterrupted;
    const auto any = [&](auto is) { return std::any_of(results.begin(), results.end(), is); };
    if (any([](const Result& r) { return !r.rules_held(); })) return kBad;
    if (any([](const Result& r) { return !r.void_because.empty(); })) return kVoid;
    return any([](const Result& r) { return !r.good(); }) ? kBad : kGood;
}

std::string work_folder() {
    const auto root = files::temp_directory_path() / ("gannethold-rehearsal-" + std::to_string(getpid()));
    return root.string();
}

// A folder for what is needed only while it plays.
struct Workplace {
    std::string path = work_folder();
    ~Workplace() {
        std::error_code ignored;
        files::remove_all(path, ignored);
    }
};

Result play_one(const Day& day, const Wishes& wishes, std::uint64_t seed, const std::string& policy,
                const std::string& folder) {
    Progress progress(day, seed);
    const auto stop = [&](Micros now) { return progress(now); };
    if (wishes.lane == "virtual") return play_virtual(day, seed, policy, stop);
    return play_on_sockets(day, seed,
                           {wishes.program.empty() ? beside_us("gannethold") : wishes.program, folder, stop});
}

Day with_keepsake(Day day, const std::string& how) {
    if (how != "" && how != "on" && how != "off" && how != "poisoned")
        throw options::error("--keepsake is on, off or poisoned, not " + how);
    if (!how.empty()) day.dispatchers.keepsake = how != "off", day.dispatchers.poisoned = how == "poisoned";
    return day;
}

int run(const Wishes& wishes) {
    if (wishes.words.empty()) throw options::error("run needs a day");
    if (wishes.lane != "virtual" && wishes.lane != "sockets")
        throw options::error("no such lane: " + wishes.lane);
    std::vector<std::string> policies =
        wishes.policies.empty() ? std::vector<std::string>{"own"} : wishes.policies;
    if (policies == std::vector<std::string>{"all"}) policies = policy_names();
    for (const std::string& p : policies)
        if (std::find(policy_names().begin(), policy_names().end(), p) == policy_names().end())
            throw options::error("no such policy: " + p);
    if (wishes.lane == "sockets" && policies != std::vector<std::string>{"own"})
        throw options::error("baselines play in virtual time only; on sockets it is the real dispatcher");
    std::vector<Day> days;
    for (const std::string& name : wishes.words)
        days.push_back(with_keepsake(find_day(name), wishes.keepsake));
    if (!wishes.out.empty()) files::create_directories(wishes.out);
    const Workplace workplace;
    std::vector<Result> results;
    for (const Day& day : days) {
        if (!day.plays_on(wishes.lane))
            throw options::error("the day " + day.name + " is not for the lane " + wishes.lane);
        std::vector<std::uint64_t> seeds = day.seeds;
        if (wishes.seed > 0) seeds = {wishes.seed};
        if (wishes.seeds > 0) seeds.resize(std::min(seeds.size(), wishes.seeds));
        for (std::uint64_t next = 1; seeds.size() < wishes.seeds; ++next)
            if (std::find(seeds.begin(), seeds.end(), next) == seeds.end()) seeds.push_back(next);
        for (const std::string& policy : policies) {
            for (const std::uint64_t seed : seeds) {
                if (interrupted) break;
                results.push_back(play_one(day, wishes, seed, policy, workplace.path));
                const Result& r = results.back();
                if (!wishes.out.empty())
                    write_file(wishes.out + "/" + day.name + "-" + r.lane + "-" + policy + "-" +
                                   std::to_string(seed) + ".json",
                               to_json(r, r.lane == "sockets"));
            }
        }
    }
    write_table(std::cout, results);
    for (const Result& r : results) write_stories(std::cout, r);
    if (!wishes.out.empty()) {
        write_file(wishes.out + "/report.html", to_html(results));
        std::cout << "written: " << wishes.out << "/report.html and one .json a run\n";
    }
    return verdict(results);
}

int report(const Wishes& wishes) {
    if (wishes.words.size() != 1) throw options::error("report needs the folder of a run");
    const std::vector<Result> results = read_folder(wishes.words[0]);
    if (results.empty()) throw std::runtime_error("no results in " + wishes.words[0]);
    write_table(std::cout, results);
    write_file(wishes.words[0] + "/report.html", to_html(results));
    return kGood;
}

int compare(const Wishes& wishes) {
    if (wishes.words.size() != 2) throw options::error("compare needs the folders of two runs");
    const bool differ =
        write_comparison(std::cout, read_folder(wishes.words[0]), read_folder(wishes.words[1]));
    std::cout << (differ ? "they differ\n" : "no difference beyond noise\n");
    return kGood;
}

int list() {
    std::vector<Day> days;
    for (const auto& entry : files::directory_iterator(days_folder()))
        if (entry.path().extension() == ".toml") days.push_back(read_day_file(entry.path().string()));
    std::sort(days.begin(), days.end(), [](const Day& a, const Day& b) { return a.name < b.name; });
    for (const Day& d : days)
        std::cout << std::left << std::setw(18) << d.name << std::right << std::setw(5) << d.runners.size()
                  << " runners " << std::setw(4) << d.dispatchers.count << " dispatchers " << std::setw(4)
                  << d.length / 1'000'000 << " s  " << d.what << '\n';
    return kGood;
}

int check(const Wishes& wishes) {
    if (wishes.words.empty()) throw options::error("check needs a day");
    for (const std::string& name : wishes.words) {
        const Day day = find_day(name);
        std::cout << day.source << " can be played: " << day.runners.size() << " runners, "
                  << day.dispatchers.count << " dispatchers, " << day.faults.size() << " faults, "
                  << day.clients.rate << " calls a second of at most " << day.tasks_a_second_at_most()
                  << " that the fleet can do\n";
    }
    return kGood;
}

int try_it(const Wishes& wishes) {
    Wishes first = wishes;
    first.lane = "sockets";
    first.words = {"first-try"};
    std::cout << "Playing four runners and one dispatcher for ten seconds; a runner crashes in the fourth "
                 "and is back in the sixth.\n";
    const int how = run(first);
    if (how == kGood) std::cout << "Served as the table says, and all four rules were kept.\n";
    return how;
}

int hold(const Wishes& wishes) {
    const Day day = find_day(wishes.words.empty() ? "first-try" : wishes.words[0]);
    if (day.dispatchers.count != 1) throw options::error("hold needs a day with one dispatcher");
    const Workplace workplace;
    std::cout << "One dispatcher on " << wishes.listen << " before " << day.runners.size()
              << " runners. Ctrl-C ends it. Try:\n  curl -d scene -H "
              << "'X-Request-ID: 1' -H 'X-Timeout: 5000m' http://" << wishes.listen << "/"
              << day.workloads.front().name << "/7\n"
              << std::flush;
    hold_open(day, wishes.listen,
              {wishes.program.empty() ? beside_us("gannethold") : wishes.program, workplace.path,
               [](Micros) { return interrupted != 0; }});
    return kGood;
}

int cost() {
    std::cout << " runners     held   arrival us       end us    period us\n"
              << std::fixed << std::setprecision(2);
    const auto one = [](std::size_t runners, std::size_t held) {
        const DecisionCost c = measure_decision(runners, held, 1);
        std::cout << std::setw(8) << c.runners << std::setw(9) << c.held << std::setw(13) << c.arrival_us
                  << std::setw(13) << c.end_us << std::setw(13) << c.period_us << '\n'
                  << std::flush;
    };
    for (const std::size_t runners : {10, 100, 1'000, 10'000}) one(runners, 0);
    for (const std::size_t held : {10, 100, 1'000, 10'000, 100'000}) one(100, held);
    return kGood;
}

int keep(const Wishes& wishes) {
    const int kills = wishes.words.empty() ? 500 : std::atoi(wishes.words[0].c_str());
    const Workplace workplace;
    files::create_directories(workplace.path);
    std::cout << std::fixed << std::setprecision(2)
              << " runners     file MB   told ms  longest turn us  start ms  start with 50 left ms\n";
    for (const std::size_t runners : {100, 1'000, 10'000}) {
        const KeepingFigures f = measure_keeping(workplace.path, runners, 50);
        std::cout << std::setw(8) << runners << std::setw(12) << f.file_mb << std::setw(10) << f.took_ms
                  << std::setw(17) << f.longest_turn_us << std::setw(10) << f.start_ms << std::setw(23)
                  << f.start_with_few_ms << '\n'
                  << std::flush;
    }
    const KillFigures k = kill_in_writes(workplace.path, kills, [] { return interrupted != 0; });
    std::cout << k.kills << " kills, " << k.in_write << " of them in the middle of a write: " << k.whole
              << " times a whole generation was read, " << k.none << " times none, " << k.torn
              << " times anything else\n";
    return k.torn == 0 ? kGood : kBad;
}

int tubes(const Wishes& wishes) {
    const Workplace workplace;
    files::create_directories(workplace.path);
    const std::string program = wishes.program.empty() ? beside_us("gannethold") : wishes.program;
    std::cout << std::fixed << std::setprecision(1)
              << "  conns   rounds/s   cpu us   p50 us   p99 us  p99.9 us    MB\n";
    for (const std::size_t connections : {1, 16, 256}) {
        if (interrupted) return kInterrupted;
        const TubeFigures f = measure_tubes(connections, 4'000'000, program, workplace.path);
        std::cout << std::setw(7) << f.connections << std::setw(11) << f.rounds_per_second << std::setw(9)
                  << f.cpu_us_per_round << std::setw(9) << f.p50 << std::setw(9) << f.p99 << std::setw(10)
                  << f.p999 << std::setw(6) << f.memory_mb << '\n'
                  << std::flush;
    }
    std::cout << "   jobs waiting   bytes a job   put us   due us a job   longest turn us\n";
    for (const std::size_t jobs : {100'000, 1'000'000}) {
        const QueueFigures q = measure_queue(jobs);
        std::cout << std::setw(15) << q.jobs << std::setw(14) << q.bytes_per_job << std::setprecision(2)
                  << std::setw(9) << q.put_us << std::setw(15) << q.due_us << std::setprecision(1)
                  << std::setw(18) << q.max_turn_us << '\n'
                  << std::flush;
    }
    return kGood;
}

int mixed(const Wishes& wishes) {
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t s = 1; s <= std::max<std::size_t>(1, wishes.seeds); ++s)
        seeds.push_back(wishes.seed > 0 ? wishes.seed : s);
    bool good = true;
    std::cout << "  seed  put  refused   done buried  left  hands  back  late  crashes hangs breaks   tasks  "
                 " 200   503   502  by workers  broken\n";
    for (const std::uint64_t seed : seeds) {
        const Workplace workplace;
        files::create_directories(workplace.path);
        MixedPlan plan;
        plan.seed = seed;
        const MixedResult r =
            run_mixed_rehearsal(plan, wishes.program.empty() ? beside_us("gannethold") : wishes.program,
                                workplace.path, [] { return interrupted != 0; });
        std::cout << std::setw(6) << seed << std::setw(5) << r.put << std::setw(9) << r.put_refused
                  << std::setw(7) << r.jobs_done << std::setw(7) << r.jobs_buried << std::setw(6)
                  << r.jobs_left << std::setw(7) << r.jobs_reserved << std::setw(6) << r.jobs_released
                  << std::setw(6) << r.late_commands << std::setw(9) << r.worker_crashes << std::setw(6)
                  << r.worker_hangs << std::setw(7) << r.runner_breaks << std::setw(8) << r.tasks
                  << std::setw(6) << r.answered[0] << std::setw(6) << r.answered[1] << std::setw(6)
                  << r.answered[2] << std::setw(12) << r.tasks_by_workers << std::setw(8)
                  << r.violations.size() << '\n'
                  << std::flush;
        for (const std::string& b : r.violations) std::cout << "    " << b << '\n';
        if (!r.error.empty()) std::cout << "    no verdict: " << r.error << '\n';
        good = good && r.violations.empty() && r.error.empty();
        if (interrupted) return kInterrupted;
    }
    return good ? kGood : kBad;
}

int ceiling(const Wishes& wishes) {
    const Workplace workplace;
    const std::string program = wishes.program.empty() ? beside_us("gannethold") : wishes.program;
    std::cout << "runners  conns  work ms reports    tasks/s  direct/s  cpu us   MB    p50 us    p99 us  "
                 "p99.9 us   added p50       p99     p99.9  "
                 "bounced   failed\n"
              << std::fixed;
    const auto one = [&](std::size_t runners, std::size_t connections, Micros work, bool reports) {
        if (interrupted) return;
        CeilingPlan plan;
        plan.runners = runners, plan.connections = connections, plan.work = work, plan.reports = reports;
        const CeilingFigures f = measure_ceiling(plan, program, workplace.path);
        std::cout << std::setw(7) << runners << std::setw(7) << connections << std::setprecision(1)
                  << std::setw(9) << static_cast<double>(work) / 1e3 << std::setw(8)
                  << (reports ? "yes" : "no") << std::setprecision(0) << std::setw(11) << f.tasks_a_second
                  << std::setw(10) << f.direct_a_second << std::setprecision(1) << std::setw(8)
                  << f.cpu_us_a_task << std::setw(5) << f.memory_mb << std::setw(10) << f.p50 << std::setw(10)
                  << f.p99 << std::setw(10) << f.p999 << std::setw(12) << f.p50 - f.direct_p50
                  << std::setw(10) << f.p99 - f.direct_p99 << std::setw(10) << f.p999 - f.direct_p999
                  << std::setw(9) << f.bounced << std::setw(9) << f.failed << '\n'
                  << std::flush;
    };
    const auto asked = [&](const char* word) {
        return std::find(wishes.words.begin(), wishes.words.end(), word) != wishes.words.end();
    };
    const bool small = asked("small");
    for (const bool reports : {false, true}) {
        if (asked(reports ? "silent" : "reports")) continue;
        for (const std::size_t runners : {4, 100, 1'000})
            for (const std::size_t connections : {8, 64, 200, 1'000})
                if (!small || (runners == 4 && connections <= 200)) one(runners, connections, 0, reports);
        one(4, 64, 5'000, reports);
    }
    return interrupted ? kInterrupted : kGood;
}

}  // namespace

int main(int count, char** words) {
    Wishes wishes;
    options::options_description shown("Options");
    shown.add_options()("help,h", "say this")("lane", options::value(&wishes.lane),
                                              "virtual (default) or sockets")(
        "seeds", options::value(&wishes.seeds), "how many seeds to play (default: those of the day)")(
        "seed", options::value(&wishes.seed), "this seed only")(
        "policy", options::value(&wishes.policies)->composing(),
        "own (default), a baseline, or all; may stand several times")("out", options::value(&wishes.out),
                                                                      "a folder for results and report")(
        "program", options::value(&wishes.program),
        "the dispatcher (default: gannethold beside this program)")(
        "keepsake", options::value(&wishes.keepsake), "run: on, off or poisoned, whatever the day says")(
        "listen", options::value(&wishes.listen), "hold: where the dispatcher listens");
    options::options_description all;
    all.add(shown).add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description places;
    places.add("words", -1);
    const auto explain = [&](std::ostream& out) {
        out << "Usage: gannethold_rehearse COMMAND [options]\n\n"
               "  run DAY...    play days, and hold them against their goals and the four rules\n"
               "  try           a small day on sockets, to see it work\n"
               "  hold [DAY]    leave a dispatcher running before a small fleet\n"
               "  list          the days that come with it\n"
               "  check DAY...  read days and say whether they can be played\n"
               "  compare A B   two folders of results: what differs by more than noise\n"
               "  report DIR    table and report.html of a folder of results\n"
               "  ceiling       what one dispatcher can take at most, on sockets (ceiling small: four "
               "runners only;\n"
               "                ceiling reports, ceiling silent: only runners that report, or that do not)\n"
               "  keepsake [N]  what keeping 10,000 runners costs, and N kills in the middle of a write "
               "(500)\n"
               "  mixed         a day of both protocols on one dispatcher, with crashes, hangs and a drain "
               "(--seeds N)\n"
               "  tubes         what the front with tubes can take at most, and what a waiting job costs\n"
               "  cost          what one decision costs, by runners and by tasks held\n\n"
            << shown
            << "\nExit status: 0 goals and rules held, 1 not, 2 wrong use, 3 void (the stand-ins ran late), "
               "130 interrupted.\n";
    };
    const auto note = [](int) { interrupted = 1; };
    std::signal(SIGINT, note);
    std::signal(SIGTERM, note);
    try {
        options::variables_map given;
        options::store(options::command_line_parser(count, words).options(all).positional(places).run(),
                       given);
        options::notify(given);
        if (given.contains("help")) return explain(std::cout), kGood;
        if (given.contains("words")) wishes.words = given["words"].as<std::vector<std::string>>();
        if (wishes.words.empty()) throw options::error("no command given");
        wishes.command = wishes.words.front();
        wishes.words.erase(wishes.words.begin());
        if (wishes.command == "run") return run(wishes);
        if (wishes.command == "try") return try_it(wishes);
        if (wishes.command == "hold") return hold(wishes);
        if (wishes.command == "list") return list();
        if (wishes.command == "check") return check(wishes);
        if (wishes.command == "compare") return compare(wishes);
        if (wishes.command == "report") return report(wishes);
        if (wishes.command == "cost") return cost();
        if (wishes.command == "keepsake") return keep(wishes);
        if (wishes.command == "tubes") return tubes(wishes);
        if (wishes.command == "mixed") return mixed(wishes);
        if (wishes.command == "ceiling") return ceiling(wishes);
        throw options::error("no such command: " + wishes.command);
    } catch (const options::error& e) {
        std::cerr << "gannethold_rehearse: " << e.what() << "\n\n";
        explain(std::cerr);
        return kUsage;
    } catch (const toml::TomlError& e) {
        std::cerr << "gannethold_rehearse: " << e.what() << '\n';
        return kUsage;
    } catch (const std::exception& e) {
        std::cerr << "gannethold_rehearse: " << e.what() << '\n';
        return kBad;
    }
}
