// Plays the text files of scenarios/, each a test of its own, on simulated time. Words of a line:
//   cores N seeds N fronts N delay MS loss P workers N memory MB      the world, first
//   cores ... kbit N                      the same with uplinks of so many kbit/s
//   routes N                              so many routes to one service
//   ballast N                             so many characters that no coding shortens much
//   service NAME slots N boot MS memory MB aim MS timeout MS priority N [of NAME] [once]
//                                         in every configuration that is put; of: a further route to that
//                                         service
//   at S WORDS                                                        S seconds after the start; times never
//   fall
// What may happen, and be expected, stands in act() and look() below.
#define BOOST_TEST_NO_MAIN
#define BOOST_TEST_ALTERNATIVE_INIT_API
#include <boost/test/unit_test.hpp>
#include <boost/test/data/test_case.hpp>

#include <cmath>
#include <filesystem>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>
#include <stdexcept>

#include "cluster/base/settings.hpp"
#include "cluster/configuration/delta.hpp"
#include "cluster/wire/codec.hpp"
#include "world.hpp"

namespace gannethold::cluster::played {
namespace {

using Words = std::vector<std::string>;

// The fault that is planted in every scenario, named by the environment, to show that one finds it.
Sabotage planted() {
    const char* const name = std::getenv("GANNETHOLD_PLANTED_FAULT");
    if (!name) return Sabotage::none;
    if (name == std::string("resend_whole")) return Sabotage::resend_whole_entry;
    if (name == std::string("learner_votes")) return Sabotage::learner_votes_at_once;
    throw std::invalid_argument("no such fault: " + std::string(name));
}

Words words_of(const std::string& line) {
    Words words;
    std::istringstream in(line.substr(0, line.find('#')));
    for (std::string word; in >> word;) words.push_back(word);
    return words;
}

class Scenario {
  public:
    explicit Scenario(std::string path) : path_(std::move(path)) {}

    void play() {
        std::ifstream in(path_);
        BOOST_REQUIRE_MESSAGE(in, path_ + " can not be read");
        int number = 0;
        for (std::string line; std::getline(in, line);) {
            ++number;
            where_ = path_ + ":" + std::to_string(number) + ": " + line;
            BOOST_TEST_CONTEXT(where_) { take(line, words_of(line)); }
        }
        BOOST_TEST_CONTEXT(path_) {
            BOOST_TEST(checked_ > 0, "a scenario that expects nothing");
            if (world_)
                for (const std::string& b : world_->breaches) BOOST_TEST(false, b);
            if (world_ && planted() == Sabotage::none) check_digest();
        }
    }

  private:
    // What was put out is what an earlier text put out, so that a change that only renames or moves code is
    // seen to be no more than that. A new scenario's line is printed by the failure.
    void check_digest() const {
        const std::string name = std::filesystem::path(path_).stem().string();
        std::ostringstream digest;
        digest << std::hex << std::setw(16) << std::setfill('0') << world_->digest();
        std::ifstream file(SCENARIO_DIGESTS);
        std::string expected = "nothing";
        std::string known;
        for (std::string its; file >> known >> its;)
            if (known == name) expected = its;
        BOOST_TEST(digest.str() == expected, name + " " + digest.str() + ", and it was " + expected);
    }

    static double value(const Words& w, const std::string& key, double otherwise) {
        for (std::size_t i = 0; i + 1 < w.size(); ++i)
            if (w[i] == key) return std::stod(w[i + 1]);
        return otherwise;
    }

