// Shared by the recorded tests: a random generator and a digest that are the same on every machine, and the
// comparison of the measured lines with the committed ones.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace recorded {

// splitmix64. Integers only: the distributions of the standard library differ between its versions.
class Random {
  public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    std::int64_t below(std::int64_t bound) {
        return static_cast<std::int64_t>(next() % static_cast<std::uint64_t>(bound));
    }
    bool one_in(std::int64_t n) { return below(n) == 0; }

  private:
    std::uint64_t state_;
};

// FNV-1a, 64 bits.
class Digest {
  public:
    void byte(unsigned char c) { sum_ = (sum_ ^ c) * 0x100000001b3; }
    void bytes(std::string_view text) {
        for (const char c : text) byte(static_cast<unsigned char>(c));
    }
    void integer(std::uint64_t value) {
        for (int shift = 56; shift >= 0; shift -= 8) byte(static_cast<unsigned char>(value >> shift));
    }
    void real(double value) { integer(std::bit_cast<std::uint64_t>(value)); }
    std::string text() const {
        char shown[17];
        std::snprintf(shown, sizeof shown, "%016llx", static_cast<unsigned long long>(sum_));
        return shown;
    }

  private:
    std::uint64_t sum_ = 0xcbf29ce484222325;
};

// " code:count" for every code that occurred, so that a line also shows what a stream covers.
inline std::string counts_text(const std::map<int, std::uint64_t>& counts) {
    std::string text;
    for (const auto& [code, count] : counts) text += " " + std::to_string(code) + ":" + std::to_string(count);
    return text;
}

inline std::vector<std::string> lines_of(const std::string& path) {
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);)
        if (!line.empty() && line.front() != '#') lines.push_back(line);
    return lines;
}

// Returns the exit status: 0 if both have the same lines in the same order. No lines at all are a failure.
inline int compare(const std::vector<std::string>& measured, const std::string& committed_path) {
    const std::vector<std::string> committed = lines_of(committed_path);
    std::size_t different = 0;
    for (std::size_t i = 0; i < std::max(measured.size(), committed.size()); ++i) {
        const std::string old_line = i < committed.size() ? committed[i] : "(no such line)";
        const std::string new_line = i < measured.size() ? measured[i] : "(no such line)";
        if (old_line == new_line) continue;
        ++different;
        std::cout << "committed: " << old_line << "\n measured: " << new_line << "\n";
    }
    std::cout << measured.size() << " lines measured, " << committed.size() << " committed, " << different
              << " differ\n";
    return different == 0 && !measured.empty() ? 0 : 1;
}

// Ends a recorded test: `--print` prints the lines for a new file, any other argument is the file to compare.
inline int finish(const std::vector<std::string>& measured, const std::string& committed_or_print) {
    if (committed_or_print != "--print") return compare(measured, committed_or_print);
    for (const std::string& line : measured) std::cout << line << "\n";
    return 0;
}

}  // namespace recorded
