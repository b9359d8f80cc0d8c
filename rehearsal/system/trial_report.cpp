#include "trial_report.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace gannethold::trial {
namespace {

constexpr int kMaxBar = 24;  // characters
constexpr int kRequestsInBarCharacter = 8;
// Of the plot, in pixels.
constexpr double kLeft = 40;
constexpr double kWidth = 640;
constexpr double kBottom = 210;
constexpr double kHeight = 180;

std::string bar(int length, char character) {
    return std::string(static_cast<std::size_t>(std::max(0, length)), character);
}

template <class Value>
int max_of(const std::vector<Sample>& samples, const Value& value) {
    int max = 1;
    for (const Sample& sample : samples) max = std::max(max, value(sample));
    return max;
}

template <class Value>
void write_line(std::ofstream& out, const std::vector<Sample>& samples, const char* color,
                const Value& value) {
    const double last = static_cast<double>(std::max<std::size_t>(2, samples.size()) - 1);
    const double max = max_of(samples, value);
    out << "<polyline fill='none' stroke='" << color << "' stroke-width='2' points='";
    for (std::size_t second = 0; second < samples.size(); ++second)
        out << kLeft + static_cast<double>(second) * kWidth / last << ","
            << kBottom - kHeight * value(samples[second]) / max << " ";
    out << "'/>\n";
}

}  // namespace

bool TrialResult::is_success() const {
    return outcomes.sent > 0 && excess_runs == 0 &&
           outcomes.on_time + outcomes.late > static_cast<int>(outcomes.sent * 9 / 10);
}

void print_report(const TrialResult& result) {
    const Outcomes& outcomes = result.outcomes;
    std::printf("\n%zu requests: %d in time, %d late, %d rejected (503), %d failed; %d answered twice\n",
                outcomes.sent, outcomes.on_time, outcomes.late, outcomes.rejected, outcomes.failed,
                result.excess_runs);
    std::printf("%d runners started, %d stopped, %d requests rejected by runners that were full\n",
                result.starts, result.stops, result.rejected_by_runners);
    std::printf("\nsecond  requests/s                      runners\n");
    for (std::size_t second = 0; second < result.samples.size(); second += 2) {
        const Sample& sample = result.samples[second];
        const int length = std::min(kMaxBar, sample.requests / kRequestsInBarCharacter);
        std::printf("%6zu  %4d %-24s  %3d %s\n", second, sample.requests, bar(length, '#').c_str(),
                    sample.runners, bar(sample.runners, '=').c_str());
    }
}

void write_plot(const TrialResult& result, const std::string& file) {
    const auto requests = [](const Sample& sample) { return sample.requests; };
    const auto runners = [](const Sample& sample) { return sample.runners; };
    std::ofstream out(file);
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='720' height='250' font-family='sans-serif' "
           "font-size='12'>\n<rect width='720' height='250' fill='white'/>\n";
    write_line(out, result.samples, "#2266bb", requests);
    write_line(out, result.samples, "#cc5522", runners);
    out << "<text x='40' y='20' fill='#2266bb'>requests a second, at most "
        << max_of(result.samples, requests) << "</text><text x='300' y='20' fill='#cc5522'>runners, at most "
        << max_of(result.samples, runners) << "</text><text x='40' y='235'>0 s</text><text x='650' y='235'>"
        << result.samples.size() << " s</text>\n</svg>\n";
    std::printf("\nplot: %s\n", file.c_str());
}

}  // namespace gannethold::trial