    void take(const std::string& line, const Words& w) {
        if (w.empty()) return;
        if (w[0] == "cores") {
            World::Shape s;
            s.cores = static_cast<std::size_t>(value(w, "cores", 3));
            s.seeds = static_cast<std::size_t>(
                value(w, "seeds", static_cast<double>(std::min<std::size_t>(3, s.cores))));
            s.fronts = static_cast<std::size_t>(value(w, "fronts", 0));
            s.delay = static_cast<Micros>(value(w, "delay", 1) * 1e3);
            s.loss = value(w, "loss", 0);
            s.bits_per_second = value(w, "kbit", 0) * 1e3;
            s.sabotage = planted();
            s.workers = static_cast<std::size_t>(value(w, "workers", 6));
            s.worker_mb = static_cast<std::int64_t>(value(w, "memory", 4096));
            s.seed = static_cast<std::uint64_t>(value(w, "seed", 1));
            world_ = std::make_unique<World>(s);
            world_->record_digest();
            start_ = world_->now();
        } else if (w[0] == "routes") {
            for (std::size_t n = 0; n < std::stoul(w.at(1)); ++n) {
                World::Made m;
                m.name = "route" + std::to_string(n);
                if (n > 0) m.of = "route0";
                world_->services.push_back(m);
            }
        } else if (w[0] == "ballast") {
            std::mt19937 random(1);
            for (std::size_t n = std::stoul(w.at(1)); n > 0; --n)
                world_->ballast += static_cast<char>('0' + random() % 75);
            std::replace(world_->ballast.begin(), world_->ballast.end(), '\\', '/');
        } else if (w[0] == "service") {
            World::Made m;
            m.name = w.at(1);
            m.slots = static_cast<std::uint32_t>(value(w, "slots", 1));
            m.boot_ms = static_cast<int>(value(w, "boot", 900));
            m.memory_mb = static_cast<int>(value(w, "memory", 128));
            m.latency_target_ms = static_cast<int>(value(w, "aim", 1500));
            m.timeout_ms = static_cast<int>(value(w, "timeout", 4000));
            m.priority = static_cast<int>(value(w, "priority", 1));
            for (std::size_t i = 0; i + 1 < w.size(); ++i)
                if (w[i] == "of") m.of = w[i + 1];
            m.idempotent = w.back() != "once";
            m.attempts = m.idempotent ? 2 : 1;
            world_->services.push_back(m);
        } else if (w[0] == "at") {
            world_->run(start_ + static_cast<Micros>(std::stod(w.at(1)) * 1e6));
            act(Words(w.begin() + 2, w.end()));
        } else if (w[0] == "configuration" || w[0] == "settings") {
            check_text(w[0] == "settings", w.at(1), line.substr(line.find(w[1]) + w[1].size()));
        } else {
            BOOST_FAIL("no such word: " + w[0]);
        }
    }

    std::size_t core(const std::string& word) {
        if (word == "leader") {
            const auto l = world_->leader();
            BOOST_REQUIRE_MESSAGE(l.has_value(), "no leader");
            return last_ = *l;
        }
        if (word == "last") return last_;
        if (word == "follower") {
            for (std::size_t i = 0; i < world_->cores(); ++i)
                if (world_->core_up(i) && world_->leader() != i) return last_ = i;
            BOOST_FAIL("no follower");
        }
        return last_ = std::stoul(word);
    }

