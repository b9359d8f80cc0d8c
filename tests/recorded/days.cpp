// Plays the emulator's days in virtual time and digests their results: the structure and the numbers of the
// JSON that a run writes. Names of members and texts are left out, and the members of an object are sorted by
// their contents, so that a renamed label does not change a digest.
//
//   recorded_days REHEARSE DIGESTS PART PARTS            plays every PARTS-th line from line PART on
//   recorded_days REHEARSE DIGESTS PART PARTS --print    prints the measured lines
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "recording.hpp"

namespace {

namespace files = std::filesystem;
using nlohmann::json;

std::string canonical(const json& value, std::uint64_t& numbers) {
    if (value.is_number()) return ++numbers, value.dump();
    if (value.is_string()) return "t";
    if (!value.is_structured()) return value.dump();
    std::vector<std::string> parts;
    for (const json& one : value) parts.push_back(canonical(one, numbers));
    if (value.is_object()) std::sort(parts.begin(), parts.end());
    std::string joined;
    for (const std::string& part : parts) joined += part + ",";
    return value.is_object() ? "{" + joined + "}" : "[" + joined + "]";
}

struct TemporaryFolder {
    const std::string path = "recorded-days-" + std::to_string(getpid());
    TemporaryFolder() { files::create_directory(path); }
    ~TemporaryFolder() {
        std::error_code ignored;
        files::remove_all(path, ignored);
    }
};

json result_in(const std::string& folder) {
    for (const auto& entry : files::directory_iterator(folder))
        if (entry.path().extension() == ".json") {
            std::ifstream file(entry.path());
            return json::parse(file);
        }
    throw std::runtime_error("the run wrote no result");
}

// Returns "day seed digest numbers:N exit:N". Exit status 1 means that a goal or a rule was missed, which is
// a valid result; with any other failure there is none.
std::string play(const std::string& program, const std::string& day, const std::string& seed) {
    const TemporaryFolder folder;
    const std::string command = "'" + program + "' run '" + day + "' --seed '" + seed + "' --out '" +
                                folder.path + "' > '" + folder.path + "/output' 2>&1";
    const int status = std::system(command.c_str());
    if (!WIFEXITED(status) || WEXITSTATUS(status) > 1) {
        std::cerr << std::ifstream(folder.path + "/output").rdbuf();
        throw std::runtime_error("the run of " + day + " failed");
    }
    std::uint64_t numbers = 0;
    recorded::Digest digest;
    digest.bytes(canonical(result_in(folder.path), numbers));
    return day + " " + seed + " " + digest.text() + " numbers:" + std::to_string(numbers) +
           " exit:" + std::to_string(WEXITSTATUS(status));
}

int play_part(char** arguments, bool print) {
    const auto part = std::stoul(arguments[3]), parts = std::stoul(arguments[4]);
    const std::vector<std::string> committed = recorded::lines_of(arguments[2]);
    std::size_t played = 0, different = 0;
    for (std::size_t i = part; i < committed.size(); i += parts, ++played) {
        std::string day, seed;
        std::istringstream(committed[i]) >> day >> seed;
        const std::string measured = play(arguments[1], day, seed);
        if (print) std::cout << measured << std::endl;
        if (measured == committed[i] || print) continue;
        ++different;
        std::cout << "committed: " << committed[i] << "\n measured: " << measured << std::endl;
    }
    if (!print) std::cout << played << " days played, " << different << " differ\n";
    return different == 0 && played > 0 ? 0 : 1;
}

}  // namespace

int main(int count, char** arguments) {
    const bool print = count == 6 && std::string(arguments[5]) == "--print";
    if (count != 5 && !print) {
        std::cerr << "usage: recorded_days REHEARSE DIGESTS PART PARTS [--print]\n";
        return 2;
    }
    try {
        return play_part(arguments, print);
    } catch (const std::exception& e) {
        std::cerr << "recorded_days: " << e.what() << '\n';
        return 1;
    }
}
