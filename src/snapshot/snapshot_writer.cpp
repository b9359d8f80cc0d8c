#include "snapshot/snapshot_writer.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <exception>
#include <iterator>
#include <utility>

namespace gannethold::keepsake {
namespace {

// Both ends are this program, so a part has this machine's byte order.
struct Head {
    std::uint32_t length = 0, last = 0;
};
constexpr std::size_t kMostAnswer = 400;

bool read_all(int line, void* to, std::size_t size) {
    for (auto* at = static_cast<char*>(to); size > 0;) {
        const ssize_t n = ::read(line, at, size);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        at += n, size -= static_cast<std::size_t>(n);
    }
    return true;
}

template <class List>
void add(List& to, List&& more) {
    to.insert(to.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace

Scribe::Scribe(const Shelf& shelf) {
    int ends[2];
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0) return;
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(1);
        // Signals to the whole group are the dispatcher's to heed, which has the last keepsake to write.
        for (const int number : {SIGTERM, SIGINT, SIGHUP}) std::signal(number, SIG_IGN);
        // Against a listening socket, or a claim, that lives on here while the dispatcher is started again.
        dup2(ends[1], 3);
        syscall(SYS_close_range, 4U, ~0U, 0U);
        work(3, shelf);
    }
    ::close(ends[1]);
    line_ = ends[0];
    fcntl(line_, F_SETFL, O_NONBLOCK);
    if (process_ < 0) end();
}

Scribe::~Scribe() { end(); }

void Scribe::end() {
    if (process_ > 0) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    if (line_ >= 0) ::close(line_);
    process_ = -1, line_ = -1;
    left_.clear();
}

void Scribe::work(int line, const Shelf& shelf) {
    Record all;
    bool begun = false;
    for (Head head; read_all(line, &head, sizeof head);) {
        std::string bytes(head.length, '\0');
        if (!read_all(line, bytes.data(), bytes.size())) break;
        std::string why;
        try {
            Record part = read(bytes);
            if (!std::exchange(begun, true))
                all = std::move(part);
            else
                add(all.runners, std::move(part.runners)), add(all.kinds, std::move(part.kinds)),
                    add(all.workloads, std::move(part.workloads)), add(all.holds, std::move(part.holds));
            if (!head.last) continue;
            shelf.put(spell(all));
        } catch (const std::exception& e) {
            why = std::string(e.what()).substr(0, kMostAnswer);
        }
        all = {}, begun = false;
        malloc_trim(0);  // what the spelling took is not needed again for half a minute
        const auto length = static_cast<std::uint32_t>(why.size());
        std::string said(reinterpret_cast<const char*>(&length), sizeof length);
        said += why;
        if (::write(line, said.data(), said.size()) != static_cast<ssize_t>(said.size())) break;
    }
    _exit(0);
}

void Scribe::tell(const Record& part, bool last) {
    const std::string bytes = spell(part);
    const Head head{static_cast<std::uint32_t>(bytes.size()), last};
    left_.append(reinterpret_cast<const char*>(&head), sizeof head).append(bytes);
}

bool Scribe::pushed() {
    while (!left_.empty() && alive()) {
        const ssize_t n = ::send(line_, left_.data(), left_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EINTR) end();
        if (n <= 0) return false;
        left_.erase(0, static_cast<std::size_t>(n));
    }
    return left_.empty();
}

std::optional<std::string> Scribe::answer() {
    if (!alive()) return "the writing process has ended";
    char said[kMostAnswer + sizeof(std::uint32_t)];
    const ssize_t n = ::recv(line_, said, sizeof said, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return std::nullopt;
    if (n < static_cast<ssize_t>(sizeof(std::uint32_t))) {
        end();
        return "the writing process has ended";
    }
    return std::string(said + sizeof(std::uint32_t), static_cast<std::size_t>(n) - sizeof(std::uint32_t));
}

}  // namespace gannethold::keepsake
