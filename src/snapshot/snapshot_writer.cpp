#include "snapshot/snapshot_writer.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <exception>
#include <iterator>
#include <utility>

#include "snapshot/snapshot_format.hpp"

namespace gannethold::snapshot {
namespace {

// Precedes each part on the socket; in host byte order, since both ends are this program.
struct PartHeader {
    std::uint32_t length = 0;
    std::uint32_t is_last = 0;
};
// Precedes each result, likewise.
using ResultLength = std::uint32_t;

constexpr std::size_t kMaxResultBytes = 400;
constexpr int kSocketOfChild = 3;
constexpr const char* kProcessEnded = "the writing process has ended";

bool read_exactly(int socket, void* to, std::size_t size) {
    auto* at = static_cast<char*>(to);
    while (size > 0) {
        const ssize_t count = ::read(socket, at, size);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        at += count;
        size -= static_cast<std::size_t>(count);
    }
    return true;
}

template <class List>
void append(List& to, List&& more) {
    to.insert(to.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

void append_part(Snapshot& snapshot, Snapshot&& part) {
    append(snapshot.runners, std::move(part.runners));
    append(snapshot.instance_types, std::move(part.instance_types));
    append(snapshot.workloads, std::move(part.workloads));
    append(snapshot.overrides, std::move(part.overrides));
}

bool send_result(int socket, const std::string& error) {
    const auto length = static_cast<ResultLength>(error.size());
    std::string message(reinterpret_cast<const char*>(&length), sizeof length);
    message += error;
    return ::write(socket, message.data(), message.size()) == static_cast<ssize_t>(message.size());
}

// The main loop of the child process, until the dispatcher's end of the socket closes.
void serve_parts(int socket, const SnapshotStore& store) {
    std::optional<Snapshot> snapshot;
    PartHeader header;
    while (read_exactly(socket, &header, sizeof header)) {
        std::string bytes(header.length, '\0');
        if (!read_exactly(socket, bytes.data(), bytes.size())) return;
        std::string error;
        try {
            Snapshot part = decode(bytes);
            if (snapshot)
                append_part(*snapshot, std::move(part));
            else
                snapshot = std::move(part);
            if (header.is_last == 0) continue;
            store.write(encode(*snapshot));
        } catch (const std::exception& failure) {
            error = std::string(failure.what()).substr(0, kMaxResultBytes);
        }
        snapshot.reset();
        malloc_trim(0);  // the memory of the encoding is not needed until the next snapshot
        if (!send_result(socket, error)) return;
    }
}

[[noreturn]] void run_child(int socket, pid_t parent, const SnapshotStore& store) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);  // the parent ended before the call above
    // Signals to the whole process group are for the dispatcher, which still has its last snapshot to write.
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) std::signal(signal, SIG_IGN);
    // Closes inherited descriptors: a listening socket or a folder's lock must not outlive the dispatcher.
    dup2(socket, kSocketOfChild);
    syscall(SYS_close_range, static_cast<unsigned>(kSocketOfChild) + 1, ~0U, 0U);
    serve_parts(kSocketOfChild, store);
    _exit(0);
}

}  // namespace

SnapshotWriter::SnapshotWriter(const SnapshotStore& store) {
    std::array<int, 2> ends{};
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0) return;
    FileDescriptor ours(ends[0]);
    const FileDescriptor theirs(ends[1]);
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) run_child(theirs.get(), parent, store);
    if (process_ < 0) return;
    fcntl(ours.get(), F_SETFL, O_NONBLOCK);
    socket_ = std::move(ours);
}

SnapshotWriter::~SnapshotWriter() { stop(); }

void SnapshotWriter::stop() {
    if (process_ > 0) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    process_ = -1;
    socket_.reset();
    unsent_.clear();
}

void SnapshotWriter::queue_part(const Snapshot& part, bool is_last) {
    const std::string bytes = encode(part);
    const PartHeader header{static_cast<std::uint32_t>(bytes.size()), is_last ? 1U : 0U};
    unsent_.append(reinterpret_cast<const char*>(&header), sizeof header).append(bytes);
}

bool SnapshotWriter::flush() {
    while (!unsent_.empty() && is_running()) {
        const ssize_t sent =
            ::send(socket_.get(), unsent_.data(), unsent_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) stop();
        if (sent <= 0) return false;
        unsent_.erase(0, static_cast<std::size_t>(sent));
    }
    return unsent_.empty();
}

std::optional<std::string> SnapshotWriter::poll_result() {
    if (!is_running()) return kProcessEnded;
    std::array<char, kMaxResultBytes + sizeof(ResultLength)> message{};
    const ssize_t received = ::recv(socket_.get(), message.data(), message.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return std::nullopt;
    if (received < static_cast<ssize_t>(sizeof(ResultLength))) {
        stop();
        return kProcessEnded;
    }
    return std::string(message.data() + sizeof(ResultLength),
                       static_cast<std::size_t>(received) - sizeof(ResultLength));
}

}  // namespace gannethold::snapshot
