#include "snapshot/print_snapshot.hpp"

#include <chrono>
#include <cmath>
#include <iomanip>
#include <ostream>

#include "snapshot/snapshot_store.hpp"

namespace gannethold::keepsake {

int show(const std::string& path, bool verify_only, const Prudence& prudence, std::ostream& out,
         std::ostream& wrong) {
    using namespace std::chrono;
    const std::int64_t now = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    Record r;
    std::string bytes;
    try {
        bytes = read_whole(path);
        r = read(bytes);
    } catch (const std::exception& e) {
        wrong << "gannethold: " << path << ": " << e.what() << '\n';
        return 1;
    }
    const double left = weight_left(r.written_ms, now, prudence);
    out << path << ": whole, form " << kForm << ", " << bytes.size() << " bytes, written by " << r.dispatcher
        << " " << std::fixed << std::setprecision(1) << static_cast<double>(now - r.written_ms) / 60e3
        << " min ago; believed now at " << std::setprecision(0) << 100 * left << "%\n";
    if (verify_only) return 0;
    out << r.runners.size() << " runners, " << r.kinds.size() << " kinds, " << r.workloads.size()
        << " workloads, " << r.holds.size() << " holds\n"
        << std::left << std::setw(20) << "runner" << std::setw(10) << "kind" << std::setw(10) << "zone"
        << std::right << std::setw(10) << "samples" << std::setw(10) << "believed" << std::setw(8) << "slots"
        << std::setw(8) << "share" << '\n';
    for (const KeptRunner& k : r.runners) {
        double samples = 0, believed = 0;
        for (const float b : k.latency) samples += b;
        for (const float b : aged(k.latency, left, prudence.most_samples)) believed += b;
        out << std::left << std::setw(20) << k.name << std::setw(10) << k.kind << std::setw(10) << k.zone
            << std::right << std::setprecision(1) << std::setw(10) << samples << std::setw(10) << believed
            << std::setw(8) << k.slots << std::setw(7) << 100 * k.fraction << "%\n";
    }
    for (const KeptHold& h : r.holds)
        out << "held: " << h.runner << " by " << h.by << (h.why.empty() ? "" : ", " + h.why) << '\n';
    return 0;
}

}  // namespace gannethold::keepsake
