#include "sockets/discovery_stand_in.hpp"

#include <charconv>
#include <chrono>
#include <sstream>
#include <utility>

#include "http/reader.hpp"
#include "net/connection.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr Micros kBeat = 2'000'000;  // an empty line, where nothing changes

std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::int64_t unix_us() {
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

class DiscoveryStandIn::Session final : public net::Connection::Owner {
  public:
    Session(DiscoveryStandIn& discovery, std::size_t dispatcher, evutil_socket_t socket)
        : dispatcher(dispatcher),
          discovery_(discovery),
          reader_(http::MessageKind::request, discovery.backstage_.loop.block_pool()),
          connection_(discovery.backstage_.loop, *this, socket) {}

    void tell() {
        Registry& registry = discovery_.backstage_.theatre->registry;
        const Bulletin b = registry.since(held);
        held = b.version;
        discovery_.note_told(dispatcher, b);
        connection_.write(chunk(discovery_.listing(dispatcher, b) + "\n"));
    }
    void beat() { connection_.write(chunk("\n")); }
    void close() {
        if (!std::exchange(over, true)) connection_.abort();
    }

    const std::size_t dispatcher;
    std::optional<std::uint32_t> held;
    bool watching = false, over = false;

  private:
    void on_bytes(std::string_view bytes) override {
        for (;;) {
            switch (reader_.read(bytes)) {
                case http::ReadResult::nothing:
                    return;
                case http::ReadResult::error:
                    return close();
                case http::ReadResult::head:
                case http::ReadResult::body:
                    break;
                case http::ReadResult::end:
                    heed();
                    reader_.restart();
                    break;
            }
        }
    }
    void heed() {
        ++discovery_.calls_;
        const std::string target(reader_.head().target);
        if (reader_.head().path() != "/v1/servers") {
            connection_.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (target.find("follow=1") == std::string::npos) {
            const Bulletin b = discovery_.backstage_.theatre->registry.since(std::nullopt);
            discovery_.note_told(dispatcher, b);
            const std::string text = discovery_.listing(dispatcher, b);
            connection_.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                              "\r\n\r\n" + text);
            return;
        }
        if (const auto since = target.find("since="); since != std::string::npos) {
            std::uint32_t version = 0;
            const auto [end, wrong] =
                std::from_chars(target.data() + since + 6, target.data() + target.size(), version);
            if (wrong == std::errc() && version > 0) held = version;
        }
        watching = true;
        connection_.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        tell();
    }
    void on_closed(net::CloseReason) override { over = true; }

    DiscoveryStandIn& discovery_;
    http::Reader reader_;
    net::Connection connection_;
};

DiscoveryStandIn::DiscoveryStandIn(Backstage& backstage, AddressOf address_of)
    : backstage_(backstage), address_of_(std::move(address_of)), beat_(backstage.loop, [this] {
          for (auto& s : sessions_)
              if (s->watching && !s->over) s->beat();
          beat_.set(net::Loop::now() + kBeat);
      }) {
    beat_.set(net::Loop::now() + kBeat);
}

DiscoveryStandIn::~DiscoveryStandIn() {
    for (auto& s : sessions_) s->close();
}

void DiscoveryStandIn::move(const std::vector<net::Address>& places) {
    at_ = places;
    gates_.clear();
    for (std::size_t d = 0; d < places.size(); ++d) {
        gates_.push_back(std::make_unique<Gate>(backstage_.loop, places[d],
                                                [this, d](evutil_socket_t s) { accept(d, s); }));
        gates_.back()->set(backstage_.theatre->registry.down ? Gate::State::shut : Gate::State::open);
    }
    end_watches();
}

void DiscoveryStandIn::day_begins() { unix_began_us_ = unix_us() - backstage_.now(); }

void DiscoveryStandIn::down(bool down) {
    for (auto& gate : gates_) gate->set(down ? Gate::State::shut : Gate::State::open);
    if (down) end_watches();
}

void DiscoveryStandIn::end_watches() {
    for (auto& s : sessions_) s->close();
}

void DiscoveryStandIn::accept(std::size_t dispatcher, evutil_socket_t socket) {
    sessions_.push_back(std::make_unique<Session>(*this, dispatcher, socket));
}

void DiscoveryStandIn::tell() {
    if (!backstage_.theatre->registry.pass(backstage_.now()) || backstage_.theatre->registry.down) return;
    for (auto& s : sessions_)
        if (s->watching && !s->over) s->tell();
}

void DiscoveryStandIn::note_told(std::size_t dispatcher, const Bulletin& b) {
    const Registry& registry = backstage_.theatre->registry;
    for (const Listed& e : b.entries)
        backstage_.judge.told(backstage_.now(), dispatcher, e.runner, e.state, e.started_at);
    for (std::size_t r = 0; b.full && r < backstage_.day.runners.size(); ++r)
        if (registry.held(r).state == RunnerState::gone)
            backstage_.judge.told(backstage_.now(), dispatcher, r, RunnerState::gone, 0);
}

std::string DiscoveryStandIn::listing(std::size_t dispatcher, const Bulletin& b) const {
    std::ostringstream out;
    out << "{\"version\":" << b.version << ",\"full\":" << (b.full ? "true" : "false") << ",\"servers\":[";
    for (const Listed& e : b.entries) {
        const RunnerPlan& plan = backstage_.day.runners[e.runner];
        out << (&e == &b.entries.front() ? "" : ",") << "{\"id\":\"" << plan.name << "\",\"addr\":\""
            << address_of_(dispatcher, e.runner) << "\",\"zone\":\"" << plan.hall << "\",\"kind\":\""
            << plan.kind << "\",\"cell\":" << plan.cell << ",\"state\":\""
            << (e.state == RunnerState::ready      ? "SERVING"
                : e.state == RunnerState::draining ? "DRAINING"
                                                   : "DELETED")
            << "\",\"weight\":1.0,\"started_ms\":"
            << (e.started_at > 0 ? (unix_began_us_ + e.started_at) / 1000 : 0) << "}";
    }
    out << "]}";
    return out.str();
}

void DiscoveryStandIn::sweep() {
    std::erase_if(sessions_, [](const auto& s) { return s->over; });
}

}  // namespace gannethold::rehearsal
