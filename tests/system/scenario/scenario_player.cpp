#include "scenario_player.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string_view>

#include "actions.hpp"
#include "observations.hpp"
#include "text_checks.hpp"

namespace gannethold::cluster::simulation {

PlantedFault planted_fault_of_environment() {
    const char* const name = std::getenv("GANNETHOLD_PLANTED_FAULT");
    if (!name) return PlantedFault::none;
    const std::optional<PlantedFault> fault = parse_planted_fault(name);
    if (!fault) throw std::invalid_argument("no such fault: " + std::string(name));
    return *fault;
}

void ScenarioPlayer::play() {
    std::ifstream file(path_);
    BOOST_REQUIRE_MESSAGE(file, path_ + " can't be read");
    int number = 0;
    for (std::string text; std::getline(file, text);) {
        ++number;
        BOOST_TEST_CONTEXT(path_ + ":" + std::to_string(number) + ": " + text) { handle(ScenarioLine(text)); }
    }
    BOOST_TEST_CONTEXT(path_) {
        BOOST_TEST(checks_ > 0, "a scenario that expects nothing");
        if (!state_.cluster) return;
        for (const std::string& violation : state_.cluster->violations().found())
            BOOST_TEST(false, violation);
        if (planted_fault_of_environment() == PlantedFault::none) check_digest();
    }
}

void ScenarioPlayer::check_digest() const {
    const std::string name = std::filesystem::path(path_).stem().string();
    std::ostringstream digest;
    digest << std::hex << std::setw(16) << std::setfill('0') << state_.cluster->digest();
    std::ifstream file(SCENARIO_DIGESTS);
    std::string expected = "nothing";
    std::string known_name;
    for (std::string known_digest; file >> known_name >> known_digest;)
        if (known_name == name) expected = known_digest;
    BOOST_TEST(digest.str() == expected, name + " " + digest.str() + ", and it was " + expected);
}

void ScenarioPlayer::handle(const ScenarioLine& line) {
    static const std::map<std::string_view, LineHandler> kHandlers = {
        {"at", &ScenarioPlayer::on_time},           {"configuration", &ScenarioPlayer::on_configuration},
        {"cores", &ScenarioPlayer::on_cores},       {"padding", &ScenarioPlayer::on_padding},
        {"routes", &ScenarioPlayer::on_routes},     {"service", &ScenarioPlayer::on_service},
        {"settings", &ScenarioPlayer::on_settings},
    };
    if (line.empty()) return;
    const auto handler = kHandlers.find(line.word(0));
    BOOST_REQUIRE_MESSAGE(handler != kHandlers.end(), "no such line: " + line.word(0));
    (this->*handler->second)(line);
}

void ScenarioPlayer::on_cores(const ScenarioLine& line) {
    constexpr double kBitsPerKilobit = 1e3;
    ClusterShape shape;
    shape.cores = static_cast<std::size_t>(line.value_of("cores", 3));
    const auto default_seeds = static_cast<double>(std::min<std::size_t>(3, shape.cores));
    shape.seeds = static_cast<std::size_t>(line.value_of("seeds", default_seeds));
    shape.proxies = static_cast<std::size_t>(line.value_of("proxies", 0));
    shape.delay = static_cast<Micros>(line.value_of("delay", 1) * static_cast<double>(kMicrosPerMilli));
    shape.loss = line.value_of("loss", 0);
    shape.bits_per_second = line.value_of("kbit", 0) * kBitsPerKilobit;
    shape.fault = planted_fault_of_environment();
    shape.workers = static_cast<std::size_t>(line.value_of("workers", 6));
    shape.worker_memory_mb = static_cast<std::int64_t>(line.value_of("memory", 4096));
    shape.seed = static_cast<std::uint64_t>(line.value_of("seed", 1));
    state_.cluster = std::make_unique<SimulatedCluster>(shape);
    state_.cluster->record_digest();
    state_.start = state_.cluster->now();
}

void ScenarioPlayer::on_routes(const ScenarioLine& line) {
    for (std::size_t n = 0; n < line.count(1); ++n) {
        ServiceSpec spec;
        spec.name = "route" + std::to_string(n);
        if (n > 0) spec.route_to = "route0";
        state_.cluster->configuration().services.push_back(spec);
    }
}

void ScenarioPlayer::on_padding(const ScenarioLine& line) {
    std::mt19937 random(1);
    std::string& padding = state_.cluster->configuration().padding;
    for (std::size_t n = line.count(1); n > 0; --n) padding += static_cast<char>('0' + random() % 75);
    std::replace(padding.begin(), padding.end(), '\\', '/');
}

void ScenarioPlayer::on_service(const ScenarioLine& line) {
    ServiceSpec spec;
    spec.name = line.word(1);
    spec.max_concurrency = static_cast<std::uint32_t>(line.value_of("slots", 1));
    spec.boot_ms = static_cast<int>(line.value_of("boot", 900));
    spec.memory_mb = static_cast<int>(line.value_of("memory", 128));
    spec.latency_target_ms = static_cast<int>(line.value_of("target", 1500));
    spec.timeout_ms = static_cast<int>(line.value_of("timeout", 4000));
    spec.priority = static_cast<int>(line.value_of("priority", 1));
    spec.route_to = line.text_of("route-to");
    spec.idempotent = line.last_word() != "non-idempotent";
    spec.max_attempts = spec.idempotent ? 2 : 1;
    state_.cluster->configuration().services.push_back(spec);
}

void ScenarioPlayer::on_time(const ScenarioLine& line) {
    state_.cluster->run_until(state_.start + line.seconds(1));
    const ScenarioLine action = line.from(2);
    if (action.word(0) != "expect") {
        carry_out(state_, action);
        return;
    }
    ++checks_;
    check_expectation(state_, action);
}

void ScenarioPlayer::on_configuration(const ScenarioLine& line) {
    ++checks_;
    check_configuration(line);
}

void ScenarioPlayer::on_settings(const ScenarioLine& line) {
    ++checks_;
    check_settings(line);
}

}  // namespace gannethold::cluster::simulation