    void act(const Words& w) {
        World& x = *world_;
        const std::string& verb = w.at(0);
        if (verb == "expect") return expect(w);
        if (verb == "tell") {  // how each core stands
            std::printf("%s\n", x.told().c_str());
            return;
        }
        if (verb == "kill" && w.at(1) == "all")
            for (std::size_t i = 0; i < x.cores(); ++i) x.kill_core(i);
        else if (verb == "kill" && w.at(1) == "front")
            x.kill_front(std::stoul(w.at(2)));
        else if (verb == "kill")
            x.kill_core(core(w.at(1)));
        else if (verb == "end" && w.at(1) == "front")
            x.end_front(std::stoul(w.at(2)), static_cast<Micros>(value(w, "grace", 6) * 1e6));
        else if (verb == "wipe")
            x.kill_core(core(w.at(1)), true);
        else if (verb == "crash")
            x.crash_in_write(core(w.at(1)));
        else if (verb == "start" && w.at(1) == "all")
            for (std::size_t i = 0; i < x.cores(); ++i) x.start_core(i);
        else if (verb == "start")
            x.start_core(core(w.at(1)));
        else if (verb == "add")
            last_ = x.add_core();
        else if (verb == "disk")
            x.disk(core(w.at(1)), w.at(2) == "works");
        else if (verb == "cut")
            cut(core(w.at(1)), w.size() > 2 && w[2] == "one-way");
        else if (verb == "hear")
            hear(core(w.at(1)));
        else if (verb == "heal")
            x.heal();
        else if (verb == "stall")
            x.stall_core(core(w.at(1)), static_cast<Micros>(std::stod(w.at(2)) * 1e6));
        else if (verb == "successor")
            last_ = x.add_successor(core(w.at(1)));
        else if (verb == "retire")
            x.retire_core(core(w.at(1)));
        else if (verb == "end")
            x.end_core(core(w.at(1)), w.back() == "good");  // "end 1 for good", else it is started again
        else if (verb == "get")
            x.get(core(w.at(1)));
        else if (verb == "register")
            x.register_front(core(w.at(1)));
        else if (verb == "reset")
            x.reset_link(core(w.at(1)), core(w.at(2)));
        else if (verb == "part" || verb == "part-one-way")
            x.cut(core(w.at(1)), core(w.at(2)), verb != "part");
        else if (verb == "leave")
            x.leave_core(core(w.at(1)));
        else if (verb == "put")
            x.put(std::stoull(w.at(1)), core(w.at(2)), w.size() > 3 ? w[3] : "");
        else if (verb == "front")
            x.cut_front(std::stoul(w.at(1)), w.at(2) == "off");
        else if (verb == "crash-worker")
            x.crash_worker(w.at(1));
        else if (verb == "drain-worker")
            x.drain_worker(w.at(1));
        else if (verb == "answers-lost")
            x.answers_lost(std::stod(w.at(1)));
        else if (verb == "platform-answers-lost")
            x.platform_answers_lost(std::stod(w.at(1)));
        else if (verb == "reuse-address")
            x.reuse_address(w.at(1));
        else if (verb == "load")
            load(w);
        else if (verb == "changes")
            changes(w);
        else
            BOOST_FAIL("no such deed: " + verb);
    }

    void cut(std::size_t i, bool one_way) {
        for (std::size_t other = 0; other < world_->cores(); ++other)
            if (other != i) world_->cut(i, other, one_way);
    }
    // It hears nobody, and all hear it.
    void hear(std::size_t i) {
        for (std::size_t other = 0; other < world_->cores(); ++other)
            if (other != i) world_->cut(other, i, true);
    }

    // load SERVICE rate R for S work MS deadline MS [front F]: else over all fronts in turn.
    void load(const Words& w) {
        const double rate = value(w, "rate", 10);
        const double span = value(w, "for", 1);
        const int work = static_cast<int>(value(w, "work", 60));
        const int deadline = static_cast<int>(value(w, "deadline", 4000));
        const int only = static_cast<int>(value(w, "front", -1));
        for (int n = 0; n < static_cast<int>(rate * span); ++n) {
            const auto front =
                static_cast<std::size_t>(only >= 0 ? only : n % static_cast<int>(value(w, "fronts", 2)));
            world_->at(world_->now() + static_cast<Micros>(n / rate * 1e6),
                       [this, front, service = w.at(1), work, deadline] {
                           world_->request(front, service, work, deadline);
                       });
        }
    }

    // changes COUNT every S from VERSION: each at the leader there is then; what is not acknowledged by the
    // time of the next goes missing.
    void changes(const Words& w) {
        const auto count = std::stoul(w.at(1));
        const double every = value(w, "every", 0.1);
        const auto first = static_cast<Number>(value(w, "from", 1));
        for (std::size_t n = 0; n < count; ++n)
            world_->at(world_->now() + static_cast<Micros>(static_cast<double>(n) * every * 1e6),
                       [this, version = first + n] {
                           if (const auto leader = world_->leader()) world_->put(version, *leader);
                       });
    }

