#include "snapshot/snapshot_scheduler.hpp"

#include <algorithm>
#include <exception>
#include <limits>
#include <utility>

#include "snapshot/snapshot_format.hpp"

namespace gannethold::snapshot {
namespace {

constexpr std::size_t kMaxRunnersPerTurn = 32;
constexpr Micros kPauseBetweenParts = 5'000;  // the loop has more urgent work
constexpr Micros kResultPollInterval = 50'000;
constexpr Micros kWriteTimeout = 20'000'000;
constexpr unsigned kMaxBackoffDoublings = 4;

}  // namespace

SnapshotScheduler::SnapshotScheduler(net::Loop& loop, const SnapshotStore& store, Micros interval,
                                     CollectPart collect_part, ReportChange report_change)
    : store_(store),
      interval_(interval),
      collect_part_(std::move(collect_part)),
      report_change_(std::move(report_change)),
      lock_(store.path() + ".lock"),
      writer_(std::make_unique<SnapshotWriter>(store)),
      timer_(loop, [this] { on_timer(); }) {
    timer_.set(net::Loop::now() + interval_);
    acquire_lock();  // so that a second dispatcher reports the conflict at once
}

Micros SnapshotScheduler::backoff(Micros interval, unsigned consecutive_failures) {
    return interval << std::min(consecutive_failures, kMaxBackoffDoublings);
}

bool SnapshotScheduler::acquire_lock() {
    const std::string error = lock_.acquire();
    if (!error.empty()) on_failed(error);
    return error.empty();
}

void SnapshotScheduler::start() {
    if (is_writing() || !acquire_lock()) return;
    // The writer ends only if it is killed. Forking another one costs the loop a copy of its page tables.
    if (!writer_ || !writer_->is_running()) writer_ = std::make_unique<SnapshotWriter>(store_);
    if (!writer_->is_running()) return on_failed("snapshot: no process can be started");
    stage_ = Stage::sending_parts;
    next_offset_ = 0;
    started_at_ = net::Loop::now();
    stats_.loop_blocked = 0;
    send_next_part();
}

void SnapshotScheduler::on_timer() {
    if (stage_ == Stage::idle) return start();
    const Micros now = net::Loop::now();
    if (now - started_at_ > kWriteTimeout) {
        writer_ = std::make_unique<SnapshotWriter>(store_);
        return on_failed("snapshot: the disk takes too long");
    }
    if (stage_ == Stage::sending_parts) return send_next_part();
    if (const auto error = writer_->poll_result()) return error->empty() ? on_written() : on_failed(*error);
    timer_.set(now + kResultPollInterval);
}

void SnapshotScheduler::send_next_part() {
    const Micros turn_began = net::Loop::now();
    if (writer_->flush()) {
        const Part part = collect_part_(next_offset_, kMaxRunnersPerTurn);
        writer_->queue_part(part.snapshot, part.next_offset == 0);
        writer_->flush();
        next_offset_ = part.next_offset;
        if (next_offset_ == 0) stage_ = Stage::awaiting_result;
    } else if (!writer_->is_running()) {
        return on_failed("snapshot: the writing process has ended");
    }
    stats_.loop_blocked = std::max(stats_.loop_blocked, net::Loop::now() - turn_began);
    stats_.max_loop_blocked = std::max(stats_.max_loop_blocked, stats_.loop_blocked);
    timer_.set(net::Loop::now() + kPauseBetweenParts);
}

void SnapshotScheduler::on_written() {
    stage_ = Stage::idle;
    ++stats_.written;
    stats_.last_written_at = net::Loop::now();
    stats_.duration = stats_.last_written_at - started_at_;
    stats_.last_failure.clear();
    if (std::exchange(stats_.consecutive_failures, 0) > 0) report_change_("snapshot: written again", true);
    timer_.set(std::max(started_at_ + interval_, stats_.last_written_at + kPauseBetweenParts));
}

void SnapshotScheduler::on_failed(const std::string& reason) {
    stage_ = Stage::idle;
    ++stats_.failed;
    ++stats_.consecutive_failures;
    const Micros delay = backoff(interval_, stats_.consecutive_failures);
    // Reported once for each reason, not at each attempt while a disk stays full.
    if (std::exchange(stats_.last_failure, reason) != reason)
        report_change_(reason + "; service goes on, and it is retried with backoff", false);
    timer_.set(net::Loop::now() + delay);
}

void SnapshotScheduler::write_final() {
    // Stops a snapshot in progress: it is older, and two writers would share the temporary file.
    writer_.reset();
    stage_ = Stage::idle;
    timer_.cancel();
    if (!acquire_lock()) return timer_.cancel();
    try {
        const Part everything = collect_part_(0, std::numeric_limits<std::size_t>::max());
        store_.write(encode(everything.snapshot));
        ++stats_.written;
        stats_.last_written_at = net::Loop::now();
    } catch (const std::exception& error) {
        on_failed(error.what());
        timer_.cancel();
    }
}

}  // namespace gannethold::snapshot
