#include "scenario_state.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster::simulation {

std::size_t ScenarioState::core(const std::string& word) {
    if (word == "last") return last_core;
    const std::optional<std::size_t> leader = cluster->cores().leader();
    if (word == "leader") {
        BOOST_REQUIRE_MESSAGE(leader.has_value(), "no leader");
        return last_core = *leader;
    }
    if (word == "follower") {
        for (std::size_t core = 0; core < cluster->cores().size(); ++core)
            if (cluster->cores().at(core).up && leader != core) return last_core = core;
        BOOST_FAIL("no follower");
    }
    return last_core = std::stoul(word);
}

}  // namespace gannethold::cluster::simulation
