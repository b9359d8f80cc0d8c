// Plays one text file of scenarios/ on simulated time. Lines:
//   cores N seeds N proxies N delay MS loss P workers N memory MB [kbit N] [seed N]
//                                         the cluster, first; kbit: the bandwidth of a core's uplink
//   routes N                              so many routes to one service
//   padding N                             so many characters in every configuration that hardly compress
//   service NAME slots N boot MS memory MB target MS timeout MS priority N [route-to NAME] [non-idempotent]
//                                         in every configuration that is put; route-to: a further route to
//                                         that service
//   at S ACTION                           S seconds after the start; never before an earlier line
//   at S expect OBSERVATION = N           or < or >
//   configuration ..., settings ...       see text_checks.hpp
// The actions stand in actions.cpp, the observations in observations.cpp.
#pragma once

#include <string>

#include "scenario_line.hpp"
#include "scenario_state.hpp"

namespace gannethold::cluster::simulation {

/// The fault that the environment's GANNETHOLD_PLANTED_FAULT names, for all scenarios. Throws
/// std::invalid_argument for an unknown one.
PlantedFault planted_fault_of_environment();

class ScenarioPlayer {
  public:
    explicit ScenarioPlayer(std::string path) : path_(std::move(path)) {}

    /// Plays the file as part of the running test case, which fails for what it doesn't meet.
    void play();

  private:
    using LineHandler = void (ScenarioPlayer::*)(const ScenarioLine& line);

    void handle(const ScenarioLine& line);
    void on_cores(const ScenarioLine& line);
    void on_routes(const ScenarioLine& line);
    void on_padding(const ScenarioLine& line);
    void on_service(const ScenarioLine& line);
    void on_time(const ScenarioLine& line);
    void on_configuration(const ScenarioLine& line);
    void on_settings(const ScenarioLine& line);
    /// The outputs must be those of an earlier version, so that a change that only renames or moves code is
    /// seen to be no more than that. The failure prints the line of a new scenario.
    void check_digest() const;

    std::string path_;
    ScenarioState state_;
    int checks_ = 0;
};

}  // namespace gannethold::cluster::simulation