    double look(const std::string& what) {
        World& x = *world_;
        const auto colon = what.find(':');
        const std::string name = what.substr(0, colon);
        const std::string arg = colon == std::string::npos ? "" : what.substr(colon + 1);
        if (name == "leaders") return static_cast<double>(x.leaders());
        if (name == "acknowledged") return static_cast<double>(x.acknowledged());
        if (name == "term") return static_cast<double>(x.term());
        if (name == "held") return static_cast<double>(x.held(core(arg)));
        if (name == "conflicts") return x.conflicts;
        if (name == "confirmations") return x.confirmations;
        if (name == "reads") return x.reads;
        if (name == "registrations") return x.registrations;
        if (name == "ends-after-grace") return x.ends_after_grace;
        if (name == "most-queued") return static_cast<double>(x.most_queued);
        if (name == "voters-live") return x.voters_live();
        if (name == "learners") return static_cast<double>(x.learners());
        if (name == "committed") return static_cast<double>(x.committed());
        if (name == "members") return static_cast<double>(x.members());
        if (name == "answered") return x.statuses[200];
        if (name == "refused") return x.statuses[503];
        if (name == "failed") return x.statuses[502] + x.statuses[504];
        if (name == "unrouted") return x.statuses[404];
        if (name == "late") return arg.empty() ? x.late : x.late_of[arg];
        if (name == "got") return x.answered_of[arg];
        if (name == "given-up") return x.refused_of[arg];
        if (name == "worst-ms") return static_cast<double>(x.worst_of[arg]) / 1e3;
        if (name == "starts") return x.starts;
        if (name == "stops") return x.stops;
        if (name == "ran") return x.ran;
        if (name == "unconnected") return x.unconnected;
        if (name == "turned-away") return x.rejected;
        if (name == "worst-refusal-ms") return static_cast<double>(x.refusal_worst_of[arg]) / 1e3;
        if (name == "free") return x.is_unrestricted(arg);
        if (name == "greetings") return static_cast<double>(x.greetings());
        if (name == "fence-refused") return x.fence_refused;
        if (name == "runners") return static_cast<double>(x.runners(arg));
        if (name == "recovering") return x.core_recovering(core(arg));
        if (name == "front-version") return static_cast<double>(x.front_version(std::stoul(arg)));
        if (name == "last-is-leader") return x.leader() == last_;
        BOOST_FAIL("nothing to look at: " + what);
        return 0;
    }

    // expect WHAT = N, or < or >
    void expect(const Words& w) {
        ++checked_;
        const double seen = look(w.at(1));
        const double wanted = std::stod(w.at(3));
        const std::string told = w[1] + " is " + std::to_string(seen);
        if (w.at(2) == "=")
            BOOST_TEST(seen == wanted, told);
        else if (w[2] == "<")
            BOOST_TEST(seen < wanted, told);
        else if (w[2] == ">")
            BOOST_TEST(seen > wanted, told);
        else
            BOOST_FAIL("no such comparison: " + w[2]);
    }

    // configuration KIND JSON; settings KIND a=b;c=d. ok: it is taken. The rest of the kind behind a colon
    // must stand in the detail.
    void check_text(bool settings, const std::string& kind, std::string text) {
        ++checked_;
        std::string got = "ok";
        std::string detail;
        if (settings)
            for (char& c : text)
                if (c == ';') c = '\n';
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                if (settings)
                    BOOST_LEAF_CHECK(Settings::parse(text));
                else
                    BOOST_LEAF_CHECK(Configuration::read(text));
                return {};
            },
            [&](ErrorCode k, const ErrorDetail& d) {
                got = error_response(k).name;
                detail = d.text;
            },
            [&] { got = "?"; });
        const auto colon = kind.find(':');
        BOOST_TEST(got == kind.substr(0, colon), got + " " + detail);
        if (colon != std::string::npos)
            BOOST_TEST(detail.find(kind.substr(colon + 1)) != std::string::npos, detail);
        if (!settings && got != "ok") {
            const int status = got == "configuration_cut"
                                   ? error_response(ErrorCode::configuration_cut).status
                                   : error_response(ErrorCode::configuration_invalid).status;
            BOOST_TEST((status >= 400 && status < 500));
        }
    }

    std::string path_, where_;
    std::unique_ptr<World> world_;
    Micros start_ = 0;
    std::size_t last_ = 0;
    int checked_ = 0;
};

