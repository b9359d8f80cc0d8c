// What a rehearsal leaves: JSON for machines, a table for people, and one page with plots that needs nothing
// else.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "results/tally.hpp"

namespace gannethold::rehearsal {

std::string to_json(const Result& result, bool with_machine_figures);
// Throws std::runtime_error with the file's name where it is no result.
Result from_json_file(const std::string& path);

void write_table(std::ostream& out, const std::vector<Result>& results);
void write_stories(std::ostream& out, const Result& result);
std::string to_html(const std::vector<Result>& results);

// The results of a folder, by day, policy, lane and seed.
std::vector<Result> read_folder(const std::string& path);

// Holds B against A, seed by seed where both have it. True if they differ by more than noise anywhere.
bool write_comparison(std::ostream& out, const std::vector<Result>& a, const std::vector<Result>& b);

}  // namespace gannethold::rehearsal
