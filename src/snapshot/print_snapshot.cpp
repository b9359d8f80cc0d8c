#include "snapshot/print_snapshot.hpp"

#include <chrono>
#include <exception>
#include <iomanip>
#include <ostream>

#include "snapshot/snapshot_format.hpp"
#include "snapshot/snapshot_store.hpp"

namespace gannethold::snapshot {
namespace {

constexpr int kNameWidth = 20;
constexpr int kColumnWidth = 10;
constexpr int kNarrowWidth = 8;
constexpr double kMsPerMinute = 60e3;

std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

double sum_of(const HistogramBins& bins) {
    double sum = 0;
    for (const float bin : bins) sum += bin;
    return sum;
}

void print_runner(std::ostream& out, const SavedRunner& runner, double weight, const DecayPolicy& policy) {
    out << std::left << std::setw(kNameWidth) << runner.name << std::setw(kColumnWidth)
        << runner.instance_type << std::setw(kColumnWidth) << runner.zone << std::right
        << std::setprecision(1) << std::setw(kColumnWidth) << sum_of(runner.latency)
        << std::setw(kColumnWidth) << sum_of(decayed(runner.latency, weight, policy.max_samples))
        << std::setw(kNarrowWidth) << runner.slots << std::setw(kNarrowWidth - 1) << 100 * runner.fraction
        << "%\n";
}

void print_content(std::ostream& out, const Snapshot& snapshot, double weight, const DecayPolicy& policy) {
    out << snapshot.runners.size() << " runners, " << snapshot.instance_types.size() << " kinds, "
        << snapshot.workloads.size() << " workloads, " << snapshot.overrides.size() << " holds\n"
        << std::left << std::setw(kNameWidth) << "runner" << std::setw(kColumnWidth) << "kind"
        << std::setw(kColumnWidth) << "zone" << std::right << std::setw(kColumnWidth) << "samples"
        << std::setw(kColumnWidth) << "counted" << std::setw(kNarrowWidth) << "slots"
        << std::setw(kNarrowWidth) << "share" << '\n';
    for (const SavedRunner& runner : snapshot.runners) print_runner(out, runner, weight, policy);
    for (const SavedOverride& saved : snapshot.overrides)
        out << "on hold: " << saved.runner << " by " << saved.operator_name
            << (saved.reason.empty() ? "" : ", " + saved.reason) << '\n';
}

}  // namespace

int print_snapshot(const std::string& path, PrintDetail detail, const DecayPolicy& policy, std::ostream& out,
                   std::ostream& errors) {
    Snapshot snapshot;
    std::string bytes;
    try {
        bytes = read_file(path);
        snapshot = decode(bytes);
    } catch (const std::exception& error) {
        errors << "gannethold: " << path << ": " << error.what() << '\n';
        return 1;
    }
    const std::int64_t now_ms = unix_ms();
    const double weight = weight_by_age(snapshot.written_ms, now_ms, policy);
    out << path << ": complete, format version " << kFormatVersion << ", " << bytes.size()
        << " bytes, written by " << snapshot.dispatcher << " " << std::fixed << std::setprecision(1)
        << static_cast<double>(now_ms - snapshot.written_ms) / kMsPerMinute << " min ago; counts now at "
        << std::setprecision(0) << 100 * weight << "%\n";
    if (detail == PrintDetail::full) print_content(out, snapshot, weight, policy);
    return 0;
}

}  // namespace gannethold::snapshot