// A request waits for a slot when its front is asked to end. With the fault planted, the front ends as if
// nothing were open: the check must see it.
BOOST_AUTO_TEST_CASE(a_front_that_ends_without_answers_is_found) {
    const auto breaches = [](Sabotage sabotage) {
        World::Shape shape;
        shape.fronts = 1;
        shape.workers = 1;
        shape.worker_mb = 128;
        shape.sabotage = sabotage;
        World world(shape);
        World::Made service;
        service.name = "a";
        service.latency_target_ms = 8000;
        service.timeout_ms = 10'000;
        service.idempotent = false;
        service.attempts = 1;
        world.services.push_back(service);
        const Micros start = world.now();
        world.run(start + 2'000'000);
        world.put(1, 0);
        for (std::size_t core = 1; core < world.cores(); ++core) world.put(1, core);
        world.run(start + 4'000'000);
        for (int n = 0; n < 3; ++n) world.request(0, "a", 4000, 10'000);
        world.run(start + 4'500'000);
        world.end_front(0, 6'000'000);
        world.run(start + 14'000'000);
        return world.breaches.size();
    };
    BOOST_TEST(breaches(Sabotage::none) == 0U);
    BOOST_TEST(breaches(Sabotage::end_without_answers) > 0U);
}

BOOST_AUTO_TEST_CASE(a_difference_gives_the_text_back_and_refuses_another_base) {
    std::string old_text = "{\"routes\":[";
    std::string new_text = old_text;
    for (int i = 0; i < 900; ++i) {
        old_text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"timeout_ms\":4000},";
        new_text += "{\"name\":\"r-" + std::to_string(i * 7919) +
                    "\",\"timeout_ms\":" + (i == 450 ? "100" : "4000") + "},";
    }
    const std::string delta = make_delta(old_text, new_text);
    BOOST_TEST(delta.size() < 150U);
    const auto got = [](std::string_view base, std::string_view bytes) {
        return leaf::try_handle_all([&] { return apply_delta(base, bytes); },
                                    [] { return std::string("refused"); });
    };
    BOOST_TEST(got(old_text, delta) == new_text);
    BOOST_TEST(got(new_text, delta) == "refused");
    BOOST_TEST(got({}, make_delta({}, new_text)) == new_text);
    for (std::size_t i = 0; i < delta.size(); ++i) {
        std::string broken = delta;
        broken[i] = static_cast<char>(broken[i] ^ 0x55);
        const std::string back = got(old_text, broken);
        BOOST_TEST((back == "refused" || back == new_text));
    }
}

BOOST_AUTO_TEST_CASE(messages_come_back_as_they_were_and_other_bytes_are_no_message) {
    const AcquireRequest ask{7, 3, "huvo11a", 300, 4000, 1, 5, true};
    std::string bytes = encode(ask, "10.0.0.1:80");
    const auto read = [](std::string_view packed) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<ReceivedMessage>> {
                BOOST_LEAF_AUTO(l, decode(packed));
                return std::optional(l);
            },
            [] { return std::optional<ReceivedMessage>(); });
    };
    const auto back = read(std::string_view{bytes}.substr(4));
    BOOST_REQUIRE(back.has_value());
    const auto* const same = std::get_if<AcquireRequest>(&back->message);
    BOOST_REQUIRE(same != nullptr);
    BOOST_TEST((same->service == ask.service && same->deadline_ms == ask.deadline_ms && same->again &&
                back->from == "10.0.0.1:80"));
    std::mt19937 random(5);
    for (int n = 0; n < 20'000; ++n) {
        std::string noise = bytes.substr(4);
        for (int flips = 0; flips < 3; ++flips) noise[random() % noise.size()] = static_cast<char>(random());
        read(noise);  // must not crash, whatever it makes of it
    }
    Frames frames;
    frames.add(std::string("\xff\xff\xff\xff", 4));
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(frames.next());
            return false;
        },
        [] { return true; });
    BOOST_TEST(refused);
}

std::vector<std::string> files() {
    std::vector<std::string> all;
    for (const auto& f : std::filesystem::directory_iterator(SCENARIOS))
        if (f.path().extension() == ".scenario") all.push_back(f.path().string());
    std::sort(all.begin(), all.end());
    return all;
}

bool init() {
    for (const std::string& path : files())
        boost::unit_test::framework::master_test_suite().add(boost::unit_test::make_test_case(
            [path] { Scenario(path).play(); }, std::filesystem::path(path).stem().string(), __FILE__,
            __LINE__));
    return true;
}

}  // namespace
}  // namespace gannethold::cluster::played

int main(int argc, char** argv) {
    return boost::unit_test::unit_test_main(&gannethold::cluster::played::init, argc, argv);
}
