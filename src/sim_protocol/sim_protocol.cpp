#include "sim_protocol/sim_protocol.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "settings/settings_format.hpp"

namespace gannethold::sim_protocol {
namespace {

class Cursor {
  public:
    Cursor(std::string_view bytes, std::size_t stream_at) : bytes_(bytes), base_(stream_at) {}

    std::size_t at() const { return base_ + next_; }
    bool done() const { return next_ == bytes_.size(); }

    std::uint64_t number(std::size_t width) {
        std::uint64_t value = 0;
        for (unsigned char c : take(width)) value = value << 8 | c;
        return value;
    }
    double real() { return std::bit_cast<float>(static_cast<std::uint32_t>(number(4))); }
    std::string_view text(std::size_t count_width) { return take(number(count_width)); }
    std::size_t count(std::size_t count_width, std::size_t entry_width) {
        const std::size_t start = at();
        const std::size_t n = number(count_width);
        if (n * entry_width > bytes_.size() - next_) throw BadFrame("count overruns the frame", start);
        return n;
    }

  private:
    std::string_view take(std::size_t n) {
        if (n > bytes_.size() - next_) throw BadFrame("record cut short by the end of the frame", at());
        next_ += n;
        return bytes_.substr(next_ - n, n);
    }

    std::string_view bytes_;
    std::size_t base_;
    std::size_t next_ = 0;
};

template <class Id>
Id id(Cursor& in, std::size_t width) {
    return static_cast<Id>(in.number(width));
}

Micros micros(Cursor& in, std::size_t width) { return static_cast<Micros>(in.number(width)); }

Report report(Cursor& in) {
    Report values(in.count(1, 4));
    for (double& v : values) v = in.real();
    return values;
}

Outcome outcome(Cursor& in) {
    const std::size_t start = in.at();
    switch (in.number(2)) {
        case 0:
            return Outcome::finished;
        case 5:
            return Outcome::error;
        case 11:
            return Outcome::full;
        case 110:
            return Outcome::timed_out;
        case 111:
            return Outcome::connect_failed;
        case 104:
            return Outcome::reset;
        case 125:
            return Outcome::withdrawn;
        case 114:
            return Outcome::not_started;
        default:
            throw BadFrame("unknown outcome", start);
    }
}

MembershipUpdate membership_update(Cursor& in) {
    const std::size_t start = in.at();
    MembershipUpdate update{};
    switch (in.number(1)) {
        case 0:
            update.scope = UpdateScope::failed;
            break;
        case 1:
            update.scope = UpdateScope::complete;
            break;
        case 3:
            update.scope = UpdateScope::cached;
            break;
        case 4:
            update.scope = UpdateScope::delta;
            break;
        default:
            throw BadFrame("unknown kind of list", start);
    }
    update.version = static_cast<std::uint32_t>(in.number(4));
    update.entries.resize(in.count(4, 21));
    for (EndpointEntry& e : update.entries) {
        e.runner = id<RunnerId>(in, 4);
        e.zone = id<ZoneId>(in, 1);
        e.instance_type = id<InstanceTypeId>(in, 1);
        e.group = id<GroupId>(in, 2);
        const std::size_t state_at = in.at();
        const auto state = in.number(1);
        if (state > 2) throw BadFrame("unknown runner state", state_at);
        e.state = state == 2 ? RunnerState::ready : state == 1 ? RunnerState::draining : RunnerState::gone;
        e.weight = in.real();
        e.started_at = micros(in, 8);
    }
    return update;
}

TaskArrived arrival(Cursor& in) {
    TaskArrived t;
    t.task = id<TaskId>(in, 8);
    t.workload = id<WorkloadId>(in, 1);
    t.customer = id<CustomerId>(in, 4);
    t.key = in.number(8);
    t.expiry = micros(in, 8);
    t.cost_hint = micros(in, 4);
    t.slots = in.real();
    t.memory = in.real();
    const auto flags = in.number(1);
    t.hint_valid = flags & 1;
    t.client_retry = flags & 2;
    t.write = flags & 4;
    t.after_disconnect = flags & 16;
    return t;
}

AssignmentEnded ending(Cursor& in) {
    AssignmentEnded e;
    e.task = id<TaskId>(in, 8);
    e.task_answered = in.number(1) != 0;
    e.detail = static_cast<std::uint32_t>(in.number(4));
    e.elapsed = micros(in, 4);
    e.runner = id<RunnerId>(in, 4);
    e.assignment = static_cast<int>(in.number(1));
    e.outcome = outcome(in);
    e.report = report(in);
    return e;
}

StreamBegun stream_begun(Cursor& in) {
    StreamBegun s;
    s.task = id<TaskId>(in, 8);
    s.assignment = static_cast<int>(in.number(1));
    s.runner = id<RunnerId>(in, 4);
    s.elapsed = micros(in, 4);
    return s;
}

ProbeEnded probe_ended(Cursor& in) {
    ProbeEnded p;
    p.runner = id<RunnerId>(in, 4);
    p.outcome = outcome(in);
    p.elapsed = micros(in, 4);
    p.report = report(in);
    return p;
}

Progress progress(Cursor& in) {
    Progress p;
    p.task = id<TaskId>(in, 8);
    p.done = in.real();
    p.runner = id<RunnerId>(in, 4);
    p.assignment = static_cast<int>(in.number(1));
    p.stage = in.number(1) == 1 ? Stage::begun : Stage::progress;
    return p;
}

std::variant<Created, Killed, Event> record(std::uint64_t code, std::size_t start, Cursor& in) {
    switch (code) {
        case 10: {
            const auto seed = in.number(8);
            return Created{seed, settings::parse_settings(in.text(4))};
        }
        case 20:
            return Event{membership_update(in)};
        case 30:
            return Event{arrival(in)};
        case 40:
            return Event{stream_begun(in)};
        case 50:
            return Event{ending(in)};
        case 60:
            return Event{ClientDisconnected{id<TaskId>(in, 8)}};
        case 70:
            return Event{TimerFired{id<TimerId>(in, 8)}};
        case 80:
            return Event{probe_ended(in)};
        case 90: {
            const auto from = id<PeerId>(in, 4);
            return Event{PeerMessage{from, std::string(in.text(2))}};
        }
        case 100:
            return Killed{};
        case 110:
            return Event{progress(in)};
        default:
            throw BadFrame("unknown record code " + std::to_string(code), start);
    }
}

template <class... Ts>
struct Match : Ts... {
    using Ts::operator()...;
};

void put(std::string& out, std::uint64_t value, std::size_t width) {
    while (width--) out.push_back(static_cast<char>(value >> (8 * width)));
}

void put_text(std::string& out, std::string_view text) {
    const auto n = std::min<std::size_t>(text.size(), 0xffff);
    put(out, n, 2);
    out.append(text.substr(0, n));
}

template <class Id>
std::uint64_t raw(Id id) {
    return static_cast<std::uint64_t>(id);
}

constexpr std::uint64_t kAllPeers = 0xffff;

}  // namespace

Header read_header(std::string_view bytes, std::size_t stream_at) {
    Cursor in(bytes, stream_at);
    Header h{};
    h.now = micros(in, 8);
    h.length = static_cast<std::uint32_t>(in.number(4));
    h.records = static_cast<std::uint32_t>(in.number(4));
    return h;
}

Batch read_batch(const Header& header, std::string_view body, std::size_t stream_at) {
    Cursor in(body, stream_at);
    Batch batch;
    batch.now = header.now;
    bool named = false;
    InstanceId instance{};
    for (std::uint32_t i = 0; i < header.records; ++i) {
        const std::size_t start = in.at();
        const auto code = in.number(1);
        if (code == 120) {
            instance = id<InstanceId>(in, 2);
            named = true;
            continue;
        }
        if (!named) throw BadFrame("record before any instance is named", start);
        batch.records.push_back({instance, start, record(code, start, in)});
    }
    if (!in.done()) throw BadFrame("bytes left over after the last record", in.at());
    return batch;
}

void ReplyWriter::instance(InstanceId instance) {
    put(body_, 130, 1);
    put(body_, raw(instance), 2);
}

void ReplyWriter::action(const Action& action) {
    std::string& o = body_;
    std::visit(
        Match{[&](const Assign& a) {
                  put(o, 10, 1), put(o, raw(a.task), 8), put(o, raw(a.runner), 4);
                  put(o, static_cast<std::uint64_t>(a.deadline), 8);
              },
              [&](const Bounce& a) {
                  put(o, 20, 1), put(o, raw(a.task), 8);
                  put(o, static_cast<std::uint64_t>(a.retry_after), 4);
              },
              [&](const Abandon& a) { put(o, 30, 1), put(o, raw(a.task), 8); },
              [&](const Withdraw& a) {
                  put(o, 40, 1), put(o, raw(a.task), 8);
                  put(o, static_cast<std::uint64_t>(a.assignment), 1);
              },
              [&](const WakeAt& a) {
                  put(o, 50, 1), put(o, static_cast<std::uint64_t>(a.at), 8), put(o, raw(a.timer), 8);
              },
              [&](const Probe& a) { put(o, 60, 1), put(o, raw(a.runner), 4); },
              [&](const CloseIdle& a) { put(o, 70, 1), put(o, raw(a.runner), 4); },
              [&](const BroadcastToPeers& a) { put(o, 80, 1), put(o, kAllPeers, 2), put_text(o, a.payload); },
              [&](const SendToPeer& a) { put(o, 80, 1), put(o, raw(a.to), 2), put_text(o, a.payload); },
              [&](const LogLine& a) { put(o, 90, 1), put_text(o, a.text); },
              [&](const WatchMembership& a) { put(o, 110, 1), put(o, a.on, 1); },
              [&](const FetchMembership&) { put(o, 120, 1); }},
        action);
}

void ReplyWriter::failure(const std::string& text) {
    put(body_, 100, 1);
    put_text(body_, text);
}

std::string ReplyWriter::frame() const {
    std::string framed;
    put(framed, body_.size(), 4);
    return framed + body_;
}

}  // namespace gannethold::sim_protocol
