// Writes snapshots at intervals without blocking the loop: each iteration collects a few runners for a
// SnapshotWriter, which does the rest in a process of its own. One snapshot at a time, each with a time
// limit.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/loop.hpp"
#include "snapshot/decay.hpp"
#include "snapshot/folder_lock.hpp"
#include "snapshot/snapshot_store.hpp"
#include "snapshot/snapshot_writer.hpp"

namespace gannethold::snapshot {

struct SnapshotSettings {
    std::string folder;  // empty: no snapshots
    Micros interval = 30'000'000;
    DecayPolicy decay;
};

struct SnapshotStats {
    std::uint64_t written = 0;
    std::uint64_t failed = 0;
    Micros last_written_at = 0;   // on the loop's clock; 0: none yet
    Micros loop_blocked = 0;      // the longest iteration of the last snapshot
    Micros max_loop_blocked = 0;  // the longest iteration of all snapshots
    Micros duration = 0;          // of the last snapshot, from its first part to the sync
    std::string last_failure;     // "": the last one was written
    unsigned consecutive_failures = 0;
};

class SnapshotScheduler {
  public:
    struct Part {
        Snapshot snapshot;
        std::size_t next_offset = 0;  // where the next part begins; 0: this is the last
    };
    // Collects about `max_runners` runners from that offset on. Runners that are added or removed between two
    // parts may be missing or included twice.
    using CollectPart = std::function<Part(std::size_t offset, std::size_t max_runners)>;
    // Called with one line when writing begins to fail, fails for another reason, or works again.
    using ReportChange = std::function<void(const std::string& line, bool is_working)>;

    // The first snapshot follows one interval later. REQUIRES: loop outlives the scheduler.
    SnapshotScheduler(net::Loop& loop, const SnapshotStore& store, Micros interval, CollectPart collect_part,
                      ReportChange report_change);
    ~SnapshotScheduler() = default;
    SnapshotScheduler(const SnapshotScheduler&) = delete;
    SnapshotScheduler& operator=(const SnapshotScheduler&) = delete;

    // Starts a snapshot now, unless one is being written.
    void start();
    // Writes a snapshot in this process, blocking on the disk, and schedules no more: for a graceful
    // shutdown.
    void write_final();

    const SnapshotStats& stats() const { return stats_; }
    bool is_writing() const { return stage_ != Stage::idle; }
    pid_t writer_process() const { return writer_ ? writer_->process() : -1; }

    // Exponential backoff: the interval doubled with each consecutive failure, to sixteen times at most.
    static Micros backoff(Micros interval, unsigned consecutive_failures);

  private:
    enum class Stage { idle, sending_parts, awaiting_result };

    void on_timer();
    void send_next_part();
    bool acquire_lock();
    void on_written();
    void on_failed(const std::string& reason);

    const SnapshotStore store_;
    const Micros interval_;
    const CollectPart collect_part_;
    const ReportChange report_change_;
    FolderLock lock_;
    std::unique_ptr<SnapshotWriter> writer_;
    Stage stage_ = Stage::idle;
    std::size_t next_offset_ = 0;
    Micros started_at_ = 0;
    SnapshotStats stats_;
    net::Timer timer_;
};

}  // namespace gannethold::snapshot
