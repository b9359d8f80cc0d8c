// A child process that encodes, writes and syncs snapshots, so that the dispatcher's loop never waits for a
// disk. It is forked once, while there are few pages to copy, and gets each snapshot in parts over a socket.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "snapshot/file_descriptor.hpp"
#include "snapshot/snapshot_store.hpp"

namespace gannethold::snapshot {

class SnapshotWriter {
  public:
    // If no process can be started, is_running() is false from the beginning.
    explicit SnapshotWriter(const SnapshotStore& store);
    ~SnapshotWriter();  // kills the process, also in the middle of a write
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;

    bool is_running() const { return process_ > 0; }
    pid_t process() const { return process_; }

    // Queues one part of a snapshot. Its lists are appended to those of the earlier parts; all other values
    // are taken from the first part. After the last part the process writes the snapshot.
    void queue_part(const Snapshot& part, bool is_last);
    // Sends queued bytes without blocking. True: all were sent.
    bool flush();
    // To be called after the last part. nullopt: still writing; "": written; else the error in one line.
    std::optional<std::string> poll_result();

  private:
    void stop();

    pid_t process_ = -1;
    FileDescriptor socket_;
    std::string unsent_;
};

}  // namespace gannethold::snapshot
