// A test case for each file of scenarios/, besides the test cases of the other files of this program.
#define BOOST_TEST_NO_MAIN
#define BOOST_TEST_ALTERNATIVE_INIT_API
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "scenario_player.hpp"

namespace gannethold::cluster::simulation {
namespace {

std::vector<std::string> scenario_files() {
    std::vector<std::string> paths;
    for (const auto& file : std::filesystem::directory_iterator(SCENARIOS))
        if (file.path().extension() == ".scenario") paths.push_back(file.path().string());
    std::sort(paths.begin(), paths.end());
    return paths;
}

bool register_scenarios() {
    for (const std::string& path : scenario_files())
        boost::unit_test::framework::master_test_suite().add(boost::unit_test::make_test_case(
            [path] { ScenarioPlayer(path).play(); }, std::filesystem::path(path).stem().string(), __FILE__,
            __LINE__));
    return true;
}

}  // namespace
}  // namespace gannethold::cluster::simulation

int main(int argc, char** argv) {
    return boost::unit_test::unit_test_main(&gannethold::cluster::simulation::register_scenarios, argc, argv);
}
