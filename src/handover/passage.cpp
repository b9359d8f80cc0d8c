#include "handover/passage.hpp"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

namespace gannethold::handover {
namespace {

constexpr Micros kPatience = 500'000;  // for an old one to say all: it may be busy, or stopped
constexpr std::size_t kMostHeirs = 3;

std::optional<net::Address> at(const std::string& path) {
    net::Address a;
    auto* const un = reinterpret_cast<sockaddr_un*>(&a.storage);
    if (path.size() >= sizeof un->sun_path) return std::nullopt;
    un->sun_family = AF_UNIX;
    std::memcpy(un->sun_path, path.data(), path.size());
    a.length = sizeof *un;
    a.text = path;
    return a;
}

// A name may hold what no file's name may.
std::string in_folder(const std::string& folder, std::string name) {
    std::replace_if(
        name.begin(), name.end(), [](unsigned char c) { return !std::isalnum(c) && c != '-' && c != '_'; },
        '_');
    return folder + "/gannethold-" + name.substr(0, 40);
}

}  // namespace

class Passage::Line final : public net::Connection::Owner {
  public:
    Line(Passage& passage, evutil_socket_t accepted)
        : passage_(passage), connection_(passage.loop_, *this, accepted) {}
    Line(Passage& passage, const net::Address& to)
        : passage_(passage), connection_(passage.loop_, *this, to, kPatience) {}

    void say(const Word& word) { connection_.write(spell(word)); }
    void close() { connection_.close(); }

  private:
    void on_bytes(std::string_view bytes) override {
        if (!reader_.feed(bytes)) return give_up();
        while (const auto word = reader_.next()) passage_.heard(*this, *word);
        if (!reader_.feed({})) give_up();
    }
    void on_closed(net::CloseReason) override { passage_.ended(*this); }
    void give_up() {
        connection_.close();
        passage_.ended(*this);
    }

    Passage& passage_;
    Reader reader_;
    net::Connection connection_;
};

Passage::Passage(net::Loop& loop, const std::string& folder, std::string name, Party& party, log::Log& log)
    : loop_(loop),
      path_(in_folder(folder, name)),
      name_(std::move(name)),
      party_(party),
      log_(log),
      patience_(loop, [this] {
          if (settled_) return;
          log_.warning(net::Loop::now(),
                       "handover: the old dispatcher says no more; served by what is known");
          settle();
      }) {
    if (const auto there = at(path_); there && access(path_.c_str(), F_OK) == 0)
        elder_ = std::make_unique<Line>(*this, *there);
    if (!elder_) settled_ = true;
    patience_.set(net::Loop::now() + kPatience);
    open();
}

Passage::~Passage() = default;

// Under another name first, so that there is never a moment without one; whoever asked at the old one is in
// its queue.
void Passage::open() {
    const auto fresh = at(path_ + ".new");
    try {
        if (!fresh) throw std::runtime_error("the path is too long: " + path_);
        unlink(fresh->text.c_str());
        door_ = std::make_unique<net::Listener>(
            loop_, *fresh, [this](evutil_socket_t socket) { accept(socket); }, [] {});
        if (std::rename(fresh->text.c_str(), path_.c_str()) != 0)
            throw std::runtime_error("cannot name it " + path_);
    } catch (const std::exception& e) {
        // Against a folder that cannot be written, or a system that knows no such sockets: an upgrade then
        // goes without.
        door_.reset();
        log_.warning(net::Loop::now(), "handover: ", e.what(),
                     "; an upgrade will begin from the configuration");
    }
}

void Passage::accept(evutil_socket_t socket) {
    ucred who{};
    socklen_t length = sizeof who;
    const bool ours = getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &who, &length) == 0 && who.uid == geteuid();
    if (!ours || heirs_.size() >= kMostHeirs) {
        close(socket);
        return;
    }
    heirs_.push_back(std::make_unique<Line>(*this, socket));
    Line& line = *heirs_.back();
    line.say({Kind::greeting, spell(Greeting{kVersion, name_, others() - 1})});
    for (const Word& word : party_.hand_over()) line.say(word);
    line.say({Kind::done, ""});
    log_.info(net::Loop::now(), "handover: told a new dispatcher what is known");
    party_.company(others());
}

void Passage::heard(Line& line, const Word& word) {
    if (&line != elder_.get()) return;  // a new one has nothing to say
    if (word.kind == Kind::greeting) {
        const auto greeting = read_greeting(word.body);
        // Against the socket of somebody else, or a form that is not known.
        if (!greeting || greeting->name != name_ || greeting->version != kVersion) {
            log_.warning(net::Loop::now(), "handover: whoever answers at ", path_,
                         " is no dispatcher of this name");
            line.close();
            return ended(line);
        }
        greeted_ = true;
        elders_others_ = greeting->others;
        return party_.company(others());
    }
    if (!greeted_) return;
    if (word.kind == Kind::done) {
        log_.info(net::Loop::now(), "handover: heard what the old dispatcher knows");
        return settle();
    }
    party_.handed(word);
}

void Passage::ended(Line& line) {
    if (&line == elder_.get()) {
        ended_.push_back(std::move(elder_));
        elders_others_ = 0;
        if (greeted_) log_.info(net::Loop::now(), "handover: the old dispatcher is gone");
        greeted_ = false;
        settle();
    } else {
        const auto heir =
            std::find_if(heirs_.begin(), heirs_.end(), [&](const auto& h) { return h.get() == &line; });
        if (heir == heirs_.end()) return;
        ended_.splice(ended_.end(), heirs_, heir);
        // It had put its socket in the place of ours; whoever comes now must find this one again.
        log_.info(net::Loop::now(), "handover: the new dispatcher is gone");
        open();
    }
    party_.company(others());
}

void Passage::settle() {
    settled_ = true;
    patience_.cancel();
}

void Passage::tell(const Word& word) {
    for (const auto& heir : heirs_) heir->say(word);
}

std::size_t Passage::others() const { return heirs_.size() + (greeted_ ? 1 + elders_others_ : 0); }

void Passage::sweep() { ended_.clear(); }

}  // namespace gannethold::handover
